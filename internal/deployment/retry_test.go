package deployment

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// countingSource counts the calls to a source.
type countingSource struct {
	*fakeSource
	calls atomic.Int64
}

func (s *countingSource) Read(ctx context.Context) (Update, error) {
	s.calls.Add(1)
	return s.fakeSource.Read(ctx)
}

func (s *countingSource) Changes(ctx context.Context, after Revision, wait time.Duration) (Update, error) {
	s.calls.Add(1)
	return s.fakeSource.Changes(ctx, after, wait)
}

// outageCase is an outage of the store as one instance of a large fleet sees it.
type outageCase struct {
	name          string
	watcher, told bool
	maxCalls      int64
	maxWait       time.Duration
}

// TestOutageCostsFewCallsInLargeFleets checks that an instance of a large fleet, unless it is a
// watcher, makes few calls while the store is away, that it notices without being told that
// the store is back, and at once if a watcher tells it.
func TestOutageCostsFewCallsInLargeFleets(t *testing.T) {
	const draws = 100 // pauses have jitter
	for _, c := range []outageCase{
		{"watcher", true, false, 20, 2 * time.Second},
		{"not told", false, false, 8, 4 * time.Second},
		{"told", false, true, 8, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range draws {
				synctest.Test(t, func(t *testing.T) { playOutage(t, c) })
			}
		})
	}
}

func playOutage(t *testing.T, c outageCase) {
	const outageTime = 8 * time.Second
	s := &countingSource{fakeSource: &fakeSource{changes: make(chan Update), snapshot: Update{Complete: true, Revision: rev(10), Upstreams: upstreams("a")}}}
	options := oneInstance
	options.Instances, options.IsWatcher = func() int { return 195 }, func() bool { return c.watcher }
	options.IsRelay = options.IsWatcher
	state := NewState()
	f := NewFollower(state, s, options)
	net := peertest.NewNet(time.Millisecond)
	own, other := NewExchange(state, f), NewExchange(NewState())
	own.SetBus(net.Join(peer.Member{ID: "own"}))
	other.SetBus(net.Join(peer.Member{ID: "other"}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Run(ctx) }()
	time.Sleep(3500 * time.Millisecond) // not between two calls
	before := s.calls.Load()
	s.set(Update{}, errors.New("store is away"))
	f.refresh() // the call in progress breaks
	time.Sleep(outageTime)
	if calls := s.calls.Load() - before; calls > c.maxCalls {
		t.Errorf("%d calls in an outage of %s, want %d at most", calls, outageTime, c.maxCalls)
	}
	s.set(Update{Complete: true, Revision: rev(11), Upstreams: upstreams("b")}, nil)
	if c.told {
		other.StoreBack()
	}
	time.Sleep(c.maxWait)
	if _, known := state.View().Upstream("b"); !known {
		t.Errorf("the store's return is not noticed within %s", c.maxWait)
	}
	cancel()
	time.Sleep(time.Minute)
}

// silentSource is a source that drops the calls that arrive while it is silent.
type silentSource struct {
	*fakeSource
	silent atomic.Bool
}

func (s *silentSource) Changes(ctx context.Context, after Revision, wait time.Duration) (Update, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return s.fakeSource.Changes(ctx, after, wait)
}

// TestCallDroppedInOutageEndsSoon checks that an instance whose call the store has dropped in an
// outage knows of a change soon after the outage, also if no other instance tells it.
func TestCallDroppedInOutageEndsSoon(t *testing.T) {
	const applyTimeout = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &silentSource{fakeSource: &fakeSource{changes: make(chan Update), snapshot: Update{Complete: true, Revision: rev(10), Upstreams: upstreams("a")}}}
		options := oneInstance
		options.Instances = func() int { return 195 }
		state := NewState()
		f := NewFollower(state, s, options)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		s.set(Update{}, errors.New("connection lost"))
		s.changes <- Update{} // the call in progress fails
		time.Sleep(20 * time.Millisecond)
		s.set(Update{Complete: true, Revision: rev(10), Upstreams: upstreams("a")}, nil)
		s.silent.Store(true)
		time.Sleep(200 * time.Millisecond) // the next call is dropped
		s.silent.Store(false)
		go func() { s.changes <- Update{Revision: rev(11), Changed: rev(11), Upstreams: upstreams("b")} }()
		time.Sleep(applyTimeout)
		if _, known := state.View().Upstream("b"); !known {
			t.Errorf("a change is not known %s after the outage", applyTimeout)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
