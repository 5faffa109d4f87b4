package deployment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// logStore is a store of upstreams that is always available and keeps its changes.
type logStore struct {
	mu      sync.Mutex
	rows    map[string]Upstream
	changes []logChange
	// kept is the version after which changes are still known.
	kept int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// logChange is one change; its version is its position in the log, from 1 on.
type logChange struct {
	upstream Upstream
	removed  bool
}

func newLogStore(list []Upstream) *logStore {
	s := &logStore{rows: map[string]Upstream{}, changed: make(chan struct{})}
	for _, u := range list {
		s.put(logChange{upstream: u})
	}
	return s
}

func (s *logStore) put(c logChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
	s.rows[c.upstream.ID] = c.upstream
	if c.removed {
		delete(s.rows, c.upstream.ID)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory forgets all changes and ends the waiting calls.
func (s *logStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = int64(len(s.changes))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *logStore) read() Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Complete: true, Revision: rev(int64(len(s.changes))), Changed: rev(int64(len(s.changes)))}
	for _, up := range s.rows {
		u.Upstreams = append(u.Upstreams, up)
	}
	return u
}

// since returns the changes after a version, and a channel that is closed at the next one.
func (s *logStore) since(after int64) (Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.kept {
		return Update{}, nil, ErrHistoryLost
	}
	u := Update{Revision: rev(int64(len(s.changes)))}
	for _, c := range s.changes[after:] {
		u.Changed = u.Revision
		if c.removed {
			u.Removed = append(u.Removed, c.upstream.ID)
		} else {
			u.Upstreams = append(u.Upstreams, c.upstream)
		}
	}
	return u, s.changed, nil
}

// storeLink is the path of one instance to a logStore. It implements Source.
type storeLink struct {
	store *logStore

	// calls counts the calls.
	calls atomic.Int64

	mu sync.Mutex
	// failsUntil is the time until which all calls fail immediately.
	failsUntil time.Time
	// deaf is closed when the open connections go silent: calls under way get no answer,
	// and fail after silenceDetection.
	deaf chan struct{}
	// acknowledged reports whether something between the two ends goes on answering
	// keep-alive probes, so that calls on silent connections never fail by themselves.
	acknowledged bool
}

// silenceDetection is the time in which keep-alive probes show that a connection is silent.
var silenceDetection = sockets.Options{KeepAliveProbes: 1}.SilenceTimeout()

// callTime is the time of a call to a store that is one network hop away.
const callTime = 5 * time.Millisecond

var errLink = errors.New("connection reset")

func newStoreLink(s *logStore) *storeLink { return &storeLink{store: s, deaf: make(chan struct{})} }

func (l *storeLink) Name() string { return "upstreams" }

func (l *storeLink) Content() Content { return Upstreams }

// fail makes all calls fail for a time, those under way included.
func (l *storeLink) fail(d time.Duration) {
	l.mu.Lock()
	l.failsUntil = time.Now().Add(d)
	l.mu.Unlock()
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	close(l.store.changed)
	l.store.changed = make(chan struct{})
}

// silence makes the open connections silent. Later ones work.
func (l *storeLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.deaf)
	l.deaf = make(chan struct{})
}

// begin waits for the time of a call. It returns the channel that is closed when the
// call's connection goes silent.
func (l *storeLink) begin() (<-chan struct{}, error) {
	l.calls.Add(1)
	time.Sleep(callTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.failsUntil) {
		return nil, errLink
	}
	return l.deaf, nil
}

func (l *storeLink) Read(context.Context) (Update, error) {
	if _, err := l.begin(); err != nil {
		return Update{}, err
	}
	return l.store.read(), nil
}

func (l *storeLink) Changes(ctx context.Context, after Revision, wait time.Duration) (Update, error) {
	deaf, err := l.begin()
	if err != nil {
		return Update{}, err
	}
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		failing := time.Now().Before(l.failsUntil)
		l.mu.Unlock()
		if failing {
			return Update{}, errLink
		}
		u, changed, err := l.store.since(after.Number)
		if err != nil || u.Changed != (Revision{}) {
			return u, err
		}
		select {
		case <-changed:
		case <-timeout:
			return u, nil
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-deaf:
			if l.acknowledged {
				<-ctx.Done()
				return Update{}, ctx.Err()
			}
			select {
			case <-time.After(silenceDetection):
				return Update{}, errLink
			case <-ctx.Done():
				return Update{}, ctx.Err()
			}
		}
	}
}

