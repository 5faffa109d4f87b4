package passthrough

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// refusingPlacer refuses all jobs for one reason and counts them.
type refusingPlacer struct {
	reason placement.Reason
	calls  int
}

func (p *refusingPlacer) Place(context.Context, placement.Job) placement.Decision {
	p.calls++
	return placement.Decision{Reason: p.reason}
}

func (*refusingPlacer) FirstAnswer(string, string) {}
func (*refusingPlacer) TrialPassed(string, string) {}

func (*refusingPlacer) LimitObserved(deployment.Upstream, upstreamlimit.Limit) {}

func (*refusingPlacer) Paused(deployment.Upstream) bool { return false }

func (*refusingPlacer) Withheld(placement.Decision, deployment.Upstream) []string { return nil }

func (*refusingPlacer) Ended(string, string, placement.End) {}

// TestFinalRefusalIsNotHeld checks that a request that waiting cannot help is refused at
// once, and that one that may be placed soon is not.
func TestFinalRefusalIsNotHeld(t *testing.T) {
	for reason, final := range map[placement.Reason]bool{
		placement.Poisoned: true, placement.Suspected: true, placement.TooLate: true,
		placement.Full: false, placement.TooLarge: false,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				placer := &refusingPlacer{reason: reason}
				h := New(Options{State: deployment.NewState(), Placer: placer})
				rq := &request{arrived: time.Now(), deadline: time.Now().Add(10 * time.Second), route: &deployment.Route{FirstAnswer: 300 * time.Millisecond}}
				began := time.Now()
				h.placeWithRetry(t.Context(), rq, placement.Job{Remaining: 10 * time.Second})
				if held := time.Since(began); (held == 0) != final || (placer.calls == 1) != final {
					t.Errorf("refused after %s and %d calls, want at once: %v", held, placer.calls, final)
				}
			})
		})
	}
}

// TestBegunStreamIsHeldUntilItsCallerLeaves checks that a stream that has begun is not cut
// while no upstream can go on with it, and that one that crashes upstreams is.
func TestBegunStreamIsHeldUntilItsCallerLeaves(t *testing.T) {
	for reason, held := range map[placement.Reason]bool{
		placement.TooLate: true, placement.Full: true, placement.NoUpstream: true, placement.Suspected: true, placement.Poisoned: false,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New(Options{State: deployment.NewState(), Placer: &refusingPlacer{reason: reason}})
				rq := &request{arrived: time.Now(), deadline: time.Now().Add(10 * time.Second), route: &deployment.Route{Kind: deployment.Stream, FirstAnswer: 300 * time.Millisecond}}
				rq.record.status = 200
				const leavesAfter = 4 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), leavesAfter)
				defer cancel()
				began := time.Now()
				h.placeWithRetry(ctx, rq, placement.Job{Remaining: 10 * time.Second})
				if got := time.Since(began) == leavesAfter; got != held {
					t.Errorf("held for %s, want until the caller leaves: %v", time.Since(began), held)
				}
			})
		})
	}
}
