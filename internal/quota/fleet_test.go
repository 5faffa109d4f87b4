package quota

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

func members(ids ...string) []peer.Member {
	var all []peer.Member
	for _, id := range ids {
		all = append(all, peer.Member{ID: id, Incarnation: 1})
	}
	return all
}

// TestLostInstancesCountUntilRetentionEnds checks that an instance that
// disappeared counts as part of the fleet until lostMemberRetention has passed,
// and that one that left does not.
func TestLostInstancesCountUntilRetentionEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet("a")
	f.update(members("a", "b", "c", "d"), now)
	leaving := members("a", "b", "c", "d")
	leaving[3].Leaving = true
	f.update(leaving, now)
	f.update(members("a", "b"), now) // c is lost, d has left
	if got := f.visibleFraction(0); got != 2.0/3 {
		t.Fatalf("sees %v of the fleet, want 2/3", got)
	}
	if got := f.visibleFraction(4); got != 2.0/4 {
		t.Fatalf("sees %v of the listed fleet, want 2/4", got)
	}
	f.update(members("a", "b"), now.Add(lostMemberRetention+time.Second))
	if got := f.visibleFraction(0); got != 1 {
		t.Fatalf("sees %v of the fleet after the retention ended, want 1", got)
	}
}

// TestReturnOfLostProcessRestartsOwnership checks that an owner grants leases like a
// new one after a lost process has reappeared, because either may have been
// partitioned off, and that a process that was restarted does not have this effect.
func TestReturnOfLostProcessRestartsOwnership(t *testing.T) {
	other := idNotChosenAsOwner("a")
	for incarnation, want := range map[uint64]bool{1: true, 2: false} {
		start := time.Unix(1000, 0)
		bus := &fixedBus{Node: peertest.NewNet(0).Join(peer.Member{ID: "a", Incarnation: 1})}
		l := New(bus, Options{})
		l.SetLimits(map[string]catalogue.Limits{testWorkspace: {RequestsPerSecond: 1}})
		c := newControl(l, start)
		setMembers := func(now time.Time, all []peer.Member) {
			bus.members = all
			c.observe(now)
		}
		setMembers(start, members("a", other))
		setMembers(start, members("a"))
		if got := c.ownerships[testWorkspace]; got.owner != "a" {
			t.Fatalf("the owner is %q, want \"a\"", got.owner)
		}
		returned := members("a", other)
		returned[1].Incarnation = incarnation
		now := start.Add(time.Minute)
		setMembers(now, returned)
		got := c.ownerships[testWorkspace]
		if restarted := got.since.Equal(now); restarted != want {
			t.Errorf("incarnation %d: ownership restarted: %v", incarnation, restarted)
		}
	}
}

// idNotChosenAsOwner returns the ID of an instance in whose presence self owns
// testWorkspace.
func idNotChosenAsOwner(self string) string {
	for id := self + "x"; ; id += "x" {
		f := newFleet(self)
		f.update(members(self, id), time.Unix(1000, 0))
		if f.owner(workspaceHash(testWorkspace)) == self {
			return id
		}
	}
}

// fixedBus returns the members that a test sets.
type fixedBus struct {
	*peertest.Node
	members []peer.Member
}

func (b *fixedBus) Members() []peer.Member { return b.members }
