package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// fixture is a planner of one service whose list of upstreams a test changes.
type fixture struct {
	planner   *Planner
	state     *deployment.State
	upstreams map[string]deployment.Upstream
	revision  int64
}

// newFixture returns a planner with n engines e0, e1 and so on.
func newFixture(n int) *fixture {
	f := &fixture{planner: NewPlanner(""), state: deployment.NewState(), upstreams: map[string]deployment.Upstream{}}
	f.state.Subscribe(f.planner.SetView)
	model := usersModel()
	f.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}}}, time.Now())
	for i := range n {
		id := fmt.Sprint("e", i)
		f.upstreams[id] = deployment.Upstream{ID: id, Service: "llm", Address: id, Slots: 16, Born: 1}
	}
	f.list()
	return f
}

// list publishes the upstreams.
func (f *fixture) list() {
	f.revision++
	var all []deployment.Upstream
	for _, up := range f.upstreams {
		all = append(all, up)
	}
	f.state.ReplaceUpstreams(all, f.revision, time.Now())
}

// change changes the entry of an upstream and publishes it.
func (f *fixture) change(id string, change func(up *deployment.Upstream)) {
	up := f.upstreams[id]
	change(&up)
	f.upstreams[id] = up
	f.list()
}

// crashingJob returns a job of the request that the tests repeat.
func crashingJob(i int) Job {
	j := shortJob(fmt.Sprint("bad", i))
	j.Fingerprint = 666
	return j
}

// TestLossOnLeavingUpstreamIsNotACrash checks that a request is not refused because
// several upstreams on which it was lost were emptied and taken away.
func TestLossOnLeavingUpstreamIsNotACrash(t *testing.T) {
	for name, lostFirst := range map[string]bool{"lost before the upstream leaves": true, "lost as the upstream exits": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(8)
			now := time.Now()
			for i := range 6 {
				d := f.planner.Place(crashingJob(i), now)
				if d.Upstream == "" {
					t.Fatalf("refused for reason %s after %d upstreams had left", d.Reason, i)
				}
				lost := func() { f.planner.Ended(fmt.Sprint("bad", i), Lost, now) }
				if lostFirst {
					lost()
				}
				f.change(d.Upstream, func(up *deployment.Upstream) { up.Leaving = true })
				if !lostFirst {
					lost()
				}
				now = now.Add(10 * time.Second)
				delete(f.upstreams, d.Upstream)
				f.list()
			}
		})
	}
}

// TestCrashIsCountedWhateverComesFirst checks that crashes count for a request whether
// its loss or the change of the list is known first.
func TestCrashIsCountedWhateverComesFirst(t *testing.T) {
	restart := func(f *fixture, id string) {
		f.change(id, func(up *deployment.Upstream) { up.Born++ })
	}
	remove := func(f *fixture, id string) {
		delete(f.upstreams, id)
		f.list()
	}
	for name, listed := range map[string]func(f *fixture, id string){"restarted": restart, "removed": remove} {
		for _, lostFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, lost first %v", name, lostFirst), func(t *testing.T) {
				f := newFixture(10)
				now := time.Now()
				var crashed []string
				for i := range 6 {
					j := crashingJob(i)
					j.Avoid = crashed
					d := f.planner.Place(j, now)
					if d.Reason == Poisoned {
						return
					}
					crashed = append(crashed, d.Upstream)
					up := f.upstreams[d.Upstream]
					if lostFirst {
						f.planner.Ended(fmt.Sprint("bad", i), Lost, now)
					}
					listed(f, d.Upstream)
					if !lostFirst {
						f.planner.Ended(fmt.Sprint("bad", i), Lost, now)
					}
					now = now.Add(time.Second)
					for _, probed := range f.planner.Suspects(now) {
						result := deployment.Healthy
						if probed.ID == up.ID {
							result = deployment.Unreachable
						}
						f.planner.Probed(probed, result, now, now)
					}
					now = now.Add(10 * time.Second)
				}
				t.Error("the request was not refused after 6 crashes")
			})
		}
	}
}

// TestBusyUpstreamDidNotCrash checks that a request is not refused because the upstreams
// on which it was lost answer probes, but take no work at the time.
func TestBusyUpstreamDidNotCrash(t *testing.T) {
	f := newFixture(10)
	now := time.Now()
	var lost []string
	for i := range 6 {
		j := crashingJob(i)
		j.Avoid = lost
		d := f.planner.Place(j, now)
		if d.Upstream == "" {
			t.Fatalf("refused for reason %s after %d losses on upstreams that run", d.Reason, i)
		}
		lost = append(lost, d.Upstream)
		f.planner.Ended(j.ID, Lost, now)
		now = now.Add(time.Second)
		for _, up := range f.planner.Suspects(now) {
			f.planner.Probed(up, deployment.Alive, now, now)
		}
		now = now.Add(10 * time.Second)
	}
}
