package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// TestSuspendedProcessWaitsBeforeItSends guards against a process that goes on, after it was stopped,
// with the evacuations that it knew before, and against one that waits although it ran all the time
// or its settings state no bound.
func TestSuspendedProcessWaitsBeforeItSends(t *testing.T) {
	const bound, confirmed = 5 * time.Second, 400 * time.Millisecond
	for _, test := range []struct {
		bound, gap, wait time.Duration
	}{{bound, 200 * time.Millisecond, 0}, {bound, time.Second, 0}, {bound, 2 * time.Second, confirmed}, {bound, time.Hour, confirmed}, {0, time.Hour, 0}} {
		synctest.Test(t, func(t *testing.T) {
			s := &suspension{
				bound:   func() time.Duration { return test.bound },
				confirm: func(context.Context, time.Duration) error { time.Sleep(confirmed); return nil },
			}
			s.observe(time.Now())
			time.Sleep(test.gap)
			// The ticker or a send may run first.
			s.observe(time.Now())
			began := time.Now()
			if current := s.awaitCurrent(t.Context()); !current || time.Since(began) != test.wait {
				t.Errorf("bound %s, stopped for %s: current %v after %s, want after %s", test.bound, test.gap, current, time.Since(began), test.wait)
			}
			if began = time.Now(); !s.awaitCurrent(t.Context()) || time.Since(began) != 0 {
				t.Errorf("bound %s, stopped for %s: waits again", test.bound, test.gap)
			}
		})
	}
}

// TestSuspensionDuringTheReadStartsItAnew guards against a send after a second suspension, while the
// evacuations were read since the first one only; and against sends of requests that have ended.
func TestSuspensionDuringTheReadStartsItAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 5 * time.Second
		s := &suspension{
			bound:   func() time.Duration { return bound },
			confirm: func(context.Context, time.Duration) error { time.Sleep(3 * time.Second); return nil },
		}
		s.observe(time.Now())
		time.Sleep(bound)
		s.observe(time.Now())
		time.Sleep(2 * time.Second)
		ended, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if s.awaitCurrent(ended) {
			t.Error("a request that ended is sent")
		}
		if began := time.Now(); !s.awaitCurrent(t.Context()) || time.Since(began) != 3*time.Second {
			t.Errorf("current %s after the second suspension, want after a read that began after it", time.Since(began)+time.Second)
		}
	})
}

// countingProber counts the probes.
type countingProber struct{ probes int }

func (p *countingProber) Probe(context.Context, deployment.Upstream, deployment.Service) (deployment.ProbeResult, error) {
	p.probes++
	return deployment.Healthy, nil
}

// TestEvacuatedServiceGetsNoHealthChecks guards against requests on the health path of a plain service
// in an evacuated data centre. Reports of engines may be read.
func TestEvacuatedServiceGetsNoHealthChecks(t *testing.T) {
	prober := &countingProber{}
	n := &Instance{opts: Options{Prober: prober}, state: deployment.NewState(), planner: placement.NewPlanner("")}
	n.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": {Name: "plain", HealthPath: "/health"}}}, time.Now())
	up := deployment.Upstream{ID: "u", Service: "plain", DataCentre: "z1"}
	n.state.AddUpstreams([]deployment.Upstream{up}, time.Now())
	n.probeOne(t.Context(), up)
	n.state.SetEvacuations(deployment.Evacuations{Set: []deployment.Evacuation{{DataCentre: "z1"}}}, false, time.Now())
	n.probeOne(t.Context(), up)
	if prober.probes != 1 {
		t.Errorf("%d probes, want the one before the evacuation only", prober.probes)
	}
}
