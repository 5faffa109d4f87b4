package deployment

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// evacuated returns the names of the data centres that a state has as evacuated.
func evacuated(s *State) []string {
	var names []string
	for _, e := range s.View().Evacuations() {
		names = append(names, e.DataCentre)
	}
	return names
}

// evacuating returns complete or changed evacuations.
func evacuating(set ...string) *Evacuations {
	e := &Evacuations{}
	for _, name := range set {
		e.Set = append(e.Set, Evacuation{DataCentre: name})
	}
	return e
}

// TestEvacuatedUpstreamsAreHidden guards against new work for upstreams of an evacuated data
// centre, also ones that are listed later, and against forgetting upstreams that still run work.
func TestEvacuatedUpstreamsAreHidden(t *testing.T) {
	s, now := NewState(), time.Now()
	up := func(id, dataCentre string) Upstream { return Upstream{ID: id, Service: "s", DataCentre: dataCentre} }
	s.ReplaceUpstreams([]Upstream{up("a", "z1"), up("b", "z2")}, rev(1), now)
	if set, _ := s.SetEvacuations(*evacuating("z1", "unknown"), false, now); !slices.Equal(set, []string{"unknown", "z1"}) {
		t.Errorf("in effect for %v", set)
	}
	s.UpdateUpstreams([]Upstream{up("c", "z1"), up("d", "z2")}, nil, rev(2), now)
	ids := func() string {
		text := ""
		for _, u := range s.View().Upstreams("s") {
			text += u.ID
		}
		return text
	}
	if _, known := s.View().Upstream("c"); ids() != "bd" || !known || len(s.View().Listed("s")) != 4 {
		t.Errorf("upstreams for new work: %q, want b and d; c known: %v", ids(), known)
	}
	if got := s.View().EvacuatedUpstreams("s"); !slices.Equal(got, []string{"a", "c"}) || s.View().OnlyEvacuated("s") {
		t.Errorf("evacuated upstreams %v", got)
	}
	s.SetEvacuations(*evacuating("z2"), false, now.Add(time.Second))
	if !s.View().OnlyEvacuated("s") || s.View().OnlyEvacuated("another") {
		t.Error("a service all of whose upstreams are evacuated is not told from one without upstreams")
	}
	if set, revoked := s.SetEvacuations(*evacuating("z2"), true, now.Add(time.Minute)); len(set) > 0 || !slices.Equal(revoked, []string{"unknown", "z1"}) {
		t.Errorf("complete list: set %v, revoked %v", set, revoked)
	}
	if since := s.View().Evacuations()[0].Since; since != now.Add(time.Second).UnixMilli() {
		t.Error("the time of an evacuation changed although it remained")
	}
	s.SetEvacuations(Evacuations{Revoked: []string{"z2"}}, false, now)
	if ids() != "abcd" {
		t.Errorf("after the revocation: %q, want all", ids())
	}
}

// configurationsSource is a fakeSource of configurations.
type configurationsSource struct {
	*fakeSource
	reads atomic.Int32
}

func (*configurationsSource) Content() Content { return Configurations }

func (s *configurationsSource) Read(ctx context.Context) (Update, error) {
	s.reads.Add(1)
	return s.fakeSource.Read(ctx)
}

