package deployment

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// eraBound is the time after the store's return within which its new era is followed.
const eraBound = 2 * time.Second

// inEra returns a revision of the era after the first.
func inEra(number int64) Revision { return Revision{Era: 1, Number: number} }

// TestNewEraIsFollowed checks that an instance follows a store that came back from an
// older copy: while its versions are lower than the known one, and when they have passed
// it unnoticed.
func TestNewEraIsFollowed(t *testing.T) {
	for name, number := range map[string]int64{"lower versions": 50, "higher versions": 150} {
		t.Run(name, func(t *testing.T) {
			s := &fakeSource{snapshot: Update{Complete: true, Revision: rev(100), Upstreams: upstreams("a")}}
			follow(t, s, func(state *State) {
				s.set(Update{Complete: true, Revision: inEra(number), Changed: inEra(number), Upstreams: upstreams("a", "between", "new")}, nil)
				s.changes <- Update{Revision: inEra(number), Changed: inEra(number), Upstreams: upstreams("new")}
				time.Sleep(eraBound)
				for _, id := range []string{"a", "between", "new"} {
					if _, known := state.View().Upstream(id); !known {
						t.Errorf("upstream %s is not known", id)
					}
				}
				if got := state.View().Revision; got != inEra(number) {
					t.Errorf("revision %s, want %s", got, inEra(number))
				}
			})
		})
	}
}

// TestLateAnswersOfAnOlderEraAreDropped checks that an answer of the era before does not
// replace what is known of the new one.
func TestLateAnswersOfAnOlderEraAreDropped(t *testing.T) {
	s := &fakeSource{snapshot: Update{Complete: true, Revision: inEra(10), Upstreams: upstreams("new")}}
	follow(t, s, func(state *State) {
		s.changes <- Update{Revision: rev(500), Changed: rev(500), Upstreams: upstreams("old")}
		time.Sleep(eraBound)
		if _, known := state.View().Upstream("old"); known {
			t.Error("a change of the older era was applied")
		}
		s.changes <- Update{Revision: inEra(11), Changed: inEra(11), Upstreams: upstreams("newer")}
		time.Sleep(eraBound)
		if _, known := state.View().Upstream("newer"); !known {
			t.Error("the follower does not follow any more")
		}
	})
}

// TestOlderCopyBringsNothingBack checks what a list from an older copy does to upstreams
// that have left, restarted or been replaced since, and that what is not written again
// within the time allowed is gone.
func TestOlderCopyBringsNothingBack(t *testing.T) {
	with := func(id string, change func(u *Upstream)) Upstream {
		u := upstreams(id)[0]
		u.Born = 10
		if change != nil {
			change(&u)
		}
		return u
	}
	known := []Upstream{
		with("stays", nil), with("lost", nil), with("removed", nil), with("lost-but-alive", nil),
		with("leaving", func(u *Upstream) { u.Leaving = true }),
		with("restarted", func(u *Upstream) { u.Born = 20 }),
		with("successor", func(u *Upstream) { u.Born, u.Address = 20, "shared" }),
	}
	copied := []Upstream{
		with("stays", nil), with("removed", nil), with("leaving", nil), with("restarted", nil),
		with("predecessor", func(u *Upstream) { u.Address = "shared" }),
	}
	s := &fakeSource{snapshot: Update{Complete: true, Revision: rev(100), Upstreams: known}}
	follow(t, s, func(state *State) {
		s.changes <- Update{Revision: rev(101), Changed: rev(101), Removed: []string{"removed"}}
		time.Sleep(time.Second)
		s.set(Update{Complete: true, Revision: inEra(90), Changed: inEra(90), Upstreams: copied}, nil)
		s.changes <- Update{Revision: inEra(90)}
		time.Sleep(time.Second)
		view := state.View()
		for _, id := range []string{"stays", "lost", "lost-but-alive", "restarted", "successor", "leaving"} {
			if _, listed := view.Upstream(id); !listed {
				t.Errorf("1 s after the return: %s is not known", id)
			}
		}
		if u, _ := view.Upstream("leaving"); !u.Leaving {
			t.Error("the upstream that leaves gets work again")
		}
		if u, _ := view.Upstream("restarted"); u.Born != 20 {
			t.Error("the earlier incarnation replaced the later one")
		}
		for _, id := range []string{"removed", "predecessor"} {
			if _, listed := view.Upstream(id); listed {
				t.Errorf("%s was brought back", id)
			}
		}
		s.changes <- Update{Revision: inEra(91), Changed: inEra(91), Upstreams: []Upstream{known[3], known[5], known[6]}}
		time.Sleep(eraBound)
		view = state.View()
		for _, id := range []string{"lost-but-alive", "restarted", "successor"} {
			if _, listed := view.Upstream(id); !listed {
				t.Errorf("%s was written again and is not known", id)
			}
		}
		if _, listed := view.Upstream("lost"); listed {
			t.Error("an entry that was not written again is still used")
		}
	})
}

