package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// fixture is a planner of one service whose list of upstreams a test changes.
type fixture struct {
	planner   *Planner
	state     *deployment.State
	upstreams map[string]deployment.Upstream
	revision  deployment.Revision
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
	f.revision.Number++
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

// drop removes the entry of an upstream.
func (f *fixture) drop(id string) {
	delete(f.upstreams, id)
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
				d := f.planner.Place(crashingJob(i), 1, now)
				if d.Upstream == "" {
					t.Fatalf("refused for reason %s after %d upstreams had left", d.Reason, i)
				}
				lost := func() { f.planner.Ended(fmt.Sprint("bad", i), End{Outcome: Lost}, now) }
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
					d := f.planner.Place(j, 1, now)
					if d.Reason == Poisoned {
						return
					}
					crashed = append(crashed, d.Upstream)
					up := f.upstreams[d.Upstream]
					if lostFirst {
						f.planner.Ended(fmt.Sprint("bad", i), End{Outcome: Lost}, now)
					}
					listed(f, d.Upstream)
					if !lostFirst {
						f.planner.Ended(fmt.Sprint("bad", i), End{Outcome: Lost}, now)
					}
					now = now.Add(time.Second)
					for _, probed := range f.planner.DueForProbe(now) {
						result := deployment.Healthy
						if probed.ID == up.ID {
							result = deployment.Ended
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
		d := f.planner.Place(j, 1, now)
		if d.Upstream == "" {
			t.Fatalf("refused for reason %s after %d losses on upstreams that run", d.Reason, i)
		}
		lost = append(lost, d.Upstream)
		f.planner.Ended(j.ID, End{Outcome: Lost}, now)
		now = now.Add(time.Second)
		for _, up := range f.planner.DueForProbe(now) {
			f.planner.Probed(up, deployment.Alive, now, now)
		}
		now = now.Add(10 * time.Second)
	}
}

// TestCrashesOfOneListedIncarnationCount checks that a request, and a part of a prompt, that
// crash upstreams are contained also while the store is away: upstreams restart without new
// entries, and an instance that has started anew plans alone. The users allow three sends
// later than 3 s after the third crash, for a part after the fifth.
func TestCrashesOfOneListedIncarnationCount(t *testing.T) {
	const (
		engines         = 2
		outage          = 20 * time.Second
		interval        = 100 * time.Millisecond
		containmentTime = 3 * time.Second
		maxLateSends    = 3
	)
	part := func(i int) Job {
		j := shortJob(fmt.Sprint("bad", i))
		j.Fingerprint, j.Parts = uint64(1000+i), []uint64{uint64(2000 + i), 666}
		return j
	}
	for _, c := range []struct {
		name    string
		job     func(i int) Job
		bounded int
		// after is what probes show of an upstream that has restarted: engines name their
		// start, plain services don't.
		after    deployment.ProbeResult
		downtime time.Duration
	}{
		{"request, plain service", crashingJob, 3, deployment.Healthy, time.Second},
		{"request, plain service that restarts at once", crashingJob, 3, deployment.Healthy, 200 * time.Millisecond},
		{"request, engine", crashingJob, 3, deployment.Ended, time.Second},
		{"request, engine that restarts at once", crashingJob, 3, deployment.Ended, 200 * time.Millisecond},
		{"part, engine", part, 5, deployment.Ended, time.Second},
		{"part, engine that restarts at once", part, 5, deployment.Ended, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(engines)
			start := time.Now()
			crashedAt := map[string]time.Time{}
			var sends []time.Time
			for step := range int(outage / interval) {
				now := start.Add(time.Duration(step) * interval)
				isDown := func(id string) bool { return now.Before(crashedAt[id].Add(c.downtime)) }
				j := c.job(step)
				switch d := f.planner.PlaceAlone(j, 1, now); {
				case d.Upstream == "":
				case isDown(d.Upstream):
					f.planner.Ended(j.ID, End{Outcome: Unreached}, now)
				default:
					sends = append(sends, now)
					crashedAt[d.Upstream] = now
					f.planner.Ended(j.ID, End{Outcome: Lost}, now)
				}
				if step%5 != 0 {
					continue
				}
				for _, up := range f.planner.DueForProbe(now) {
					result := deployment.Healthy
					switch _, crashed := crashedAt[up.ID]; {
					case isDown(up.ID):
						result = deployment.Ended
					case crashed:
						result = c.after
					}
					f.planner.Probed(up, result, now, now)
				}
			}
			late := 0
			for _, at := range sends {
				if len(sends) >= c.bounded && at.Sub(sends[c.bounded-1]) > containmentTime {
					late++
				}
			}
			if late > maxLateSends {
				t.Errorf("sent %d times, %d of them later than %s after crash %d, want %d at most", len(sends), late, containmentTime, c.bounded, maxLateSends)
			}
			t.Logf("sent %d times, %d late", len(sends), late)
		})
	}
}

// TestStallsInOverloadAreNoSuspects checks that requests with a part are neither refused nor
// sent as trials because others with it stalled on upstreams that went on answering, and that
// the stalls count once the upstreams are found to have crashed.
func TestStallsInOverloadAreNoSuspects(t *testing.T) {
	const shared, stalls = 777, 4
	f := newFixture(8)
	now := time.Now()
	place := func(id string) Decision {
		j := shortJob(id)
		j.Parts = []uint64{shared}
		return f.planner.Place(j, 1, now)
	}
	stalled := map[string]string{} // by upstream
	for i := range 4 * len(f.upstreams) {
		id := fmt.Sprint("r", i)
		up := place(id).Upstream
		if _, known := stalled[up]; !known && len(stalled) < stalls {
			stalled[up] = id
			continue
		}
		now = now.Add(50 * time.Millisecond)
		f.planner.FirstAnswer(id, now)
	}
	for _, id := range stalled {
		f.planner.Ended(id, End{Outcome: Stalled}, now)
	}
	if d := place("beside"); d.Upstream == "" || len(d.Trial) > 0 {
		t.Errorf("a request beside stalls on upstreams that answer: refused for reason %s, trial of %v", d.Reason, d.Trial)
	}
	for up := range stalled {
		f.planner.Probed(f.upstreams[up], deployment.Ended, now, now)
	}
	if d := place("after"); d.Upstream != "" && len(d.Trial) == 0 {
		t.Errorf("a request after %d crashes with its part was sent as if nothing had happened", stalls)
	}
}

// crashEngines has node n lose the crashing request on engines until it is refused. All
// nodes probe the upstreams that are due for it, which are down.
func crashEngines(t *testing.T, nodes []*node, n *node) {
	t.Helper()
	var crashed []string
	for i := range 8 {
		j := crashingJob(i)
		j.Avoid = crashed
		d := n.fleet.Place(t.Context(), j)
		if d.Reason == Poisoned {
			return
		}
		if d.Upstream == "" {
			t.Fatalf("refused for reason %s", d.Reason)
		}
		crashed = append(crashed, d.Upstream)
		n.fleet.Ended("llm", j.ID, End{Outcome: Lost})
		time.Sleep(time.Second)
		for _, other := range nodes {
			for _, up := range other.planner.DueForProbe(time.Now()) {
				other.planner.Probed(up, deployment.Ended, time.Now(), time.Now())
			}
		}
		time.Sleep(time.Second)
	}
	t.Fatal("the request was not refused after 8 crashes")
}

// TestAllInstancesLearnOfCrashes checks that an instance that saw no crash refuses the
// request that caused them, with all links and without any, and that it serves the
// request again once it has completed elsewhere.
func TestAllInstancesLearnOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		nodes := newNodes(net, 4)
		var others []*node
		for _, n := range nodes {
			if n != homeOf(nodes, "llm") {
				others = append(others, n)
			}
		}
		crashEngines(t, nodes, others[0])
		if d := others[1].fleet.Place(t.Context(), crashingJob(100)); d.Reason != Poisoned {
			t.Errorf("an instance that saw no crash: placed on %q for reason %s, want a refusal", d.Upstream, d.Reason)
		}
		for _, other := range nodes {
			net.SetLinkBroken(others[1].member.ID, other.member.ID, true)
		}
		if d := others[1].fleet.Place(t.Context(), crashingJob(101)); d.Reason != Poisoned {
			t.Errorf("an instance that plans alone: placed on %q for reason %s, want a refusal", d.Upstream, d.Reason)
		}
	})
}

