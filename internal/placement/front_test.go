package placement

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// TestFrontCountsJobsOfItsPoolOnly checks that jobs that outlive their service's
// configuration do not count against the front of the service that is configured anew.
func TestFrontCountsJobsOfItsPoolOnly(t *testing.T) {
	f := newFixture(4)
	now := time.Now()
	model := usersModel()
	configure := func(version int64, services map[string]deployment.Service) {
		f.state.SetConfiguration(&deployment.Configuration{Version: version, Services: services}, now)
	}
	f.planner.Place(shortJob("old"), 1, now)
	configure(2, map[string]deployment.Service{})
	configure(3, map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}})
	f.planner.Place(shortJob("new"), 1, now)
	f.planner.Ended("old", End{Outcome: Completed}, now)
	if got := f.planner.pools["llm"].frontJobs; got != 1 {
		t.Errorf("%d jobs at the front, want 1", got)
	}
	f.planner.Ended("new", End{Outcome: Completed}, now)
	if got := f.planner.pools["llm"].frontJobs; got != 0 {
		t.Errorf("%d jobs at the front after the end of all, want 0", got)
	}
}
