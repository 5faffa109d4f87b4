package member

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// convergenceBound is the time after the last fault within which all views
// converge.
const convergenceBound = 40 * time.Second

// schedule is a random series of faults on a small deployment.
type schedule struct {
	*cluster
	rt     *rapid.T
	next   int
	frozen map[string]bool
	// partitioned is set while there is a partition between the regions.
	partitioned bool
	log         []string
}

var scheduleCentres = []string{"r1/a", "r1/b", "r2/c"}

func (s *schedule) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// pick draws a running instance that is not frozen, if enough are left.
func (s *schedule) pick(label string) (string, bool) {
	var ids []string
	for _, id := range s.ids() {
		if !s.frozen[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) < 4 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(s.rt, label), true
}

func (s *schedule) join() {
	id := fmt.Sprintf("%s/x%03d", scheduleCentres[s.next%3], s.next)
	s.next++
	s.note("join %s", id)
	s.listAs(id, platform.Live)
	s.start(id)
	s.applyPartition()
}

// applyPartition applies the partition between the regions to all instances,
// new ones included.
func (s *schedule) applyPartition() { s.split(inFirstRegion, s.partitioned) }

func inFirstRegion(id string) bool { return strings.HasPrefix(id, "r1/") }

// step draws and applies one fault.
func (s *schedule) step() {
	switch rapid.IntRange(0, 6).Draw(s.rt, "fault") {
	case 0:
		s.join()
	case 1:
		if id, ok := s.pick("leaver"); ok {
			s.note("leave %s", id)
			s.leave(id)
		}
	case 2:
		if id, ok := s.pick("victim"); ok {
			s.note("kill %s", id)
			s.kill(id) // stays listed
			s.applyPartition()
		}
	case 3:
		if id, ok := s.pick("frozen"); ok {
			s.note("freeze %s", id)
			s.freeze(id)
			s.frozen[id] = true
		}
	case 4:
		s.unfreezeAll()
	case 5:
		s.partitioned = !s.partitioned
		s.note("partition %v", s.partitioned)
		s.applyPartition()
	case 6:
		if id, ok := s.pick("restarted"); ok {
			s.note("restart %s", id)
			s.kill(id)
			s.start(id)
			s.applyPartition()
		}
	}
}

func (s *schedule) unfreezeAll() {
	for id := range s.frozen {
		s.note("unfreeze %s", id)
		s.unfreeze(id)
		delete(s.frozen, id)
	}
}

// TestRandomSchedules checks that after any series of faults the views of all
// connected instances converge within a bound, and that a broadcast reaches all
// of them.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.IntRange(1, 12).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			failure = runSchedule(t, rt, faults)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runSchedule(t *testing.T, rt *rapid.T, faults int) (failure string) {
	s := &schedule{cluster: newCluster(t), rt: rt, frozen: map[string]bool{}}
	defer s.stopAll()
	for range 7 {
		s.join()
	}
	time.Sleep(joinBound)
	for range faults {
		s.step()
		time.Sleep(time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "pause ms")) * time.Millisecond)
	}
	s.unfreezeAll()
	connected := func(a, b string) bool { return !s.partitioned || inFirstRegion(a) == inFirstRegion(b) }
	time.Sleep(convergenceBound)
	if problem := s.disagreement(connected); problem != "" {
		return fmt.Sprintf("%s\nafter %s", problem, strings.Join(s.log, "; "))
	}
	origin := s.ids()[0]
	s.nodes[origin].Broadcast(testTopic, []byte("last"))
	time.Sleep(2 * time.Second)
	want := -1 // the origin does not handle its own
	for _, id := range s.ids() {
		if connected(origin, id) {
			want++
		}
	}
	if got := s.deliveredTo("last"); got != want {
		return fmt.Sprintf("a broadcast reached %d of %d\nafter %s", got, want, strings.Join(s.log, "; "))
	}
	return ""
}