// TestCompletedRequestIsClearedEverywhere checks that a request that completes after a
// crash in which it was in flight is no suspect for any instance.
func TestCompletedRequestIsClearedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(peertest.NewNet(time.Millisecond), 3)
		for i, outcome := range []Outcome{Lost, Completed} {
			j := crashingJob(i)
			d := nodes[0].fleet.Place(t.Context(), j)
			if d.Upstream == "" {
				t.Fatalf("refused for reason %s", d.Reason)
			}
			nodes[0].fleet.Ended("llm", j.ID, End{Outcome: outcome})
			time.Sleep(time.Second)
			for _, n := range nodes {
				for _, up := range n.planner.DueForProbe(time.Now()) {
					n.planner.Probed(up, deployment.Ended, time.Now(), time.Now())
				}
			}
			time.Sleep(time.Second)
			for _, n := range nodes {
				if got, want := n.planner.suspected(666, time.Now()), outcome == Lost; got != want {
					t.Errorf("after outcome %s: %s suspects the request: %v, want %v", outcome, n.member.ID, got, want)
				}
			}
		}
	})
}

// suspected reports whether the planner suspects a request.
func (p *Planner) suspected(fingerprint uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, _ := p.poison.Verdict(fingerprint, now)
	return verdict != poison.Clear
}

