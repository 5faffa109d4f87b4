package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// poisonMarker crashes each engine that receives it in a prompt.
const poisonMarker = "crash-every-engine"

// poisonAttempts is the number of times that the caller sends the request.
const poisonAttempts = 6

// poison repeatedly sends a request that crashes each engine that runs it, through
// different instances, and restarts the crashed engines. The report lists how many
// engines crashed.
func poison(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	for _, e := range s.fleet.Engines {
		setSwitches(ctx, controlURL(e), map[string]any{"crash_marker": poisonMarker})
	}
	salt := r.Uint64()
	crashed := 0
	for attempt := range poisonAttempts {
		in := s.fleet.Instances[attempt%len(s.fleet.Instances)]
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
		crashed += s.restartCrashedEngines(ctx)
	}
	s.report.fault(fmt.Sprintf("poison request sent %d times: %d engine crashes", poisonAttempts, crashed))
	time.Sleep(duration)
	for _, e := range s.fleet.Engines {
		setSwitches(ctx, controlURL(e), map[string]any{})
	}
}

// restartCrashedEngines restarts the engines that have crashed and returns their
// number.
func (s *schedule) restartCrashedEngines(ctx context.Context) int {
	crashed := 0
	for _, e := range s.fleet.Engines {
		if e.Running() {
			continue
		}
		crashed++
		if e.Start() == nil {
			time.Sleep(300 * time.Millisecond)
			setSwitches(ctx, controlURL(e), map[string]any{"crash_marker": poisonMarker})
		}
	}
	return crashed
}
