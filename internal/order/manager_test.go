package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// holding returns the number of groups whose lease the manager holds.
func holding(m *Manager) int {
	n := 0
	for _, s := range m.Dump().([]State) {
		if s.Holding {
			n++
		}
	}
	return n
}

// direct adapts the fake engines to Engines, without frozen senders.
type direct struct{ *fakeEngines }

func (d direct) Order(_ context.Context, e Engine, o upstream.Order) error {
	return d.deliver(e, o, o.Fence)
}

// TestManagersShareGroupsAndTakeOver checks that each group has exactly one lease
// holder, also after holders have left repeatedly, and that all engines reach the
// declared state.
func TestManagersShareGroupsAndTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(1, 6, true)
		entries := []catalogue.Entry{{Kind: catalogue.KindModel, Name: "a", Model: &catalogue.ModelSpec{Version: "1"}}}
		for i := range 6 {
			entries = append(entries, catalogue.Entry{Kind: catalogue.KindUpstream, Name: fmt.Sprint("e", i),
				Upstream: &catalogue.UpstreamSpec{DataCentre: []string{"palermo", "catania"}[i%2], Models: []string{"a"}, Fencing: true, ChecksIssuer: true}})
		}
		net := peertest.NewNet(time.Millisecond)
		managers, cancels := map[string]*Manager{}, map[string]context.CancelFunc{}
		for _, id := range []string{"i", "j", "k", "l"} {
			node := net.Join(peer.Member{ID: id, Incarnation: 1})
			m := NewManager(ManagerOptions{Bus: node, Table: g.store, Engines: direct{g.engines}, Key: g.engines.key,
				Entries: func() []catalogue.Entry { return entries }, Demand: func(string) map[string]Demand { return nil }})
			ctx, cancel := context.WithCancel(t.Context())
			managers[id], cancels[id] = m, cancel
			g.running.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(10 * time.Minute)
		for round := range 3 {
			held, victim := 0, ""
			for id, m := range managers {
				if n := holding(m); n > 0 {
					held += n
					victim = id
				}
			}
			if held != 2 {
				t.Fatalf("round %d: %d groups have a holder, want 2", round, held)
			}
			cancels[victim]()
			net.Leave(victim)
			delete(managers, victim)
			time.Sleep(2 * time.Minute)
		}
		for id, o := range g.engines.state {
			if l, ok := loadedModel(*o, "a", "1"); !ok || l.Loading {
				t.Errorf("engine %s has %v", id, o.Models)
			}
		}
		for _, cancel := range cancels {
			cancel()
		}
		g.running.Wait()
		time.Sleep(maxFreeze)
		if rows, _ := g.store.Scan(t.Context(), "lease/", "", 10); len(rows) != 2 || g.store.Faults() != (memstore.Faults{}) {
			t.Errorf("%d lease rows, want 2 and a store without faults", len(rows))
		}
	})
}
