package placement

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// TestEvacuatedUpstreamsReturnCold guards against a burst of requests to engines whose evacuation is
// revoked: they may have become cold meanwhile, and their entries may not say so yet.
func TestEvacuatedUpstreamsReturnCold(t *testing.T) {
	p := NewPlanner("")
	p.SetColdBounds(func() upstreamlimit.ColdBounds {
		return upstreamlimit.ColdBounds{Overage: 1.5, Slack: 5, Heartbeat: 1200 * time.Millisecond}
	})
	state := deployment.NewState()
	state.Subscribe(p.SetView)
	model := usersModel()
	now := time.Now()
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{
		"llm": {Name: "llm", Engine: &model, ColdStart: 3 * time.Second, ColdPerSecond: 17},
	}}, now)
	state.ReplaceUpstreams([]deployment.Upstream{
		{ID: "e0", Service: "llm", Address: "e0", Slots: 12, DataCentre: "a"},
		{ID: "e1", Service: "llm", Address: "e1", Slots: 12, DataCentre: "b"},
	}, deployment.Revision{Number: 1}, now)
	cold := func(id string) time.Duration {
		return p.cold.Left(limitKey(p.pools["llm"].members[id].upstream), time.Now())
	}
	if cold("e1") > 0 {
		t.Fatal("an upstream of the first list counts as cold")
	}
	state.SetEvacuations(deployment.Evacuations{Set: []deployment.Evacuation{{DataCentre: "b"}}}, true, now)
	state.SetEvacuations(deployment.Evacuations{}, true, now.Add(time.Second))
	if cold("e1") == 0 {
		t.Error("the upstream of the data centre that was evacuated does not count as cold")
	}
	if cold("e0") > 0 {
		t.Error("the upstream of the other data centre counts as cold")
	}
}
