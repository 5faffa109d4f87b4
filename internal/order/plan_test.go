package order

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// execute applies an order to an engine's state immediately.
func execute(o *upstream.ObservedState, order upstream.Order) {
	for i, m := range o.Models {
		if m.Model != order.Model || m.Version != order.Version {
			continue
		}
		switch order.Kind {
		case upstream.OrderLoadModel:
			return
		case upstream.OrderLoadAdapter:
			o.Models[i].Adapters = append(o.Models[i].Adapters, order.Adapter)
		case upstream.OrderUnloadModel:
			o.Models = append(append([]upstream.LoadedModel(nil), o.Models[:i]...), o.Models[i+1:]...)
			return
		}
	}
	switch order.Kind {
	case upstream.OrderLoadModel:
		o.Models = append(o.Models, upstream.LoadedModel{Model: order.Model, Version: order.Version})
	case upstream.OrderSetRole:
		o.Role = order.Role
	}
}

// TestPlanConverges checks that executing plans repeatedly reaches a state that
// needs no more orders, and that plans are deterministic.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Declared{}
		for m := range rapid.IntRange(1, 3).Draw(t, "models") {
			minimum := rapid.IntRange(0, 3).Draw(t, "min")
			d.Models = append(d.Models, Model{
				Name: fmt.Sprint("m", m), Version: "2", Adapters: []string{"x"}[:rapid.IntRange(0, 1).Draw(t, "adapters")],
				Min: minimum, Max: rapid.IntRange(max(minimum, 1), 12).Draw(t, "max"),
			})
		}
		observed := map[string]upstream.ObservedState{}
		models := []string{"m0", "m1", "m2", "old"}
		for e := range rapid.IntRange(1, 12).Draw(t, "engines") {
			id := fmt.Sprint("e", e)
			d.Engines = append(d.Engines, Engine{ID: id, Models: models[:rapid.IntRange(1, 3).Draw(t, "may")]})
			o := upstream.ObservedState{Boot: "1", Role: upstream.RoleMixed}
			for _, name := range models {
				if v := rapid.IntRange(0, 4).Draw(t, "version"); v == 1 || v == 2 {
					o.Models = append(o.Models, upstream.LoadedModel{Model: name, Version: fmt.Sprint(v)})
				}
			}
			observed[id] = o
		}
		targets := map[string]Target{"m0": {Engines: rapid.IntRange(0, 9).Draw(t, "target"), Prefill: 1}}
		for round := 0; ; round++ {
			steps := Plan(d, observed, targets)
			if !reflect.DeepEqual(steps, Plan(d, observed, targets)) {
				t.Fatal("the plan is not deterministic")
			}
			if len(steps) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("orders still needed after %d rounds: %v", round, steps)
			}
			for _, s := range steps {
				o := observed[s.Engine.ID]
				execute(&o, s.Order)
				observed[s.Engine.ID] = o
			}
		}
		for _, e := range d.Engines {
			for _, m := range d.Models {
				if _, ok := loadedModel(observed[e.ID], m.Name, m.Version); ok && slices.Contains(e.Models, m.Name) && len(observed[e.ID].Models) > 1 {
					t.Fatalf("engine %s still has %v", e.ID, observed[e.ID].Models)
				}
			}
		}
	})
}

// TestDeclaredGroupsShareBounds checks that the groups' shares of a model's bounds
// add up to the declared bounds.
func TestDeclaredGroupsShareBounds(t *testing.T) {
	entries := []catalogue.Entry{{Kind: catalogue.KindModel, Name: "tutor-llm", Model: &catalogue.ModelSpec{Version: "1", MinEngines: 7, MaxEngines: 11}}}
	for i := range 15 {
		dc := []string{"palermo", "catania", "trapani"}[i%3]
		entries = append(entries, catalogue.Entry{Kind: catalogue.KindUpstream, Name: fmt.Sprint("e", i),
			Upstream: &catalogue.UpstreamSpec{DataCentre: dc, Models: []string{"tutor-llm"}}})
	}
	minSum, maxSum := 0, 0
	for name, d := range declaredGroups(entries) {
		if len(d.Engines) != 5 || len(d.Models) != 1 {
			t.Fatalf("group %s: %+v", name, d)
		}
		minSum += d.Models[0].Min
		maxSum += d.Models[0].Max
	}
	if minSum != 7 || maxSum != 11 {
		t.Fatalf("shares add up to %d and %d, want 7 and 11", minSum, maxSum)
	}
}

// TestCandidatesAreFew checks that a fixed number of members are candidates for a
// group's lease, and that those are of its data centre and not leaving.
func TestCandidatesAreFew(t *testing.T) {
	var members []peer.Member
	for i := range 20 {
		members = append(members, peer.Member{ID: fmt.Sprint("i", i), DataCentre: []string{"palermo", "catania"}[i%2], Leaving: i < 10})
	}
	n := 0
	for _, m := range members {
		if isCandidate("palermo", m.ID, members) {
			n++
			if m.Leaving || m.DataCentre != "palermo" {
				t.Errorf("%+v is a candidate", m)
			}
		}
	}
	if n != candidatesPerGroup {
		t.Fatalf("%d candidates, want %d", n, candidatesPerGroup)
	}
}

// TestHysteresis checks that noisy demand and short spikes hardly change the
// target, unlike a rule without hysteresis, and that a lasting change does.
func TestHysteresis(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var s scaler
	changes, naive, last, lastNaive := 0, 0, 0, 0
	now := time.Unix(0, 0)
	for range 6 * 3600 / 5 {
		now = now.Add(observeInterval)
		demand := Demand{Engines: 5 + 1.5*rng.Float64(), PrefillShare: 0.2 + 0.2*rng.Float64()}
		got := s.targets(map[string]Demand{"m": demand}, map[string]int{"m": 8}, now)["m"]
		if size := int(demand.Engines/targetUtilisation + 1); size != lastNaive {
			naive++
			lastNaive = size
		}
		if got.Engines != last {
			changes++
			last = got.Engines
		}
	}
	t.Logf("6 h of noisy demand: %d changes of the target, %d without hysteresis", changes, naive)
	if changes > 3 {
		t.Fatalf("%d changes of the target", changes)
	}
	for range int(scaleUpDelay/observeInterval) - 1 {
		now = now.Add(observeInterval)
		if got := s.targets(map[string]Demand{"m": {Engines: 14}}, nil, now)["m"].Engines; got != last {
			t.Fatalf("a short spike changes the target from %d to %d", last, got)
		}
	}
	for range 100 {
		now = now.Add(observeInterval)
		last = s.targets(map[string]Demand{"m": {Engines: 14}}, nil, now)["m"].Engines
	}
	if last != 20 {
		t.Fatalf("%d engines for a load of 14, want 20", last)
	}
}
