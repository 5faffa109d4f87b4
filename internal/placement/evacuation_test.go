package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// evacuate sets or revokes the evacuation of the data centre "z1".
func (f *fixture) evacuate(evacuated bool) {
	e := deployment.Evacuations{Revoked: []string{"z1"}}
	if evacuated {
		e = deployment.Evacuations{Set: []deployment.Evacuation{{DataCentre: "z1"}}}
	}
	f.state.SetEvacuations(e, false, time.Now())
}

// evacuatedFixture returns a fixture of two engines, the first of which is in the data centre "z1",
// with running jobs on both, and their numbers by engine.
func evacuatedFixture(now time.Time) (*fixture, map[string]int) {
	f, at := newFixture(2), map[string]int{}
	f.change("e0", func(up *deployment.Upstream) { up.DataCentre = "z1" })
	for i := range 10 {
		at[f.planner.Place(shortJob(fmt.Sprint("a", i)), 1, now).Upstream]++
	}
	return f, at
}

// TestEvacuationKeepsRunningJobs guards against new jobs at an evacuated upstream, against losing
// or miscounting the jobs that run there, and against an upstream that comes back as one that runs
// nothing, however long the evacuation lasts.
func TestEvacuationKeepsRunningJobs(t *testing.T) {
	now := time.Now()
	f, at := evacuatedFixture(now)
	f.evacuate(true)
	if got := f.planner.JobsIn("z1"); got != at["e0"] || got == 0 {
		t.Errorf("%d jobs shown in the data centre, want %d", got, at["e0"])
	}
	for i := range 5 {
		if got := f.planner.Place(shortJob(fmt.Sprint("b", i)), 1, now).Upstream; got != "e1" {
			t.Errorf("a job was placed at %q", got)
		}
	}
	ended := ""
	for id, pj := range f.planner.jobs {
		if pj.upstream.ID == "e0" {
			ended = id
		}
	}
	f.planner.Ended(ended, End{Outcome: Completed}, now)
	pl := f.planner.pools["llm"]
	if len(pl.absent) != 0 || f.planner.Dump(now)[0].Jobs != at["e0"]-1 {
		t.Errorf("%d absent upstreams; the dump shows %+v, want %d jobs", len(pl.absent), f.planner.Dump(now)[0], at["e0"]-1)
	}
	f.evacuate(false)
	if m := pl.members["e0"]; m.jobs != at["e0"]-1 || m.engine.Requests() != at["e0"]-1 {
		t.Errorf("after the revocation %d jobs and %d in the engine's model, want %d", m.jobs, m.engine.Requests(), at["e0"]-1)
	}
	if got := f.planner.Place(shortJob("c"), 1, now).Upstream; got != "e0" {
		t.Errorf("after the revocation a job was placed at %q, want the engine with less work", got)
	}
}

// TestEvacuatedUpstreamsStillCrash guards against a request that crashes upstreams and is sent on for
// ever, because a crash in an evacuated data centre counts as a departure.
func TestEvacuatedUpstreamsStillCrash(t *testing.T) {
	crashes := func(evacuated bool) int {
		f, now, sends := newFixture(2), time.Now(), 0
		for i := range 40 {
			now = now.Add(2 * time.Second)
			f.change("e1", func(up *deployment.Upstream) { up.Leaving = true })
			j := crashingJob(i)
			if f.planner.PlaceAlone(j, 1, now).Upstream == "" {
				continue
			}
			sends++
			f.change("e0", func(up *deployment.Upstream) { up.DataCentre = "z1" })
			f.evacuate(evacuated)
			f.change("e0", func(up *deployment.Upstream) { up.Born++ })
			f.planner.Ended(j.ID, End{Outcome: Lost}, now)
			f.evacuate(false)
		}
		return sends
	}
	if plain, evacuated := crashes(false), crashes(true); plain != evacuated || plain > 10 {
		t.Errorf("a crashing request was sent %d times beside evacuations, %d times without", evacuated, plain)
	}
}

// TestAllEvacuatedRefuses guards against placing at evacuated upstreams because no other is left.
func TestAllEvacuatedRefuses(t *testing.T) {
	now := time.Now()
	f, _ := evacuatedFixture(now)
	f.change("e1", func(up *deployment.Upstream) { up.DataCentre = "z1" })
	f.evacuate(true)
	if d := f.planner.Place(shortJob("x"), 1, now); d.Reason != NoUpstream || d.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal with a time", d)
	}
}
