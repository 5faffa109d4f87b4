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

func TestLostInstancesCountUntilForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet("a")
	f.update(members("a", "b", "c", "d"), now)
	leaving := members("a", "b", "c", "d")
	leaving[3].Leaving = true
	f.update(leaving, now)
	f.update(members("a", "b"), now) // c is lost, d has left
	if got := f.part(0); got != 2.0/3 {
		t.Fatalf("sees %v of the fleet, want 2/3", got)
	}
	if got := f.part(4); got != 2.0/4 {
		t.Fatalf("sees %v of the listed fleet, want 2/4", got)
	}
	f.update(members("a", "b"), now.Add(lostMemory+time.Second))
	if got := f.part(0); got != 1 {
		t.Fatalf("sees %v of the fleet after it forgot, want 1", got)
	}
}

// A keeper that may have been cut off lends like a new one; a restarted process
// does not make it do so.
func TestReturnOfLostProcessRestartsTenure(t *testing.T) {
	other := otherThanKeeper("a")
	for incarnation, want := range map[uint64]bool{1: true, 2: false} {
		start := time.Unix(1000, 0)
		bus := &fixedBus{Node: peertest.NewNet(0).Join(peer.Member{ID: "a", Incarnation: 1})}
		l := New(bus, Options{})
		l.SetLimits(map[string]catalogue.Limits{testWorkspace: {RequestsPerSecond: 1}})
		c := newControl(l, start)
		show := func(now time.Time, all []peer.Member) {
			bus.members = all
			c.observe(now)
		}
		show(start, members("a", other))
		show(start, members("a"))
		if got := c.tenures[testWorkspace]; got.keeper != "a" {
			t.Fatalf("the keeper is %q", got.keeper)
		}
		returned := members("a", other)
		returned[1].Incarnation = incarnation
		now := start.Add(time.Minute)
		show(now, returned)
		got := c.tenures[testWorkspace]
		if restarted := got.since.Equal(now); restarted != want {
			t.Errorf("incarnation %d: the tenure was restarted: %v", incarnation, restarted)
		}
	}
}

// otherThanKeeper returns an ID beside which self stays the keeper.
func otherThanKeeper(self string) string {
	for id := self + "x"; ; id += "x" {
		f := newFleet(self)
		f.update(members(self, id), time.Unix(1000, 0))
		if f.keeper(hashOf(testWorkspace)) == self {
			return id
		}
	}
}

// fixedBus shows the members that a test sets.
type fixedBus struct {
	*peertest.Node
	members []peer.Member
}

func (b *fixedBus) Members() []peer.Member { return b.members }