// TestDistrustedEntriesAreUsedLater checks that an upstream that is listed by the copy and
// was removed since is used once its entry has outlived the time in which the store
// removes the entries of silent upstreams.
func TestDistrustedEntriesAreUsedLater(t *testing.T) {
	s := &fakeSource{snapshot: Update{Complete: true, Revision: rev(100), Upstreams: upstreams("a", "alive", "silent")}}
	follow(t, s, func(state *State) {
		s.changes <- Update{Revision: rev(101), Changed: rev(101), Removed: []string{"alive", "silent"}}
		time.Sleep(time.Second)
		s.set(Update{Complete: true, Revision: inEra(90), Changed: inEra(90), Upstreams: upstreams("a", "alive", "silent")}, nil)
		s.changes <- Update{Revision: inEra(90)}
		time.Sleep(time.Second)
		s.changes <- Update{Revision: inEra(91), Changed: inEra(91), Removed: []string{"silent"}}
		time.Sleep(oneInstance.distrustTime())
		if _, listed := state.View().Upstream("alive"); !listed {
			t.Error("an upstream whose entry remains is not used")
		}
		if _, listed := state.View().Upstream("silent"); listed {
			t.Error("an upstream whose entry was removed again is used")
		}
	})
}

// TestEraThatFallsIsRead checks that a store whose era falls for good is followed from a
// snapshot.
func TestEraThatFallsIsRead(t *testing.T) {
	s := &fakeSource{snapshot: Update{Complete: true, Revision: inEra(100), Upstreams: upstreams("a")}}
	follow(t, s, func(state *State) {
		s.set(Update{Complete: true, Revision: rev(5), Changed: rev(5), Upstreams: upstreams("b")}, nil)
		s.changes <- Update{Revision: rev(5)}
		time.Sleep(eraBound)
		if _, listed := state.View().Upstream("b"); !listed {
			t.Error("the list of the store is not known")
		}
	})
}

// TestInstancesTellOneAnotherTheEra checks that an instance that the store turns away takes
// the new era from another one, and never gives an older one.
func TestInstancesTellOneAnotherTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		newer := &fakeSource{changes: make(chan Update), snapshot: Update{Complete: true, Revision: inEra(50), Changed: inEra(50), Upstreams: upstreams("new")}}
		older := &fakeSource{changes: make(chan Update), snapshot: Update{Complete: true, Revision: rev(100), Changed: rev(100), Upstreams: upstreams("old")}}
		var exchanges []*Exchange
		var states []*State
		for i, source := range []Source{newer, older} {
			state := NewState()
			f := NewFollower(state, source, oneInstance)
			e := NewExchange(f.state, f)
			e.SetBus(net.Join(peer.Member{ID: []string{"newer", "older"}[i]}))
			go f.Run(t.Context())
			exchanges, states = append(exchanges, e), append(states, state)
		}
		time.Sleep(time.Second)
		older.set(older.snapshot, errors.New("turned away"))
		for range 20 {
			exchanges[0].Receive("older", exchanges[1].Seen())
			exchanges[1].Receive("newer", exchanges[0].Seen())
			time.Sleep(eraBound / 20)
		}
		for i, s := range states {
			if _, known := s.View().Upstream("new"); !known {
				t.Errorf("instance %d does not know the new era", i)
			}
		}
		if _, known := states[0].View().Upstream("old"); known {
			t.Error("an older era replaced the newer one")
		}
	})
}

// TestEachReturnDistrustsAnew checks that an upstream that has left is not used when the
// store comes back from an older copy again before the entries of the first return are
// trusted.
func TestEachReturnDistrustsAnew(t *testing.T) {
	s := &fakeSource{snapshot: Update{Complete: true, Revision: rev(100), Upstreams: upstreams("a", "left")}}
	follow(t, s, func(state *State) {
		s.changes <- Update{Revision: rev(101), Changed: rev(101), Removed: []string{"left"}}
		time.Sleep(time.Second)
		for era := int64(1); era <= 3; era++ {
			revision := Revision{Era: era, Number: 90}
			s.set(Update{Complete: true, Revision: revision, Changed: revision, Upstreams: upstreams("a", "left")}, nil)
			s.changes <- Update{Revision: revision}
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				if _, listed := state.View().Upstream("left"); listed {
					t.Errorf("the upstream that left is used within 3 s of return %d", era)
					return
				}
			}
		}
	})
}

// TestDistrustLastsAsLongAsEntries checks that an upstream that has left is not used while
// the entry that an older copy has of it can still expire, however rarely upstreams renew
// their entries.
func TestDistrustLastsAsLongAsEntries(t *testing.T) {
	for _, heartbeat := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		s := &fakeSource{snapshot: Update{Complete: true, Revision: rev(100), Upstreams: upstreams("a", "left")}}
		options := oneInstance
		options.UpstreamHeartbeat = always(heartbeat)
		followWith(t, s, options, func(state *State) {
			s.changes <- Update{Revision: rev(101), Changed: rev(101), Removed: []string{"left"}}
			time.Sleep(time.Second)
			s.set(Update{Complete: true, Revision: inEra(90), Changed: inEra(90), Upstreams: upstreams("a", "left")}, nil)
			s.changes <- Update{Revision: inEra(90)}
			time.Sleep(7 * heartbeat / 2)
			if _, listed := state.View().Upstream("left"); listed {
				t.Errorf("heartbeats every %s: the upstream that left is used before its entry could expire", heartbeat)
			}
			time.Sleep(2 * heartbeat)
			if _, listed := state.View().Upstream("left"); !listed {
				t.Errorf("heartbeats every %s: an entry that has not expired is not used", heartbeat)
			}
		})
	}
}
