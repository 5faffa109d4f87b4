package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// Times after which the others no longer count an instance as a member.
const (
	// stopNotice is that of an instance that says that it leaves.
	stopNotice = 50 * time.Millisecond
	// deathNotice is that of one that says nothing, by the timeouts of package member.
	deathNotice = 6 * time.Second
)

// watchFleet is a fleet whose watchers follow from its members.
type watchFleet struct {
	*leavingFleet
	stops []context.CancelFunc

	mu sync.Mutex
	// members is what each instance takes for the members.
	members []peer.Member
	// disturbed holds the instances that do not count: they were stopped, killed, frozen or cut off.
	disturbed map[string]bool
}

// newWatchFleet starts n instances.
func newWatchFleet(ctx context.Context, n int) *watchFleet {
	f := &watchFleet{
		leavingFleet: &leavingFleet{store: newLogStore(upstreams("a", "b", "leaves")), net: peertest.NewNet(time.Millisecond)},
		disturbed:    map[string]bool{},
	}
	for i := range n {
		f.members = append(f.members, peer.Member{ID: fmt.Sprintf("i%d", i), Capacity: uint32(400 + 400*(i%2))})
	}
	for _, m := range slices.Clone(f.members) {
		link, state := newStoreLink(f.store), NewState()
		link.acknowledged = true
		follower := NewFollower(state, link, FollowerOptions{
			Instances:    func() int { return n },
			ApplyTimeout: always(2 * time.Second), UpstreamHeartbeat: always(time.Second),
			IsWatcher: func() bool { return slices.Contains(f.watchers(), m.ID) },
			IsRelay:   func() bool { return slices.Contains(f.watchers(), m.ID) },
			Relays:    func() []string { return RelaysOf(m.ID, f.current()) },
		})
		NewExchange(state, follower).SetBus(f.net.Join(m))
		running, stop := context.WithCancel(ctx)
		go follower.Run(running)
		f.links, f.states, f.ids, f.stops = append(f.links, link), append(f.states, state), append(f.ids, m.ID), append(f.stops, stop)
	}
	return f
}

// current returns the members.
func (f *watchFleet) current() []peer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// watchers returns the IDs of the watchers.
func (f *watchFleet) watchers() []string {
	var ids []string
	for _, m := range Watchers(f.current()) {
		ids = append(ids, m.ID)
	}
	return ids
}

// remove has the others no longer count an instance as a member after a time.
func (f *watchFleet) remove(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.members = slices.DeleteFunc(f.members, func(m peer.Member) bool { return m.ID == id })
	})
}

// watcherTroubles are what may happen to a watcher.
var watcherTroubles = []string{"stopped", "killed", "frozen", "frozen and woken", "not heard", "cut off from the store"}

// trouble brings a trouble on an instance.
func (f *watchFleet) trouble(kind, id string) {
	i := slices.Index(f.ids, id)
	f.mu.Lock()
	f.disturbed[id] = true
	f.mu.Unlock()
	switch kind {
	case "stopped":
		f.remove(id, stopNotice)
		time.AfterFunc(2*stopNotice, func() { f.net.Leave(id); f.stops[i]() })
	case "killed":
		f.net.Leave(id)
		f.stops[i]()
		f.remove(id, deathNotice)
	case "frozen":
		f.freeze(i, true)
		f.remove(id, deathNotice)
	case "frozen and woken":
		f.freeze(i, true)
		time.AfterFunc(1500*time.Millisecond, func() { f.freeze(i, false) })
	case "not heard":
		for _, other := range f.ids {
			f.net.SetSilent(id, other, true)
		}
	case "cut off from the store":
		f.links[i].fail(time.Hour)
	}
}

// undisturbed returns the states of the instances that count.
func (f *watchFleet) undisturbed() []*State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []*State
	for i, id := range f.ids {
		if !f.disturbed[id] {
			states = append(states, f.states[i])
		}
	}
	return states
}