// TestSuspectsRunApart checks that of the requests that were in flight in one crash, the
// one that caused it is refused after the second crash, and no other.
func TestSuspectsRunApart(t *testing.T) {
	f := newFixture(12)
	now := time.Now()
	const requests, poisonous = 8, 3
	jobOf := func(request, attempt int) Job {
		j := shortJob(fmt.Sprintf("r%d-%d", request, attempt))
		j.Fingerprint = uint64(1000 + request)
		return j
	}
	// All requests run on one engine, which crashes.
	var first Decision
	for r := range requests {
		j := jobOf(r, 0)
		if r == 0 {
			first = f.planner.Place(j, 1, now)
			continue
		}
		f.planner.Adopt(Adoption{Job: j, Decision: first}, now)
	}
	for r := range requests {
		f.planner.Ended(fmt.Sprintf("r%d-0", r), End{Outcome: Lost}, now)
	}
	f.planner.Probed(f.upstreams[first.Upstream], deployment.Ended, now, now)

	now = now.Add(time.Second)
	on := map[string][]int{}
	for r := range requests {
		j := jobOf(r, 1)
		j.Avoid = []string{first.Upstream}
		d := f.planner.Place(j, 1, now)
		if d.Upstream == "" {
			t.Fatalf("request %d was refused after one crash for reason %s", r, d.Reason)
		}
		on[d.Upstream] = append(on[d.Upstream], r)
	}
	for id, list := range on {
		if len(list) > 1 {
			t.Errorf("suspects %v run together on %s", list, id)
		}
		outcome := Completed
		for _, r := range list {
			if r == poisonous {
				outcome = Lost
			}
		}
		for _, r := range list {
			f.planner.Ended(fmt.Sprintf("r%d-1", r), End{Outcome: outcome}, now)
		}
		if outcome == Lost {
			f.planner.Probed(f.upstreams[id], deployment.Ended, now, now)
		}
	}
	now = now.Add(time.Second)
	for r := range requests {
		d := f.planner.Place(jobOf(r, 2), 1, now)
		if want := r == poisonous; (d.Reason == Poisoned) != want {
			t.Errorf("request %d: reason %s; want a refusal: %v", r, d.Reason, want)
		}
	}
}

