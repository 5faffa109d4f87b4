package placement

import (
	"testing"
	"time"
)

// TestHelperNamedByRefusalIsPaused guards against an engine that is paused because it refused a job
// whose helper had ended, while the helper goes on getting parts of other prompts.
func TestHelperNamedByRefusalIsPaused(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 4)
	now := time.Now()
	d := p.Place(shortJob("j"), 1, now)
	helper := "e0"
	if d.Upstream == helper {
		helper = "e1"
	}
	p.Ended("j", End{Outcome: Refused, AtFault: helper}, now)
	pl := p.pools["llm"]
	if !pl.member(d.Upstream).health.usable(now) {
		t.Error("the engine that refused is paused")
	}
	if pl.member(helper).health.usable(now) {
		t.Error("the helper at fault is not paused")
	}
}
