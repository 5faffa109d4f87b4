package main

import (
	"context"
	"fmt"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// releaseTimeout is the time within which engines must release all holds.
const releaseTimeout = 30 * time.Second

// checkFinalState checks that no engine holds memory for a request that has ended.
func checkFinalState(ctx context.Context, fleet *localfleet.Fleet, r *report) {
	end := time.Now().Add(releaseTimeout)
	for _, e := range fleet.Engines {
		problem := "never asked"
		for time.Now().Before(end) && problem != "" {
			problem = heldBy(ctx, e)
			if problem != "" {
				time.Sleep(500 * time.Millisecond)
			}
		}
		r.check(memoryReleased, problem)
	}
}

// heldBy describes what an engine still holds, or why that is not known; it is empty
// if the engine holds nothing.
func heldBy(ctx context.Context, e *localfleet.Upstream) string {
	var holds upstream.Holds
	if err := localfleet.Fetch(ctx, "http://"+e.Address+upstream.PathHolds, &holds); err != nil {
		return e.Name + " does not answer: " + err.Error()
	}
	var load upstream.LoadReport
	if err := localfleet.Fetch(ctx, "http://"+e.Address+upstream.PathLoad, &load); err != nil {
		return e.Name + " does not answer: " + err.Error()
	}
	if len(holds.Holds) > 0 || load.ReservedTokens > 0 || load.RunningStreams > 0 || load.QueuedRequests > 0 {
		return fmt.Sprintf("%s holds %d things: %+v; load %d streams, %d queued, %d reserved tokens",
			e.Name, len(holds.Holds), holds.Holds, load.RunningStreams, load.QueuedRequests, load.ReservedTokens)
	}
	return ""
}
