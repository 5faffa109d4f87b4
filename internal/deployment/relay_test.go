package deployment

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// freeze makes an instance neither answer nor call any other one.
func (f *leavingFleet) freeze(i int, frozen bool) {
	for _, id := range f.ids {
		f.net.SetSilent(f.ids[i], id, frozen)
		f.net.SetSilent(id, f.ids[i], frozen)
	}
}

// without returns a fleet of which usedFor leaves out the first n instances.
func (f *leavingFleet) without(n int) *leavingFleet {
	rest := *f
	rest.states = f.states[n:]
	return &rest
}

// TestInstancesLearnInTimeWithoutTheirRelay checks that an upstream that leaves gets no more
// work after the time allowed from instances whose relay ends, freezes, is cut off from them or
// loses its way to the store at about that moment.
func TestInstancesLearnInTimeWithoutTheirRelay(t *testing.T) {
	troubles := map[string]func(f *leavingFleet){
		"relay killed":          func(f *leavingFleet) { f.net.Leave("i0"); f.links[0].fail(time.Hour) },
		"relay frozen":          func(f *leavingFleet) { f.freeze(0, true); f.links[0].fail(time.Hour) },
		"relays killed":         func(f *leavingFleet) { f.net.Leave("i0"); f.net.Leave("i1") },
		"relays frozen":         func(f *leavingFleet) { f.freeze(0, true); f.freeze(1, true) },
		"relay cut off":         func(f *leavingFleet) { f.freeze(0, true) },
		"store rejects a relay": func(f *leavingFleet) { f.links[0].fail(time.Hour) },
		"store rejects relays":  func(f *leavingFleet) { f.links[0].fail(time.Hour); f.links[1].fail(time.Hour) },
		"relay's store silent":  func(f *leavingFleet) { f.links[0].acknowledged = true; f.links[0].silence() },
	}
	for _, size := range leavingSizes {
		for name, begin := range troubles {
			var worst, worstOffset time.Duration
			for offset := -1500 * time.Millisecond; offset <= 600*time.Millisecond; offset += 300 * time.Millisecond {
				withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
					time.AfterFunc(2*time.Second+offset, func() { begin(f) })
					time.Sleep(2*time.Second - 20*time.Millisecond)
					f.store.put(logChange{upstream: upstreams("new")[0]}) // a batch begins
					time.Sleep(20 * time.Millisecond)
					f.leave(false)
					if used := f.without(leavingWatchers).usedFor("leaves", 10*time.Second); used > worst {
						worst, worstOffset = used, offset
					}
				})
			}
			t.Logf("%d instances, %s: used for %s at worst", size.instances, name, worst)
			if worst > size.bound {
				t.Errorf("%d instances, %s %s after it left: used for %s, allowed %s", size.instances, name, worstOffset, worst, size.bound)
			}
		}
	}
}

// calls returns how many calls to the store were made so far.
func (f *leavingFleet) calls() int64 {
	n := int64(0)
	for _, l := range f.links {
		n += l.calls.Load()
	}
	return n
}

// TestRelaysSaveCallsToTheStore checks that large fleets make at most a quarter of the calls
// for changes that they make if each instance follows the store by itself, and less than half
// of them in an outage.
func TestRelaysSaveCallsToTheStore(t *testing.T) {
	const instances, steady, outage = 195, 48 * time.Second, 8 * time.Second
	// An instance that follows the store by itself makes a call for each change that is seen here.
	// In the outage such a fleet of the build 9cd15ac made maxAway calls.
	const maxChanges, maxAway = 5 * instances, 1481
	count := func(isRelayed bool) (changes, away int64) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newRelayedFleet(ctx, instances, 4*time.Second, isRelayed)
			time.Sleep(15 * time.Second)
			before := f.calls()
			for i := range 6 {
				time.Sleep(steady / 6)
				f.store.put(logChange{upstream: upstreams(fmt.Sprint("new", i))[0]})
			}
			changes = f.calls() - before
			before = f.calls()
			for _, l := range f.links {
				l.fail(outage)
			}
			time.Sleep(outage + 4*time.Second)
			away = f.calls() - before
			f.leave(true)
			if used := f.usedFor("leaves", 10*time.Second); used > 4*time.Second {
				t.Errorf("relayed %v: an upstream that leaves after the outage is used for %s", isRelayed, used)
			}
			cancel()
			time.Sleep(time.Minute)
		})
		return changes, away
	}
	changes, away := count(false)
	relayedChanges, relayedAway := count(true)
	t.Logf("calls in %s: %d, relayed %d; around an outage of %s: %d, relayed %d", steady, changes, relayedChanges, outage, away, relayedAway)
	if limit := min(changes, maxChanges) / 4; relayedChanges > limit {
		t.Errorf("%d calls for changes, want %d at most", relayedChanges, limit)
	}
	if limit := min(away, maxAway) / 2; relayedAway > limit {
		t.Errorf("%d calls around an outage, want %d at most", relayedAway, limit)
	}
}

// TestRelayAnswersOnlyWhileItFollows checks that a relay gives no answer that is older than
// its bound, and that it says that the store is away.
func TestRelayAnswersOnlyWhileItFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{changes: make(chan Update), snapshot: Update{Complete: true, Revision: rev(10), Upstreams: upstreams("a")}}
		options := oneInstance
		options.IsWatcher = func() bool { return true }
		options.IsRelay = options.IsWatcher
		f := NewFollower(NewState(), s, options)
		ask := func() followAnswer { return f.waitForNews(t.Context(), followRequest{}) }
		if a := ask(); !a.Unfit || a.News != nil {
			t.Errorf("before the first answer of the store: %+v, want unfit", a)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		a := ask()
		if a.Unfit || a.News == nil || len(a.News.Upstreams) != 1 {
			t.Errorf("while the store answers: %+v, want one upstream", a)
		}
		if again := f.waitForNews(t.Context(), followRequest{Version: a.Version, Wait: time.Second}); again.Unfit || again.News != nil {
			t.Errorf("without news: %+v, want none", again)
		}
		s.set(Update{}, errors.New("store is away"))
		f.refresh()
		time.Sleep(20 * time.Millisecond)
		if a := ask(); !a.Unfit || !a.StoreAway {
			t.Errorf("while the store is away: %+v, want unfit for that reason", a)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestInstancesReturnToTheirRelays guards against instances that call the store because their
// relays do not follow it for a moment, and then wait for that call, on a connection that goes
// silent, long after the relays follow it again. They serve nothing meanwhile.
func TestInstancesReturnToTheirRelays(t *testing.T) {
	for _, size := range leavingSizes {
		for delay := time.Second; delay < 12*time.Second; delay += 700 * time.Millisecond {
			withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
				for _, relay := range f.links[:leavingWatchers] {
					relay.fail(2 * time.Second)
				}
				time.Sleep(1500 * time.Millisecond) // the others call the store
				for _, l := range f.links {
					l.acknowledged = true
					l.silence()
				}
				time.Sleep(delay)
				f.leave(false)
				undisturbed := size.bound + time.Second
				if late := f.usedFor("leaves", 20*time.Second) - max(size.bound, undisturbed-delay); late > 0 {
					t.Errorf("%d instances, leaving %s after the silence: used %s longer than allowed", size.instances, delay, late)
				}
			})
		}
	}
}
