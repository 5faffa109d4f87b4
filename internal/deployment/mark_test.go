package deployment

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// TestMarkOfLeavingUpstreamIsFinal checks that an upstream that said that it leaves takes no work
// whatever the store lists, that its next incarnation does, and how long the mark is kept.
func TestMarkOfLeavingUpstreamIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	old, next := Upstream{ID: "u", Service: "s", Address: "a", Born: 1}, Upstream{ID: "u", Service: "s", Address: "a", Born: 2}
	unknown := Upstream{ID: "u", Service: "s", Address: "a"}
	for _, c := range []struct {
		name    string
		marked  Upstream
		change  func(s *State)
		leaving bool
	}{
		{"listed again as ready", old, func(s *State) { s.ReplaceUpstreams([]Upstream{old}, rev(2), now) }, true},
		{"changed to ready", old, func(s *State) { s.UpdateUpstreams([]Upstream{old}, nil, rev(2), now) }, true},
		{"lapsed and back", old, func(s *State) {
			s.UpdateUpstreams(nil, []string{"u"}, rev(2), now)
			s.UpdateUpstreams([]Upstream{old}, nil, rev(3), now.Add(time.Minute))
		}, true},
		{"back from an older copy", old, func(s *State) { s.ReplaceUpstreams([]Upstream{old}, Revision{Era: 1, Number: 1}, now) }, true},
		{"next incarnation", old, func(s *State) { s.UpdateUpstreams([]Upstream{next}, nil, rev(2), now) }, false},
		{"next incarnation is listed already", old, func(s *State) {
			s.UpdateUpstreams([]Upstream{next}, nil, rev(2), now)
			s.MarkLeaving(old, now)
		}, false},
		{"without a start time, gone and new", unknown, func(s *State) {
			s.UpdateUpstreams(nil, []string{"u"}, rev(2), now)
			s.UpdateUpstreams([]Upstream{unknown}, nil, rev(3), now)
		}, false},
	} {
		s := NewState()
		s.ReplaceUpstreams([]Upstream{c.marked}, rev(1), now)
		if !s.MarkLeaving(c.marked, now) || s.MarkLeaving(c.marked, now) {
			t.Errorf("%s: the first mark must be news, and no other", c.name)
		}
		c.change(s)
		if up, known := s.View().Upstream("u"); !known || up.Leaving != c.leaving || (len(s.View().Upstreams("s")) == 0) != c.leaving {
			t.Errorf("%s: listed %v, leaving %v, want %v", c.name, known, up.Leaving, c.leaving)
		}
	}
}

// TestLeavingUpstreamIsToldToAll checks that the instances of fleets of all sizes know of an
// upstream that leaves soon after one of them has read it in an answer.
func TestLeavingUpstreamIsToldToAll(t *testing.T) {
	for _, instances := range []int{7, 65, 195, 410} {
		synctest.Test(t, func(t *testing.T) {
			const delay = 5 * time.Millisecond
			up := Upstream{ID: "u", Service: "s", Address: "a", Born: 1}
			net := peertest.NewNet(delay)
			var states []*State
			var exchanges []*Exchange
			for i := range instances {
				s := NewState()
				s.ReplaceUpstreams([]Upstream{up}, rev(1), time.Now())
				e := NewExchange(s)
				e.SetBus(net.Join(peer.Member{ID: string(rune('A' + i))}))
				states, exchanges = append(states, s), append(exchanges, e)
			}
			exchanges[instances/2].UpstreamLeaves(up)
			time.Sleep(2 * delay)
			synctest.Wait()
			for i, s := range states {
				if got, _ := s.View().Upstream("u"); !got.Leaving {
					t.Errorf("instance %d of %d does not know that the upstream leaves", i, instances)
				}
			}
		})
	}
}
