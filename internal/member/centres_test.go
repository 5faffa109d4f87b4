package member

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// A data centre whose counter stands still is left out until it moves again,
// although none of its members was declared dead.
func TestStoppedCounterMakesCentreUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	self := peer.Member{ID: "a1", DataCentre: "a"}
	tab, err := newTable(self, Timing{}.withDefaults(), now)
	if err != nil {
		t.Fatal(err)
	}
	tab.merge(record{ID: "b1", Address: "y", Incarnation: 1, DataCentre: "b"}, now)
	w := newCentreWatch(self, 15*time.Second)
	w.merge(map[string]uint64{"b": 7}, now)
	w.step(now.Add(14*time.Second), tab)
	if got := len(tab.alive(w.unreachable())); got != 2 {
		t.Fatalf("%d members before the timeout, want 2", got)
	}
	w.step(now.Add(16*time.Second), tab)
	if got := len(tab.alive(w.unreachable())); got != 1 {
		t.Fatalf("%d members after the timeout, want 1", got)
	}
	w.merge(map[string]uint64{"b": 6}, now.Add(17*time.Second))
	if !w.unreachable()["b"] {
		t.Fatal("an old counter makes the data centre reachable")
	}
	w.merge(map[string]uint64{"b": 8}, now.Add(18*time.Second))
	if got := len(tab.alive(w.unreachable())); got != 2 {
		t.Fatalf("%d members after the counter moved, want 2", got)
	}
}

// The members with the lowest IDs step their data centre's counter; the next
// takes over when one is gone.
func TestCounterIsSteppedByLowestIDs(t *testing.T) {
	now := time.Unix(1000, 0)
	for id, want := range map[string]time.Duration{"a0": counterInterval, "a2": 2 * counterInterval} {
		tab, err := newTable(peer.Member{ID: id, DataCentre: "a"}, Timing{}.withDefaults(), now)
		if err != nil {
			t.Fatal(err)
		}
		tab.merge(record{ID: "a1", Address: "y", Incarnation: 1, DataCentre: "a"}, now)
		w := newCentreWatch(peer.Member{ID: id, DataCentre: "a"}, 15*time.Second)
		w.merge(map[string]uint64{"a": 1}, now)
		w.step(now.Add(want-time.Millisecond), tab)
		if got := w.counters()["a"]; got != 1 {
			t.Errorf("%s stepped the counter to %d too early", id, got)
		}
		w.step(now.Add(want), tab)
		if got := w.counters()["a"]; got != 2 {
			t.Errorf("%s left the counter at %d", id, got)
		}
	}
}