// TestInstancesLearnInTimeWhoeverWatches guards against instances that go on with what they know after
// all connections to the store have gone silent and those that watch it for them have stopped, died,
// frozen or been cut off, one after the other. Instances that nothing has happened to since must know a
// change in time, also if they serve nothing. The orders of events are drawn.
func TestInstancesLearnInTimeWhoeverWatches(t *testing.T) {
	for _, size := range []struct {
		instances, orders int
		bound             time.Duration
	}{{2, 40, 2 * time.Second}, {3, 60, 2 * time.Second}, {7, 80, 2 * time.Second}, {34, 30, 3 * time.Second}, {87, 10, 3 * time.Second}, {195, 4, 3 * time.Second}, {410, 2, 3 * time.Second}} {
		t.Run(fmt.Sprintf("%d instances", size.instances), func(t *testing.T) {
			var worst time.Duration
			for seed := range size.orders {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(uint64(seed), uint64(size.instances)))
					ctx, cancel := context.WithCancel(t.Context())
					f := newWatchFleet(ctx, size.instances)
					time.Sleep(5*time.Second + time.Duration(random.IntN(13000))*time.Millisecond)
					for _, l := range f.links {
						l.silence()
					}
					time.Sleep(size.bound + time.Second)
					var order []string
					for range 1 + random.IntN(min(size.instances-1, 5)) {
						watchers := f.watchers()
						if len(watchers) == 0 {
							break
						}
						kind, id := watcherTroubles[random.IntN(len(watcherTroubles))], watchers[random.IntN(len(watchers))]
						f.trouble(kind, id)
						order = append(order, id+" "+kind)
						time.Sleep(time.Duration(random.IntN(1300)) * time.Millisecond)
					}
					f.leave(false)
					f.states = f.undisturbed()
					used := f.usedFor("leaves", 20*time.Second)
					worst = max(worst, used)
					if used > size.bound {
						t.Errorf("order %d, %q: used for %s, allowed %s", seed, order, used, size.bound)
					}
					cancel()
					time.Sleep(time.Minute)
				})
			}
			t.Logf("known after %s at worst", worst)
		})
	}
}

// TestFewStrongInstancesWatch checks that few and strong instances follow the store in a fleet of any size,
// and that the others are spread over them.
func TestFewStrongInstancesWatch(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 29, 30, 65, 195, 410} {
		members := make([]peer.Member, n)
		for i := range members {
			members[i] = peer.Member{ID: fmt.Sprint("m", i), Capacity: uint32(200 + 600*((i+1)%2))}
		}
		strong := (n + 1) / 2
		served := map[string]int{}
		direct := 0
		want := min(max(minWatchers, (n+instancesPerWatcher-1)/instancesPerWatcher), strong)
		for _, m := range members {
			relays := RelaysOf(m.ID, members)
			if len(relays) == 0 {
				direct++
				continue
			}
			if len(relays) != want {
				t.Errorf("%d members: %s has %d relays, want %d", n, m.ID, len(relays), want)
			}
			served[relays[0]]++
		}
		if direct != want {
			t.Errorf("%d members: %d follow the store by themselves, want %d", n, direct, want)
		}
		for _, m := range members {
			if served[m.ID] > 0 && m.Capacity < 800 {
				t.Errorf("%d members: %s is weak and relays to %d", n, m.ID, served[m.ID])
			}
			if served[m.ID] > 2*instancesPerWatcher {
				t.Errorf("%d members: %s relays to %d instances", n, m.ID, served[m.ID])
			}
		}
	}
}

// TestMembersThatLeaveDoNotWatch checks that an instance that is about to leave passes its part on, and that
// no instance depends on one if all leave.
func TestMembersThatLeaveDoNotWatch(t *testing.T) {
	members := make([]peer.Member, 7)
	for i := range members {
		members[i] = peer.Member{ID: fmt.Sprint("m", i), Capacity: 400}
	}
	for left := range members {
		leaving := map[string]bool{}
		for i := range left {
			leaving[members[i].ID], members[i].Leaving = true, true
		}
		for _, m := range members {
			for _, id := range RelaysOf(m.ID, members) {
				if leaving[id] {
					t.Errorf("%d are leaving: %s follows %s, which is one of them", left, m.ID, id)
				}
			}
		}
	}
	for i := range members {
		members[i].Leaving = true
	}
	if w, r := Watchers(members), RelaysOf("m0", members); len(w) > 0 || len(r) > 0 {
		t.Errorf("all are leaving: watchers %v, relays %v, want none", w, r)
	}
}