// leavingFleet is a deployment of instances that follow one store.
type leavingFleet struct {
	store     *logStore
	links     []*storeLink
	states    []*State
	exchanges []*Exchange
	ids       []string
	net       *peertest.Net
}

const (
	// leavingWatchers is the number of instances that poll the store often.
	leavingWatchers = 2
)

// withLeavingFleet starts n instances in a bubble of virtual time and calls play in it.
// bound is the time within which an upstream that leaves must get no more work.
func withLeavingFleet(t *testing.T, n int, bound time.Duration, play func(f *leavingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newLeavingFleet(ctx, n, bound)
		time.Sleep(5 * time.Second)
		play(f)
		cancel()
		time.Sleep(time.Minute) // sleeps that no context ends
	})
}

func newLeavingFleet(ctx context.Context, n int, bound time.Duration) *leavingFleet {
	return newRelayedFleet(ctx, n, bound, n > leavingWatchers)
}

// newRelayedFleet starts n instances, of which those that are not watchers follow the store
// through these if isRelayed is true.
func newRelayedFleet(ctx context.Context, n int, bound time.Duration, isRelayed bool) *leavingFleet {
	net := peertest.NewNet(time.Millisecond)
	f := &leavingFleet{store: newLogStore(upstreams("a", "b", "c", "d", "leaves")), net: net}
	for i := range n {
		options := FollowerOptions{
			Instances:    func() int { return n },
			ApplyTimeout: always(min(bound, 2*time.Second)), UpstreamHeartbeat: always(time.Second),
			IsWatcher: func() bool { return i < leavingWatchers },
		}
		options.IsRelay = func() bool { return isRelayed && i < leavingWatchers }
		if isRelayed && i >= leavingWatchers {
			options.Relays = func() []string {
				return []string{fmt.Sprintf("i%d", i%leavingWatchers), fmt.Sprintf("i%d", (i+1)%leavingWatchers)}
			}
		}
		link, state, id := newStoreLink(f.store), NewState(), fmt.Sprintf("i%d", i)
		follower := NewFollower(state, link, options)
		exchange := NewExchange(follower.state, follower)
		exchange.SetBus(net.Join(peer.Member{ID: id}))
		go follower.Run(ctx)
		f.links, f.states, f.exchanges, f.ids = append(f.links, link), append(f.states, state), append(f.exchanges, exchange), append(f.ids, id)
	}
	return f
}

// messageInterval is the time between two calls of an instance to the home.
const messageInterval = 300 * time.Millisecond

// exchangeMessages passes messages between each instance and the last one, as between
// instances and the home of a service, until ctx ends.
func (f *leavingFleet) exchangeMessages(ctx context.Context) {
	home := len(f.ids) - 1
	for i := range home {
		go func() {
			time.Sleep(messageInterval * time.Duration(i) / time.Duration(home))
			for sleep.For(ctx, messageInterval) {
				f.exchanges[home].Receive(f.ids[i], f.exchanges[i].Seen())
				f.exchanges[i].Receive(f.ids[home], f.exchanges[home].Seen())
			}
		}()
	}
}

// usedFor returns for how long from now on some instance still gives work to an upstream,
// or limit if it is longer.
func (f *leavingFleet) usedFor(id string, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		used := slices.ContainsFunc(f.states, func(s *State) bool {
			return slices.ContainsFunc(s.View().Upstreams("s"), func(u Upstream) bool { return u.ID == id })
		})
		if !used {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit
}

// leavingSizes are numbers of instances and the times within which work for an upstream
// that leaves must end.
var leavingSizes = []struct {
	instances int
	bound     time.Duration
}{{7, 2 * time.Second}, {65, 3 * time.Second}, {410, 3 * time.Second}}

// leave makes the upstream "leaves" leave, by an entry that says so or by its removal.
func (f *leavingFleet) leave(removed bool) {
	u := upstreams("leaves")[0]
	u.Leaving = !removed
	f.store.put(logChange{upstream: u, removed: removed})
}

// TestWorkEndsInTimeAroundAFailedCall checks that an upstream that leaves gets no more work
// after the time allowed, although the calls of an instance to the store fail for a moment
// around it. The store itself is available throughout.
func TestWorkEndsInTimeAroundAFailedCall(t *testing.T) {
	for _, size := range leavingSizes {
		for _, failing := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond} {
			for _, removed := range []bool{false, true} {
				var worst, worstOffset time.Duration
				for offset := -800 * time.Millisecond; offset <= 800*time.Millisecond; offset += 100 * time.Millisecond {
					withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
						time.AfterFunc(time.Second+offset, func() { f.links[3].fail(failing) })
						time.Sleep(time.Second - 20*time.Millisecond)
						f.store.put(logChange{upstream: upstreams("new")[0]}) // a batch begins
						time.Sleep(20 * time.Millisecond)
						f.leave(removed)
						if used := f.usedFor("leaves", 10*time.Second); used > worst {
							worst, worstOffset = used, offset
						}
					})
				}
				t.Logf("%d instances, calls fail for %s, removed %v: used for %s at worst", size.instances, failing, removed, worst)
				if worst > size.bound {
					t.Errorf("%d instances, calls of one fail for %s from %s after it left on, removed %v: used for %s, allowed %s",
						size.instances, failing, worstOffset, removed, worst, size.bound)
				}
			}
		}
	}
}

