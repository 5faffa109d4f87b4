package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// absences are ways in which the entry of an upstream is not listed for a moment.
var absences = map[string]func(f *fixture, id string){
	"listed": func(*fixture, string) {},
	"entry":  func(f *fixture, id string) { delete(f.upstreams, id) },
	"list":   func(f *fixture, _ string) { clear(f.upstreams) },
}

// away has the entry of an upstream listed again after its absence, in which meanwhile runs.
func (f *fixture) away(absent func(f *fixture, id string), id string, meanwhile func()) {
	before := make(map[string]deployment.Upstream, len(f.upstreams))
	for one, up := range f.upstreams {
		before[one] = up
	}
	absent(f, id)
	f.list()
	meanwhile()
	f.upstreams = before
	f.list()
}

// TestAbsenceOfAnEntryHidesCrashes guards against a request that crashes an upstream for ever,
// because its crashes count as one when the entry of the same start was away between them.
func TestAbsenceOfAnEntryHidesCrashes(t *testing.T) {
	for name, absent := range absences {
		f, now, sends := newFixture(1), time.Now(), 0
		for i := range 60 {
			now = now.Add(2 * time.Second)
			j := crashingJob(i)
			if f.planner.PlaceAlone(j, 1, now).Upstream == "" {
				continue
			}
			sends++
			f.planner.Ended(j.ID, End{Outcome: Lost}, now)
			for _, up := range f.planner.DueForProbe(now) {
				f.planner.Probed(up, deployment.Ended, now.Add(time.Second), now.Add(time.Second))
			}
			f.away(absent, "e0", func() {})
		}
		if sends != 3 {
			t.Errorf("%s away: sent %d times, want 3", name, sends)
		}
	}
}

// TestAbsenceOfAnEntryEndsAPause guards against work for an upstream that could not be reached
// a moment ago, because its entry was away since, and against a pause that no probe ends.
func TestAbsenceOfAnEntryEndsAPause(t *testing.T) {
	for name, absent := range absences {
		f, now := newFixture(2), time.Now()
		down := f.planner.Place(shortJob("first"), 1, now).Upstream
		f.planner.Ended("first", End{Outcome: Unreached}, now)
		f.away(absent, down, func() {})
		for i := range 12 {
			if got := f.planner.Place(shortJob(fmt.Sprint("j", i)), 1, now).Upstream; got == down {
				t.Errorf("%s away: job %d went to the upstream that is down", name, i)
			}
		}
		due := f.planner.DueForProbe(now)
		if len(due) != 1 || due[0].ID != down {
			t.Fatalf("%s away: due for a probe are %v, want %s", name, due, down)
		}
		f.planner.Probed(due[0], deployment.Healthy, now, now)
		if f.planner.pools["llm"].members[down].health.down {
			t.Errorf("%s away: a successful probe did not end the pause", name)
		}
	}
}

// TestAbsenceOfAnEntryForgetsLoad guards against new work beside all the old, which still runs,
// at an upstream whose entry was away, and against work that ended meanwhile and stays counted.
func TestAbsenceOfAnEntryForgetsLoad(t *testing.T) {
	var listed map[string]int
	for _, name := range []string{"listed", "entry", "list"} {
		f, now, absent := newFixture(2), time.Now(), absences[name]
		at, ended := map[string]int{}, []string(nil)
		for i := range 10 {
			at[f.planner.Place(shortJob(fmt.Sprint("a", i)), 1, now).Upstream]++
		}
		f.away(absent, "e0", func() {
			for i := 0; len(ended) < 2; i++ {
				if id := fmt.Sprint("a", i); f.planner.jobs[id].upstream.ID == "e0" {
					ended = append(ended, id)
					f.planner.Ended(id, End{Outcome: Completed}, now)
				}
			}
		})
		for id, m := range f.planner.pools["llm"].members {
			want := at[id]
			if id == "e0" {
				want -= len(ended)
			}
			if m.jobs != want || m.engine.Requests() != want {
				t.Errorf("%s away: %s has %d jobs and %d in its engine's model, want %d", name, id, m.jobs, m.engine.Requests(), want)
			}
		}
		for i := range 10 {
			at[f.planner.Place(shortJob(fmt.Sprint("b", i)), 1, now).Upstream]++
		}
		if listed == nil {
			listed = at
		}
		if !maps.Equal(at, listed) {
			t.Errorf("%s away: placed %v, without absence %v", name, at, listed)
		}
	}
}

// TestAbsentUpstreamIsKeptForEver checks that what is known of an upstream ends with its next
// incarnation, and some time after it has left.
func TestAbsentUpstreamIsKeptForEver(t *testing.T) {
	f, now := newFixture(2), time.Now()
	f.planner.Place(shortJob("a"), 1, now)
	f.planner.Place(shortJob("b"), 1, now)
	old := f.upstreams["e0"]
	delete(f.upstreams, "e0")
	f.list()
	next := old
	next.Born++
	f.upstreams["e0"] = next
	f.list()
	pl := f.planner.pools["llm"]
	if m := pl.members["e0"]; m.jobs != 0 || m.engine.Requests() != 0 || len(pl.absent) != 0 {
		t.Errorf("the next incarnation has %d jobs, %d are kept", m.jobs, len(pl.absent))
	}
	delete(f.upstreams, "e0")
	f.list()
	pl.set(pl.service, nil, (&deployment.View{}).Evacuated, now.Add(absentMemory+time.Minute))
	if _, kept := pl.absent["e0"]; kept {
		t.Error("an upstream that has left is kept for ever")
	}
}
