package deployment

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// listsUpstream reports whether an upstream gets work.
func listsUpstream(s *State, id string) bool {
	u, listed := s.View().Upstream(id)
	return listed && !u.Leaving
}

// TestUpstreamThatLeftStaysOutInEachList guards against an upstream that has left and gets work again
// because an instance enters the store's new era by the list of another one and reads the store's own
// list, of an older copy, after that. The order of lists and returns is drawn. Until the upstream is
// written anew, or the distrust of the entry has passed, no list brings it back.
func TestUpstreamThatLeftStaysOutInEachList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind string
			wait time.Duration
		}
		var steps []step
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			steps = append(steps, step{
				rapid.SampledFrom([]string{"return", "return", "own list", "other's list", "other's list with it", "change of another"}).Draw(rt, "kind"),
				time.Duration(rapid.IntRange(0, 900).Draw(rt, "wait")) * time.Millisecond,
			})
		}
		leaving, born := rapid.Bool().Draw(rt, "leaving before"), int64(rapid.IntRange(0, 1).Draw(rt, "born"))
		synctest.Test(t, func(t *testing.T) {
			list := upstreams("a", "left")
			for i := range list {
				list[i].Born = born
			}
			state := NewState()
			f := NewFollower(state, &fakeSource{}, oneInstance)
			// told is when the instance first heard of the last return that it has heard of; before that it
			// can't know that an entry which has outlived its distrust is from a copy again.
			number, era, toldEra, told := int64(100), int64(0), int64(0), time.Now()
			apply := func(u Update) {
				if toldEra != era {
					toldEra, told = era, time.Now()
				}
				number++
				u.Revision = Revision{Era: era, Number: number}
				f.apply(u, time.Now())
			}
			apply(Update{Complete: true, Upstreams: list})
			if leaving {
				gone := list[1]
				gone.Leaving = true
				apply(Update{Upstreams: []Upstream{gone}})
			} else {
				apply(Update{Removed: []string{"left"}})
			}
			removed := time.Now()
			copyShowsIt, outlived := false, false
			for i, s := range steps {
				switch s.kind {
				case "return":
					if !leaving && time.Since(removed) > removalMemory/2 {
						continue
					}
					era++
					number -= 10
					copyShowsIt = true
				case "own list":
					if copyShowsIt {
						apply(Update{Complete: true, Upstreams: list})
					}
				case "other's list":
					if leaving {
						gone := list[1]
						gone.Leaving = true
						apply(Update{Complete: true, Upstreams: []Upstream{list[0], gone}, fetched: true})
					} else {
						apply(Update{Complete: true, Upstreams: list[:1], fetched: true})
					}
				case "other's list with it":
					if copyShowsIt && !leaving {
						apply(Update{Complete: true, Upstreams: list, fetched: true})
					}
				case "change of another":
					if toldEra == era { // changes of a later era are refused
						apply(Update{Upstreams: list[:1]})
					}
				}
				time.Sleep(s.wait)
				outlived = outlived || time.Since(told) >= oneInstance.distrustTime() && listsUpstream(state, "left")
				if time.Since(told) < oneInstance.distrustTime() && !outlived && listsUpstream(state, "left") {
					t.Fatalf("after step %d of %v it gets work, %s after the instance heard of the return", i, steps, time.Since(told))
				}
				if !listsUpstream(state, "a") {
					t.Fatalf("after step %d of %v the other upstream gets none", i, steps)
				}
			}
			again := list[1]
			again.Born += 5
			apply(Update{Upstreams: []Upstream{again}})
			if !listsUpstream(state, "left") {
				t.Fatalf("after %v it was written anew and gets no work", steps)
			}
			time.Sleep(time.Minute)
		})
	})
}

// TestDistrustEndsByTheLastList checks that an entry that is distrusted is used when its time has passed, if
// the last list has it, and isn't if it has lapsed meanwhile, whoever has given the lists.
func TestDistrustEndsByTheLastList(t *testing.T) {
	for _, fetched := range []bool{false, true} {
		for _, lapses := range []bool{false, true} {
			t.Run(fmt.Sprintf("fetched %t, lapses %t", fetched, lapses), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					state := NewState()
					f := NewFollower(state, &fakeSource{}, oneInstance)
					list := upstreams("a", "left")
					f.apply(Update{Complete: true, Revision: rev(1), Upstreams: list}, time.Now())
					f.apply(Update{Revision: rev(2), Removed: []string{"left"}}, time.Now())
					f.apply(Update{Complete: true, Revision: inEra(1), Upstreams: list[:1], fetched: true}, time.Now())
					f.apply(Update{Complete: true, Revision: inEra(2), Upstreams: list, fetched: fetched}, time.Now())
					time.Sleep(oneInstance.distrustTime() / 2)
					if lapses {
						f.apply(Update{Complete: true, Revision: inEra(3), Upstreams: list[:1], fetched: fetched}, time.Now())
					}
					if listsUpstream(state, "left") {
						t.Error("it gets work before the time of distrust has passed")
					}
					time.Sleep(oneInstance.distrustTime())
					if listsUpstream(state, "left") == lapses {
						t.Errorf("after the time of distrust it gets work: %t", !lapses)
					}
					f.apply(Update{Complete: true, Revision: inEra(4), Upstreams: list, fetched: fetched}, time.Now())
					if !listsUpstream(state, "left") {
						t.Error("later it is listed and gets no work")
					}
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