// TestUnexplainedLossesHoldRequestBack checks that a request that was lost on two
// upstreams waits until it is known whether they crashed, and is then placed if not.
func TestUnexplainedLossesHoldRequestBack(t *testing.T) {
	f := newFixture(6)
	now := time.Now()
	var lost []string
	for i := range 2 {
		j := crashingJob(i)
		j.Avoid = lost
		d := f.planner.Place(j, 1, now)
		lost = append(lost, d.Upstream)
		f.planner.Ended(j.ID, End{Outcome: Lost}, now)
	}
	if d := f.planner.Place(crashingJob(2), 1, now); d.Reason != Suspected || d.RetryAfter <= 0 {
		t.Errorf("while the losses are unexplained: reason %s with retry after %s, want suspected and a time", d.Reason, d.RetryAfter)
	}
	now = now.Add(time.Second)
	for _, up := range f.planner.DueForProbe(now) {
		f.planner.Probed(up, deployment.Healthy, now, now)
	}
	if d := f.planner.Place(crashingJob(3), 1, now); d.Upstream == "" {
		t.Errorf("after the upstreams answered probes: refused for reason %s", d.Reason)
	}
}

// TestPopularRequestIsServedDespiteLosses checks that a request that many callers send is
// not held back because some of its attempts are lost on upstreams that run.
func TestPopularRequestIsServedDespiteLosses(t *testing.T) {
	f := newFixture(6)
	now := time.Now()
	refused := 0
	for i := range 200 {
		j := crashingJob(i)
		d := f.planner.Place(j, 1, now)
		if d.Upstream == "" {
			refused++
		}
		outcome := Completed
		if i%3 == 0 {
			outcome = Lost
		}
		f.planner.Ended(j.ID, End{Outcome: outcome}, now)
		now = now.Add(20 * time.Millisecond)
	}
	if refused > 0 {
		t.Errorf("%d of 200 were refused", refused)
	}
}

// TestStalledRequestsAreContained checks that a request that silences each upstream that
// runs it is refused once these have restarted or left the list.
func TestStalledRequestsAreContained(t *testing.T) {
	for name, ends := range map[string]func(f *fixture, id string){
		"restarts": func(f *fixture, id string) { f.change(id, func(up *deployment.Upstream) { up.Born++ }) },
		"leaves the list": func(f *fixture, id string) {
			delete(f.upstreams, id)
			f.list()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(8)
			now := time.Now()
			for i := range 5 {
				d := f.planner.Place(crashingJob(i), 1, now)
				if d.Reason == Poisoned {
					return
				}
				f.planner.Ended(crashingJob(i).ID, End{Outcome: Stalled}, now)
				now = now.Add(4 * time.Second)
				ends(f, d.Upstream)
				for _, up := range f.planner.DueForProbe(now) {
					f.planner.Probed(up, deployment.Unreachable, now, now)
				}
				now = now.Add(4 * time.Second)
			}
			t.Error("the request was not refused after 5 crashes")
		})
	}
}

// TestCutOffInstanceBlamesNoRequest checks that a request is served after an instance
// that was cut off from its upstreams lost it on several of them.
func TestCutOffInstanceBlamesNoRequest(t *testing.T) {
	f := newFixture(8)
	now := time.Now()
	var lost []string
	for i := range 6 {
		j := crashingJob(i)
		j.Avoid = lost
		if d := f.planner.Place(j, 1, now); d.Upstream != "" {
			lost = append(lost, d.Upstream)
			f.planner.Ended(j.ID, End{Outcome: Stalled}, now)
		}
		for range 4 {
			now = now.Add(500 * time.Millisecond)
			for _, up := range f.planner.DueForProbe(now) {
				f.planner.Probed(up, deployment.Unreachable, now, now)
			}
		}
	}
	now = now.Add(time.Second)
	for _, up := range f.planner.DueForProbe(now) {
		f.planner.Probed(up, deployment.Healthy, now, now)
	}
	if d := f.planner.Place(crashingJob(10), 1, now); d.Upstream == "" {
		t.Errorf("after the cut: refused for reason %s", d.Reason)
	}
}