// TestEvacuationsFollowTheStore guards against evacuations that stay in force although the store
// has lost or revoked them, and ones that are missed: in a feed, in the snapshot after a lost
// history, in an older copy of the store and in the snapshot of another instance. An update that
// says nothing of them changes nothing.
func TestEvacuationsFollowTheStore(t *testing.T) {
	snapshot := func(r Revision, e *Evacuations) Update {
		return Update{Complete: true, Revision: r, Changed: r, Config: &Configuration{Version: 1}, Evacuations: e}
	}
	source := &configurationsSource{fakeSource: &fakeSource{snapshot: snapshot(rev(1), evacuating("z1"))}}
	synctest.Test(t, func(t *testing.T) {
		source.changes = make(chan Update)
		state := NewState()
		f := NewFollower(state, source, oneInstance)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		expect := func(when string, want ...string) {
			t.Helper()
			time.Sleep(time.Second)
			if got := evacuated(state); !slices.Equal(got, want) {
				t.Errorf("%s: evacuated %v, want %v", when, got, want)
			}
		}
		expect("first snapshot", "z1")
		version := func() uint64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.version
		}
		before := version()
		source.changes <- Update{Revision: rev(2), Changed: rev(2), Evacuations: &Evacuations{Set: evacuating("z2").Set, Revoked: []string{"z1"}}}
		expect("feed", "z2")
		if version() == before {
			t.Error("instances that follow the store through this one were not told")
		}
		source.changes <- Update{Revision: rev(3), Changed: rev(3), Config: &Configuration{Version: 2}}
		expect("feed with a configuration only", "z2")
		source.set(Update{}, ErrHistoryLost)
		source.changes <- Update{Revision: rev(8)}
		synctest.Wait()
		source.set(snapshot(rev(9), evacuating("z3")), nil)
		expect("snapshot after a lost history", "z3")
		if s := f.snapshot(); s.Evacuations == nil || len(s.Evacuations.Set) != 1 || s.Evacuations.Set[0].Since == 0 {
			t.Errorf("snapshot for other instances: %+v", s.Evacuations)
		}
		source.set(Update{}, errors.New("store rejects this instance"))
		f.refresh()
		f.offer(snapshot(rev(10), evacuating("z4")))
		expect("snapshot of another instance", "z4")
		source.set(snapshot(Revision{Era: 1, Number: 5}, evacuating()), nil)
		f.refresh()
		expect("older copy of the store")
		cancel()
		synctest.Wait()
	})
}

