package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// poisonMarker makes each engine that reads it crash.
const poisonMarker = "crash-every-engine"

// poisonTries is how often the caller sends the request again.
const poisonTries = 6

// poison sends a request that crashes each engine that runs it, again and
// again, through different instances, and restarts the engines that crashed. The
// report counts the engines lost.
func poison(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	for _, e := range s.fleet.Engines {
		put(ctx, control(e), map[string]any{"crash_marker": poisonMarker})
	}
	salt := r.Uint64()
	lost := 0
	for try := range poisonTries {
		in := s.fleet.Instances[try%len(s.fleet.Instances)]
		body := fmt.Sprintf(`{"model":"tutor-llm","max_tokens":4,"messages":[{"role":"user","content":"%s %d"}]}`, poisonMarker, salt)
		req, err := request(ctx, in, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return
		}
		kind := "connection failed"
		if res, err := http.DefaultClient.Do(req); err == nil {
			kind = fmt.Sprintf("%d (%s)", res.StatusCode, res.Header.Get("X-Result-Code"))
			res.Body.Close()
		}
		s.report.result("poison: "+kind, false)
		lost += s.reviveEngines(ctx)
	}
	s.report.fault(fmt.Sprintf("poison request sent %d times: %d engine crashes", poisonTries, lost))
	time.Sleep(lasts)
	for _, e := range s.fleet.Engines {
		put(ctx, control(e), map[string]any{})
	}
}

// reviveEngines restarts the engines that have crashed and returns their number.
func (s *schedule) reviveEngines(ctx context.Context) int {
	lost := 0
	for _, e := range s.fleet.Engines {
		if e.Running() {
			continue
		}
		lost++
		if e.Start() == nil {
			time.Sleep(300 * time.Millisecond)
			put(ctx, control(e), map[string]any{"crash_marker": poisonMarker})
		}
	}
	return lost
}
