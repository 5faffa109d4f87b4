package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// startFixture returns a planner with an engine of its first list, e0, and one that joined later, e1.
func startFixture(coldStart time.Duration) (*Planner, *deployment.State) {
	p, state := NewPlanner(""), deployment.NewState()
	state.Subscribe(p.SetView)
	model := usersModel()
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model, ColdStart: coldStart}}}, time.Now())
	for i := range 2 {
		up := deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16, Born: 1}
		state.UpdateUpstreams([]deployment.Upstream{up}, nil, deployment.Revision{Number: int64(1 + i)}, time.Now())
	}
	return p, state
}

// factorOf returns the speed factor of an engine.
func factorOf(p *Planner, id string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools["llm"]
	pl.fadeStarts(time.Now())
	return pl.member(id).engine.SpeedFactor()
}

// answerAt places a job on an engine that answers factor times slower than the model says.
func answerAt(p *Planner, id, engine string, factor float64) {
	other := map[string]string{"e0": "e1", "e1": "e0"}[engine]
	j := shortJob(id)
	j.Prompt, j.Avoid = 11_000, []string{other}
	expect := p.Place(j, 1, time.Now()).Expect
	time.Sleep(time.Duration(float64(expect)/factorOf(p, engine)*factor) + reportDelay)
	p.FirstAnswer(id, time.Now())
	p.Ended(id, End{Outcome: Completed}, time.Now())
	time.Sleep(10 * time.Millisecond)
}

// TestStartedEngineIsPredictedSlow guards against work for an engine that has just started, and is
// slow, as if it were as fast as the others. The factor fades without answers.
func TestStartedEngineIsPredictedSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, state := startFixture(3 * time.Second)
		if first, later := factorOf(p, "e0"), factorOf(p, "e1"); first != 1 || later != startSpeedFactor {
			t.Errorf("factors %.2f of the first list, %.2f of the engine that joined; want 1 and %.2f", first, later, startSpeedFactor)
		}
		if d := p.Place(shortJob("first"), 1, time.Now()); d.Upstream != "e0" {
			t.Errorf("placed on %s, want the engine that has run for longer", d.Upstream)
		}
		time.Sleep(2 * startHalfLife)
		if f := factorOf(p, "e1"); f < 1.1 || f > 1.15 {
			t.Errorf("factor %.2f after %s, want a quarter of the excess", f, 2*startHalfLife)
		}
		time.Sleep(startTime)
		if f := factorOf(p, "e1"); f > 1.01 || len(p.pools["llm"].starting) > 0 {
			t.Errorf("factor %.2f after the slow start, %d engines still starting", f, len(p.pools["llm"].starting))
		}
		up, _ := state.View().Upstream("e1")
		state.UpdateUpstreams(nil, []string{"e1"}, deployment.Revision{Number: 3}, time.Now())
		state.UpdateUpstreams([]deployment.Upstream{up}, nil, deployment.Revision{Number: 4}, time.Now())
		if f := factorOf(p, "e1"); f > 1.01 {
			t.Errorf("factor %.2f of an engine whose entry was away and that has not started again", f)
		}
		up.Born = 2
		state.UpdateUpstreams([]deployment.Upstream{up}, nil, deployment.Revision{Number: 5}, time.Now())
		if f := factorOf(p, "e1"); f != startSpeedFactor {
			t.Errorf("factor %.2f of an engine that has restarted under its ID", f)
		}
		p, _ = startFixture(0)
		if f := factorOf(p, "e1"); f != 1 {
			t.Errorf("factor %.2f in a service without a cold start", f)
		}
	})
}

// TestAnswersCorrectASlowStart guards against a prediction that stays wrong after an engine's start:
// three answers correct it, in both directions.
func TestAnswersCorrectASlowStart(t *testing.T) {
	for _, actual := range []float64{1, 1.4, 2, 4} {
		synctest.Test(t, func(t *testing.T) {
			p, _ := startFixture(3 * time.Second)
			for i := range 3 {
				// Each a little earlier than predicted after the one before.
				answerAt(p, fmt.Sprint("slow", i), "e1", actual*(1-0.04*float64(i)))
			}
			if f := factorOf(p, "e1"); f < 0.75*actual || f > 1.15*actual {
				t.Errorf("factor %.2f after three answers of an engine that is %v times slower", f, actual)
			}
			for i := range 3 {
				answerAt(p, fmt.Sprint("fast", i), "e1", 1)
			}
			if f := factorOf(p, "e1"); f > 1.25 {
				t.Errorf("factor %.2f after three answers in time, was %v times slower before", f, actual)
			}
		})
	}
}

// TestEarlyTokenDoesNotEndASlowStart guards against an engine that is taken for as fast as the others
// because one first token arrived a little earlier than predicted; one that arrives much earlier
// corrects the factor.
func TestEarlyTokenDoesNotEndASlowStart(t *testing.T) {
	for observed, want := range map[time.Duration][2]float64{290 * time.Millisecond: {2.5, 3}, 100 * time.Millisecond: {1, 2}} {
		p, _ := startFixture(3 * time.Second)
		m, now := p.pools["llm"].member("e1"), time.Now()
		m.engine.SetSpeedFactor(3)
		m.updateSpeedFactor(&placed{at: now.Add(-observed - reportDelay), decision: Decision{Upstream: "e1", Expect: 300 * time.Millisecond}}, time.Time{}, now)
		if f := m.engine.SpeedFactor(); f < want[0] || f > want[1] {
			t.Errorf("factor %.2f after a token at %s of 300 ms, want %v", f, observed, want)
		}
	}
}