// TestWorkEndsInTimeAfterConnectionsWentSilent checks that an upstream that leaves gets no
// more work after the time allowed or, if that is later, once the connections have been
// undisturbed for as long as the users wait, although all open connections to the store
// went silent before.
func TestWorkEndsInTimeAfterConnectionsWentSilent(t *testing.T) {
	for _, size := range leavingSizes {
		for _, removed := range []bool{false, true} {
			// undisturbed is how long after a disturbance the users count again; one second
			// longer than the bound on their deployments.
			undisturbed := size.bound + time.Second
			var worst, worstDelay time.Duration
			for delay := 100 * time.Millisecond; delay < undisturbed; delay += 300 * time.Millisecond {
				withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
					for _, l := range f.links {
						l.silence()
					}
					time.Sleep(delay)
					f.leave(removed)
					late := f.usedFor("leaves", 20*time.Second) - max(size.bound, undisturbed-delay)
					if late > worst {
						worst, worstDelay = late, delay
					}
				})
			}
			if worst > 0 {
				t.Errorf("%d instances, removed %v, leaving %s after the connections went silent: used %s longer than allowed",
					size.instances, removed, worstDelay, worst)
			}
		}
	}
}

// TestWorkEndsInTimeAfterHistoryIsLost checks that an upstream whose entry is removed while
// the store drops its history gets no more work after the time allowed.
func TestWorkEndsInTimeAfterHistoryIsLost(t *testing.T) {
	for _, size := range leavingSizes {
		withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
			f.leave(true)
			f.store.dropHistory()
			if used := f.usedFor("leaves", 10*time.Second); used > size.bound {
				t.Errorf("%d instances: used for %s after it left, allowed %s", size.instances, used, size.bound)
			}
		})
	}
}

// TestWorkEndsInTimeAlthoughProbesAreAnswered checks the same if probes of the silent
// connections are answered, so that only the watchers notice, and instances that are linked
// learn of the change from one another.
func TestWorkEndsInTimeAlthoughProbesAreAnswered(t *testing.T) {
	testAnsweredProbes(t, true)
}

// TestIdleInstancesLearnOfChanges guards against instances that serve nothing and so hear of a
// change only from the store, when their connections to it have gone silent: they would take
// their next requests by what was in force before.
func TestIdleInstancesLearnOfChanges(t *testing.T) {
	testAnsweredProbes(t, false)
}

func testAnsweredProbes(t *testing.T, serving bool) {
	for _, size := range leavingSizes {
		undisturbed := size.bound + time.Second
		var worst, worstDelay time.Duration
		for delay := 100 * time.Millisecond; delay < 3*undisturbed; delay += 300 * time.Millisecond {
			withLeavingFleet(t, size.instances, size.bound, func(f *leavingFleet) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if serving {
					f.exchangeMessages(ctx)
				}
				for _, l := range f.links {
					l.acknowledged = true
					l.silence()
				}
				time.Sleep(delay)
				f.leave(false)
				late := f.usedFor("leaves", 20*time.Second) - max(size.bound, undisturbed-delay)
				if late > worst {
					worst, worstDelay = late, delay
				}
			})
		}
		if worst > 0 {
			t.Errorf("%d instances, leaving %s after the connections went silent: used %s longer than allowed", size.instances, worstDelay, worst)
		}
	}
}