// TestEndOfEarlierIncarnationsJobLeavesLoad checks that the end of a job that was placed
// on an earlier incarnation of an upstream does not change the load of the later one.
func TestEndOfEarlierIncarnationsJobLeavesLoad(t *testing.T) {
	f := newFixture(1)
	now := time.Now()
	d := f.planner.Place(shortJob("before"), 1, now)
	f.change(d.Upstream, func(up *deployment.Upstream) { up.Born++ })
	f.planner.Place(shortJob("after"), 1, now)
	f.planner.Ended("before", End{Outcome: Lost}, now)
	if got := f.planner.pools["llm"].members[d.Upstream].jobs; got != 1 {
		t.Errorf("%d jobs on the later incarnation, want 1", got)
	}
}

// TestSuspectsOneCrashShortAreStored checks that a request with two crashes that does not
// count as their cause yet is refused after the next one by an instance that started since.
func TestSuspectsOneCrashShortAreStored(t *testing.T) {
	stored := map[uint64]poison.Record{}
	now := time.Now()
	crashes := 0
	for life := range 2 {
		f := newFixture(8)
		for id := range f.upstreams {
			f.change(id, func(up *deployment.Upstream) { up.Born = int64(100 * (life + 1)) })
		}
		f.planner.OnQuarantine(func(c QuarantineChange) { stored[c.Fingerprint] = c.Record })
		for _, r := range stored {
			f.planner.RestoreQuarantines([]poison.Record{r}, now)
		}
		for i := range 2 {
			// An instance that plans alone cannot tell whether a suspect runs apart.
			d := f.planner.PlaceAlone(crashingJob(10*life+i), 1, now)
			if d.Reason == Poisoned {
				break
			}
			crashes++
			f.planner.Ended(crashingJob(10*life+i).ID, End{Outcome: Lost}, now)
			f.planner.Probed(f.upstreams[d.Upstream], deployment.Ended, now, now)
			f.change(d.Upstream, func(up *deployment.Upstream) { up.Born++ })
			now = now.Add(10 * time.Second)
		}
	}
	if crashes != 3 {
		t.Errorf("the request crashed %d upstreams, want 3", crashes)
	}
}

// TestLossAfterSilenceCountsForParts checks that a crash counts for the parts of a request
// whose stream fell silent soon after its first event, however long after that the
// connection broke, and not for one whose events had come for long.
func TestLossAfterSilenceCountsForParts(t *testing.T) {
	const brokeAfter = 3 * time.Second
	for _, silence := range []time.Duration{0, brokeAfter - 50*time.Millisecond} {
		f := newFixture(8)
		now := time.Now()
		suspect := false
		for i := range 2 {
			j := shortJob(fmt.Sprint("silent", i))
			j.Parts = []uint64{9}
			d := f.planner.Place(j, 1, now)
			if d.Upstream == "" {
				t.Fatalf("refused for reason %s", d.Reason)
			}
			f.planner.FirstAnswer(j.ID, now.Add(50*time.Millisecond))
			now = now.Add(50*time.Millisecond + brokeAfter)
			f.planner.Ended(j.ID, End{Outcome: Lost, Silence: silence}, now)
			f.change(d.Upstream, func(up *deployment.Upstream) { up.Born++ })
		}
		j := shortJob("next")
		j.Parts = []uint64{9}
		suspect = f.planner.Place(j, 1, now).Suspect
		if want := silence > 0; suspect != want {
			t.Errorf("silent for the last %s of %s: the part is a suspect: %v, want %v", silence, brokeAfter, suspect, want)
		}
	}
}
