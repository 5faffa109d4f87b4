package member

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// TestStoppedCounterMakesCentreUnreachable checks that the members of a data
// centre whose counter stops are omitted until it increases again, although none
// of them was declared dead, and that an older counter value does not count.
func TestStoppedCounterMakesCentreUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	self := peer.Member{ID: "a1", DataCentre: "a"}
	tab, err := newTable(self, Timing{}.withDefaults(), now)
	if err != nil {
		t.Fatal(err)
	}
	tab.merge(record{ID: "b1", Address: "y", Incarnation: 1, DataCentre: "b"}, now)
	monitor := newCentreMonitor(self, 15*time.Second)
	monitor.merge(map[string]uint64{"b": 7}, now)
	monitor.update(now.Add(14*time.Second), tab)
	if got := len(tab.members(monitor.unreachable())); got != 2 {
		t.Fatalf("%d members before the timeout, want 2", got)
	}
	monitor.update(now.Add(16*time.Second), tab)
	if got := len(tab.members(monitor.unreachable())); got != 1 {
		t.Fatalf("%d members after the timeout, want 1", got)
	}
	monitor.merge(map[string]uint64{"b": 6}, now.Add(17*time.Second))
	if !monitor.unreachable()["b"] {
		t.Fatal("an older counter value made the data centre reachable")
	}
	monitor.merge(map[string]uint64{"b": 8}, now.Add(18*time.Second))
	if got := len(tab.members(monitor.unreachable())); got != 2 {
		t.Fatalf("%d members after the counter increased, want 2", got)
	}
}

// TestCounterIsIncrementedByLowestIDs checks that the member with the lowest ID
// increments its data centre's counter, and that the next one does so after a
// longer delay, in case the first has failed.
func TestCounterIsIncrementedByLowestIDs(t *testing.T) {
	now := time.Unix(1000, 0)
	for id, want := range map[string]time.Duration{"a0": counterInterval, "a2": 2 * counterInterval} {
		tab, err := newTable(peer.Member{ID: id, DataCentre: "a"}, Timing{}.withDefaults(), now)
		if err != nil {
			t.Fatal(err)
		}
		tab.merge(record{ID: "a1", Address: "y", Incarnation: 1, DataCentre: "a"}, now)
		monitor := newCentreMonitor(peer.Member{ID: id, DataCentre: "a"}, 15*time.Second)
		monitor.merge(map[string]uint64{"a": 1}, now)
		monitor.update(now.Add(want-time.Millisecond), tab)
		if got := monitor.counters()["a"]; got != 1 {
			t.Errorf("%s incremented the counter to %d too early", id, got)
		}
		monitor.update(now.Add(want), tab)
		if got := monitor.counters()["a"]; got != 2 {
			t.Errorf("%s did not increment the counter: %d", id, got)
		}
	}
}
