package deployment

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// stalledSource is a source whose connection delivers no data after the first read.
type stalledSource struct {
	fakeSource
	// rejects reports whether reads after the first are rejected.
	rejects bool
	read    bool
}

func (s *stalledSource) Read(ctx context.Context) (Update, error) {
	if s.read && s.rejects {
		return Update{}, errors.New("rejected")
	}
	s.read = true
	return s.fakeSource.Read(ctx)
}

func (s *stalledSource) Changes(ctx context.Context, _ Revision, _ time.Duration) (Update, error) {
	<-ctx.Done()
	return Update{}, ctx.Err()
}

// TestInstancesCatchUp checks that an instance whose connection to the store delivers no
// data, or whose reads the store rejects, has a change soon after another instance's
// message shows that there is one.
func TestInstancesCatchUp(t *testing.T) {
	for _, rejects := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			first := Update{Complete: true, Revision: rev(1), Changed: rev(1), Upstreams: upstreams("a")}
			good := &fakeSource{changes: make(chan Update), snapshot: first}
			bad := &stalledSource{fakeSource: fakeSource{snapshot: first}, rejects: rejects}
			net := peertest.NewNet(time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var exchanges []*Exchange
			var states []*State
			for i, source := range []Source{good, bad} {
				state := NewState()
				f := NewFollower(state, source, oneInstance)
				e := NewExchange(f.state, f)
				e.SetBus(net.Join(peer.Member{ID: []string{"good", "bad"}[i]}))
				go f.Run(ctx)
				exchanges, states = append(exchanges, e), append(states, state)
			}
			time.Sleep(time.Second)
			good.changes <- Update{Revision: rev(5), Changed: rev(5), Upstreams: upstreams("b")}
			time.Sleep(10 * time.Millisecond)
			bad.set(Update{Complete: true, Revision: rev(5), Changed: rev(5), Upstreams: upstreams("a", "b")}, nil)
			exchanges[1].Receive("good", exchanges[0].Seen())
			time.Sleep(catchUpDelay + oneInstance.batchDelay() + fetchTimeout)
			if _, known := states[1].View().Upstream("b"); !known {
				t.Errorf("store rejects reads: %v: the change is not known %s after the message", rejects, catchUpDelay+fetchTimeout)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// silencedSource is a source whose open connection goes silent for good; later ones work.
type silencedSource struct {
	fakeSource
	called bool
}

func (s *silencedSource) Changes(ctx context.Context, after Revision, wait time.Duration) (Update, error) {
	if !s.called {
		s.called = true
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	for timeout := time.After(wait); ; {
		snapshot, _ := s.get()
		if after.Before(snapshot.Revision) {
			return snapshot, nil // a change ends a call that waits
		}
		select {
		case <-time.After(callTime):
		case <-timeout:
			return Update{Revision: snapshot.Revision}, nil
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

// TestChangeIsKnownAlthoughAllConnectionsWentSilent checks that all instances know a
// change within the users' 2 s although the open connections of all of them to the store
// had gone silent 3 s before it, whether or not they follow it through a relay.
func TestChangeIsKnownAlthoughAllConnectionsWentSilent(t *testing.T) {
	for _, isRelayed := range []bool{false, true} {
		t.Run(fmt.Sprint("relayed ", isRelayed), func(t *testing.T) { testSilencedConnections(t, isRelayed) })
	}
}

func testSilencedConnections(t *testing.T, isRelayed bool) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var sources []*silencedSource
		var exchanges []*Exchange
		var states []*State
		for i, id := range []string{"a", "b", "c"} {
			source := &silencedSource{fakeSource: fakeSource{
				changes: make(chan Update), snapshot: Update{Complete: true, Revision: rev(1), Changed: rev(1), Upstreams: upstreams("old")},
			}}
			options := oneInstance
			options.IsWatcher = func() bool { return i == 0 }
			if isRelayed {
				options.IsRelay = options.IsWatcher
			}
			if isRelayed && i > 0 {
				options.Relays = func() []string { return []string{"a"} }
			}
			state := NewState()
			f := NewFollower(state, source, options)
			e := NewExchange(f.state, f)
			e.SetBus(net.Join(peer.Member{ID: id}))
			go f.Run(ctx)
			sources, exchanges, states = append(sources, source), append(exchanges, e), append(states, state)
		}
		time.Sleep(3 * time.Second)
		for _, s := range sources {
			s.set(Update{Complete: true, Revision: rev(2), Changed: rev(2), Upstreams: upstreams("new")}, nil)
		}
		for range 20 { // instances exchange messages all the time
			time.Sleep(100 * time.Millisecond)
			for _, e := range exchanges {
				for j, other := range exchanges {
					e.Receive([]string{"a", "b", "c"}[j], other.Seen())
				}
			}
		}
		for i, s := range states {
			if _, known := s.View().Upstream("new"); !known {
				t.Errorf("instance %d does not know the new upstream", i)
			}
			if _, known := s.View().Upstream("old"); known {
				t.Errorf("instance %d still uses the upstream that left", i)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestDeferredRemovalIsPassedOn checks that an instance that takes another's snapshot, in
// which an upstream is listed only because its removal is deferred, does not use the
// upstream longer than the other, although its own calls to the store get no answer.
func TestDeferredRemovalIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := Update{Complete: true, Revision: rev(1), Changed: rev(1), Upstreams: upstreams("a", "left")}
		recovering := &fakeSource{changes: make(chan Update), snapshot: first}
		cutOff := &stalledSource{fakeSource: fakeSource{snapshot: first}, rejects: true}
		net := peertest.NewNet(time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var exchanges []*Exchange
		var states []*State
		for i, source := range []Source{recovering, cutOff} {
			state := NewState()
			f := NewFollower(state, source, oneInstance)
			e := NewExchange(f.state, f)
			e.SetBus(net.Join(peer.Member{ID: []string{"recovering", "cut off"}[i]}))
			go f.Run(ctx)
			exchanges, states = append(exchanges, e), append(states, state)
		}
		time.Sleep(time.Second)
		recovering.set(first, errors.New("down"))
		recovering.changes <- Update{}
		time.Sleep(3 * time.Second)
		recovering.set(Update{Complete: true, Revision: rev(5), Changed: rev(5), Upstreams: upstreams("a")}, nil)
		recovering.changes <- Update{Revision: rev(5), Changed: rev(5), Removed: []string{"left"}}
		synctest.Wait()
		if _, listed := states[0].View().Upstream("left"); !listed {
			t.Error("the removal is not deferred after the outage")
		}
		exchanges[1].Receive("recovering", exchanges[0].Seen())
		time.Sleep(catchUpDelay + fetchTimeout + 2*reappearTimeout)
		if got := states[1].View().Revision; got != rev(5) {
			t.Errorf("the instance that is cut off knows revision %s, want 0/5", got)
		}
		for i, s := range states {
			if _, listed := s.View().Upstream("left"); listed {
				t.Errorf("instance %d still uses the upstream that left", i)
			}
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestRemovedUpstreamIsNotBroughtBack guards against an upstream that the store has shown to be
// removed, and that gets work again because another instance, such as a relay that the store had
// turned away, still defers the removal. A removal that is deferred here as well isn't put off.
func TestRemovedUpstreamIsNotBroughtBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewState()
		f := NewFollower(state, &fakeSource{}, oneInstance)
		now := time.Now()
		f.apply(Update{Complete: true, Revision: rev(1), Changed: rev(1), Upstreams: upstreams("a", "left", "late")}, now)
		f.apply(Update{Revision: rev(2), Changed: rev(2), Removed: []string{"left"}}, now)
		f.pendingRemovals["late"] = now.Add(time.Second)
		f.apply(Update{
			Complete: true, Revision: rev(3), Changed: rev(2), fetched: true,
			Upstreams: upstreams("a", "left", "late", "unknown"), Pending: []string{"left", "late", "unknown"},
		}, now)
		for id, want := range map[string]bool{"a": true, "left": false, "late": true, "unknown": true} {
			if _, listed := state.View().Upstream(id); listed != want {
				t.Errorf("%s is listed: %v, want %v", id, listed, want)
			}
		}
		if until := f.pendingRemovals["late"]; until != now.Add(time.Second) {
			t.Errorf("a removal that was deferred until 1 s from now is put off until %s", until.Sub(now))
		}
		if _, deferred := f.pendingRemovals["unknown"]; !deferred {
			t.Error("the removal of an upstream that only the other instance knows is not deferred")
		}
		f.apply(Update{Revision: rev(4), Changed: rev(4), Upstreams: upstreams("left")}, now)
		if _, listed := state.View().Upstream("left"); !listed {
			t.Error("an upstream that the store lists again gets no work")
		}
		time.Sleep(time.Minute) // timers of deferred removals
	})
}
