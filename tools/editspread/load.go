package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// loadBody is one short request of the load.
var loadBody = `{"model":"tutor-llm","max_tokens":8,"prompt":"` + strings.Repeat("logbook ", 500) + `"}`

// startLoad sends short requests at a rate per second, through all instances in
// turn, until the returned function is called.
func startLoad(ctx context.Context, fleet *localfleet.Fleet, rate int) (stop func()) {
	if rate == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				wg.Go(func() { sendShort(ctx, fleet.Instances[n%len(fleet.Instances)].Callers) })
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// sendShort sends one request; its result does not matter here.
func sendShort(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(loadBody))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.CallerKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body) //nolint:errcheck // the result does not matter
}