// TestRelaysThatSayNothingOfEvacuations guards against evacuations that an instance misses, or
// keeps for ever, because it follows the store through an instance of d3ebc58 or takes the snapshot
// of one. An instance without the setting follows it as before.
func TestRelaysThatSayNothingOfEvacuations(t *testing.T) {
	for _, test := range []struct {
		bound   time.Duration
		before  []string
		follows bool
	}{{5 * time.Second, nil, false}, {0, nil, true}, {0, []string{"z1"}, false}} {
		synctest.Test(t, func(t *testing.T) {
			old := Update{Complete: true, Revision: rev(7), Changed: rev(7), Config: &Configuration{Version: 7}}
			net := peertest.NewNet(time.Millisecond)
			relay := net.Join(peer.Member{ID: "relay"})
			relay.HandleCall(topicFollow, func(_ context.Context, _ string, payload []byte) ([]byte, error) {
				var r followRequest
				if err := cbor.Unmarshal(payload, &r); err != nil {
					return nil, err
				}
				a := followAnswer{Version: 1, Revision: old.Revision}
				if r.Version != 1 {
					a.News = &old
				} else {
					time.Sleep(r.Wait)
				}
				return cbor.Marshal(a)
			})
			relay.HandleCall(topicUpdate, func(context.Context, string, []byte) ([]byte, error) { return cbor.Marshal(old) })
			source := &configurationsSource{fakeSource: &fakeSource{changes: make(chan Update), snapshot: Update{
				Complete: true, Revision: rev(1), Changed: rev(1), Config: &Configuration{Version: 1}, Evacuations: evacuating(test.before...),
			}}}
			options := oneInstance
			options.EvacuationBound = always(test.bound)
			options.Relays = func() []string { return []string{"relay"} }
			state := NewState()
			f := NewFollower(state, source, options)
			e := NewExchange(state, f)
			e.SetBus(net.Join(peer.Member{ID: "new"}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.Run(ctx)
			time.Sleep(4 * time.Second)
			if got := f.Dump().Relay == "relay" && state.View().Config.Version == 7; got != test.follows {
				t.Errorf("bound %s, evacuated before %v: follows the relay: %v, want %v", test.bound, test.before, got, test.follows)
			}
			if !test.follows {
				f.offer(old)
				f.refresh()
				time.Sleep(time.Second)
				if state.View().Config.Version != 1 {
					t.Errorf("bound %s: took a snapshot that says nothing of evacuations", test.bound)
				}
				select {
				case source.changes <- Update{Revision: rev(8), Changed: rev(8), Evacuations: &Evacuations{Set: evacuating("z9").Set, Revoked: []string{"z1"}}}:
				case <-time.After(time.Minute):
					t.Errorf("bound %s: the store is not asked", test.bound)
				}
				time.Sleep(time.Second)
				if got := evacuated(state); !slices.Equal(got, []string{"z9"}) {
					t.Errorf("bound %s: evacuated %v after the store said z9", test.bound, got)
				}
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// relayAndFollower runs an instance that follows configurations itself and one that does so through it, each
// with a source of its own that begins with first.
func relayAndFollower(ctx context.Context, options FollowerOptions, first Update) (states []*State, followers []*Follower, sources []*configurationsSource) {
	net := peertest.NewNet(time.Millisecond)
	for _, id := range []string{"relay", "follower"} {
		source := &configurationsSource{fakeSource: &fakeSource{changes: make(chan Update, 1), snapshot: first}}
		options.IsWatcher = func() bool { return id == "relay" }
		options.IsRelay = options.IsWatcher
		if id == "follower" {
			options.Relays = func() []string { return []string{"relay"} }
		}
		state := NewState()
		f := NewFollower(state, source, options)
		NewExchange(state, f).SetBus(net.Join(peer.Member{ID: id}))
		go func() { _ = f.Run(ctx) }()
		states, followers, sources = append(states, state), append(followers, f), append(sources, source)
	}
	return states, followers, sources
}

// TestRelaysPassOnEvacuations guards against an instance of this build that learns of evacuations, or of
// their revocation, later than its relay by more than the pauses between two calls.
func TestRelaysPassOnEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := Update{Complete: true, Revision: rev(1), Changed: rev(1), Config: &Configuration{Version: 1}, Evacuations: evacuating("z1")}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		options := oneInstance
		options.EvacuationBound = always(5 * time.Second)
		states, followers, sources := relayAndFollower(ctx, options, first)
		time.Sleep(5 * time.Second)
		if followers[1].Dump().Relay != "relay" {
			t.Fatal("the relay is not followed")
		}
		reads := sources[1].reads.Load()
		for i, change := range []*Evacuations{evacuating("z2"), {Revoked: []string{"z1"}}, {Revoked: []string{"z2"}}} {
			sources[0].changes <- Update{Revision: rev(int64(2 + i)), Changed: rev(int64(2 + i)), Evacuations: change}
			time.Sleep(200 * time.Millisecond)
			if relay, got := evacuated(states[0]), evacuated(states[1]); !slices.Equal(relay, got) || len(got) != 2-i {
				t.Errorf("change %d: the relay knows %v, the follower %v", i, relay, got)
			}
			if i == 1 && states[0].View().Evacuations()[0] != states[1].View().Evacuations()[0] {
				t.Error("the follower does not take over the relay's time")
			}
		}
		if sources[1].reads.Load() != reads {
			t.Error("the follower asked the store")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// hangingSource is a source whose open call is never answered.
type hangingSource struct{ configurationsSource }

func (*hangingSource) Changes(ctx context.Context, _ Revision, _ time.Duration) (Update, error) {
	<-ctx.Done()
	return Update{}, ctx.Err()
}

// TestConfirmReadsTheStoreAgain guards against an instance that, after a suspension, takes an
// answer from before it for current, and against one that waits for ever while the store is away.
func TestConfirmReadsTheStoreAgain(t *testing.T) {
	for name, test := range map[string]struct {
		away bool
		// wait is the time since the first read: it is followed by a pause.
		wait time.Duration
	}{"in a call": {false, time.Second}, "in a pause": {false, time.Millisecond}, "store away": {true, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			away := test.away
			source := &hangingSource{configurationsSource{fakeSource: &fakeSource{snapshot: Update{Complete: true, Revision: rev(1), Evacuations: evacuating()}}}}
			state := NewState()
			f := NewFollower(state, source, oneInstance)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.Run(ctx)
			time.Sleep(test.wait)
			source.set(Update{Complete: true, Revision: rev(2), Evacuations: evacuating("z1")}, nil)
			if away {
				source.set(Update{}, context.DeadlineExceeded)
			}
			began := time.Now()
			if err := f.Confirm(ctx, time.Second); err != nil {
				t.Fatal(err)
			}
			if known := len(evacuated(state)) == 1; known == away {
				t.Errorf("%s: evacuation known %v", name, known)
			}
			if took := time.Since(began); !away && took > 50*time.Millisecond || away && (took < time.Second || took > 1500*time.Millisecond) {
				t.Errorf("%s: took %s", name, took)
			}
			cancel()
			synctest.Wait()
		})
	}
}
