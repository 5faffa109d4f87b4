package placement

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// noRevisions is a RevisionExchange without a store.
type noRevisions struct{}

func (noRevisions) Seen() []deployment.Revision           { return nil }
func (noRevisions) Receive(string, []deployment.Revision) {}

// node is the placer of one instance on an in-memory network.
type node struct {
	fleet   *Fleet
	planner *Planner
	member  peer.Member
}

// known returns the number of jobs that the node's planner knows.
func (n *node) known() int {
	n.planner.mu.Lock()
	defer n.planner.mu.Unlock()
	return len(n.planner.jobs)
}

// deploymentOf gives all planners the same engines and plain upstreams.
func deploymentOf(planners []*Planner, engines int) {
	state := deployment.NewState()
	for _, p := range planners {
		state.Subscribe(p.SetView)
	}
	model := usersModel()
	now := time.Now()
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{
		"llm": {Name: "llm", Engine: &model}, "plain": {Name: "plain"},
	}}, now)
	var ups []deployment.Upstream
	for i := range engines {
		ups = append(ups,
			deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16},
			deployment.Upstream{ID: fmt.Sprint("p", i), Service: "plain", Address: fmt.Sprint("p", i), Slots: 6})
	}
	state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
}

func newNodes(net *peertest.Net, n int) []*node {
	var nodes []*node
	var planners []*Planner
	for i := range n {
		m := peer.Member{ID: fmt.Sprint("i", i), Incarnation: 1}
		p := NewPlanner("")
		f := NewFleet(p, OwnerName(m), noRevisions{})
		f.SetBus(net.Join(m))
		nodes = append(nodes, &node{f, p, m})
		planners = append(planners, p)
	}
	deploymentOf(planners, 4)
	return nodes
}

func shortJob(id string) Job {
	return Job{ID: id, Service: "llm", Prompt: 5000, Output: 400, FirstAnswer: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond,
		Remaining: 10 * time.Second, Lifetime: 10 * time.Second}
}

// homeOf returns the node that plans the service.
func homeOf(nodes []*node, service string) *node {
	var members []peer.Member
	for _, n := range nodes {
		members = append(members, n.member)
	}
	id := peer.Owner(members, service, nil)
	for _, n := range nodes {
		if n.member.ID == id {
			return n
		}
	}
	return nil
}

// TestHomeKnowsJobsOfAllInstances checks that the home knows the jobs of all
// instances, and that it drops them once their ends are reported.
func TestHomeKnowsJobsOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(peertest.NewNet(time.Millisecond), 4)
		used := map[string]int{}
		for i := range 8 {
			d := nodes[i%4].fleet.Place(t.Context(), shortJob(fmt.Sprint("j", i)))
			used[d.Upstream]++
		}
		home := homeOf(nodes, "llm")
		if n := home.known(); n != 8 {
			t.Errorf("the home knows %d jobs, want 8", n)
		}
		for i := range 8 {
			nodes[i%4].fleet.Ended("llm", fmt.Sprint("j", i), End{Outcome: Completed})
		}
		time.Sleep(time.Second)
		if n := home.known(); n != 0 {
			t.Errorf("the home still knows %d jobs that ended", n)
		}
	})
}

// TestUnreachableHome checks that a partitioned instance immediately plans alone,
// and that the home gets all jobs in flight, and none that ended meanwhile, once it
// can be reached again.
func TestUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		nodes := newNodes(net, 3)
		home := homeOf(nodes, "llm")
		var n *node
		for _, other := range nodes {
			if other != home {
				n = other
			}
		}
		n.fleet.Place(t.Context(), shortJob("before"))
		for _, other := range nodes {
			if other != n {
				net.SetLinkBroken(n.member.ID, other.member.ID, true)
			}
		}
		began := time.Now()
		if d := n.fleet.Place(t.Context(), shortJob("during")); d.Upstream == "" {
			t.Error("no upstream was chosen while the home is unreachable")
		}
		if took := time.Since(began); took > 2*placeTimeout+10*time.Millisecond {
			t.Errorf("the decision took %s", took)
		}
		n.fleet.Ended("llm", "before", End{Outcome: Completed})
		time.Sleep(100 * time.Millisecond)
		for _, other := range nodes {
			if other != n {
				net.SetLinkBroken(n.member.ID, other.member.ID, false)
			}
		}
		time.Sleep(2 * homeAvoidTime)
		n.fleet.Place(t.Context(), shortJob("after"))
		time.Sleep(100 * time.Millisecond)
		home.planner.mu.Lock()
		defer home.planner.mu.Unlock()
		if home.planner.jobs["before"] != nil {
			t.Error("the home keeps a job that ended while it was unreachable")
		}
		if home.planner.jobs["during"] == nil || home.planner.jobs["after"] == nil {
			t.Error("the home does not know the jobs in flight")
		}
	})
}

// TestJobsOfDeadOwnersAreDropped checks that jobs of dead incarnations and overdue
// jobs are dropped.
func TestJobsOfDeadOwnersAreDropped(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 2)
	now := time.Now()
	a, b := shortJob("a"), shortJob("b")
	a.Owner, b.Owner = "dead/1", "live/1"
	p.Place(a, 1, now)
	p.Place(b, 1, now)
	p.dropDeadOwners(map[string]bool{"live/1": true}, now)
	if p.jobs["a"] != nil || p.jobs["b"] == nil {
		t.Error("the wrong jobs were dropped")
	}
	p.Place(shortJob("c"), 1, now.Add(b.Lifetime+overdueGrace+2*sweepInterval))
	if p.jobs["b"] != nil {
		t.Error("an overdue job is still counted")
	}
}

// TestLostUpstreamsGetNoWork checks that an upstream that could not be reached gets
// no work and is a suspect until a probe succeeds.
func TestLostUpstreamsGetNoWork(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 4)
	now := time.Now()
	d := p.Place(shortJob("a"), 1, now)
	p.Ended("a", End{Outcome: Unreached}, now)
	for i := range 12 {
		if got := p.Place(shortJob(fmt.Sprint("b", i)), 1, now); got.Upstream == d.Upstream {
			t.Errorf("job %d went to the lost upstream", i)
		}
	}
	if s := p.DueForProbe(now); len(s) != 1 || s[0].ID != d.Upstream {
		t.Fatalf("due for a probe are %v, want only the lost upstream", s)
	}
	p.Probed(p.pools["llm"].members[d.Upstream].upstream, deployment.Healthy, now, now)
	if p.pools["llm"].members[d.Upstream].health.down {
		t.Error("a successful probe did not end the pause")
	}
}

// TestCrashingRequestsAreContained checks that a request that crashes each upstream
// that runs it is refused after a few crashes, and that requests that once ran
// beside it are not.
func TestCrashingRequestsAreContained(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 12)
	now := time.Now()
	crashes := 0
	var ended []string // a restarted upstream has another ID
	for i := range 12 {
		bad, good := shortJob(fmt.Sprint("bad", i)), shortJob(fmt.Sprint("good", i))
		bad.Avoid = ended
		bad.Fingerprint, good.Fingerprint = 666, uint64(1000+i)
		d := p.Place(bad, 1, now)
		if d.Upstream == "" {
			if d.Reason != Poisoned {
				t.Fatalf("refused for reason %s", d.Reason)
			}
			continue
		}
		crashes++
		ended = append(ended, d.Upstream)
		p.Adopt(Adoption{Job: good, Decision: d}, now)
		p.Ended(bad.ID, End{Outcome: Lost}, now)
		p.Ended(good.ID, End{Outcome: Lost}, now)
		up := p.pools["llm"].members[d.Upstream].upstream
		p.Probed(up, deployment.Ended, now, now.Add(100*time.Millisecond))
		now = now.Add(20 * time.Second)
		p.Probed(up, deployment.Healthy, now, now)
	}
	if crashes > 4 {
		t.Errorf("the request crashed %d upstreams, want at most 4", crashes)
	}
	for i := range crashes {
		j := shortJob(fmt.Sprint("again", i))
		j.Fingerprint = uint64(1000 + i)
		if d := p.Place(j, 1, now); d.Upstream == "" {
			t.Errorf("a request that ran beside it was refused for reason %s", d.Reason)
		}
	}
}

// TestPromptsLargerThanAnEngine checks that a prompt larger than one engine's memory
// is placed on engines whose memory together holds it, or refused if there are none.
func TestPromptsLargerThanAnEngine(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 4)
	j := shortJob("huge")
	j.Prompt, j.FirstAnswer, j.MaxPause, j.Remaining = 600_000, 30*time.Second, time.Second, 60*time.Second
	d := p.Place(j, 1, time.Now())
	reserved := 0
	for _, h := range d.Helpers {
		reserved += h.ReservedTokens
	}
	if d.Upstream == "" || j.Prompt+j.Output-reserved > usersModel().MemoryTokens {
		t.Errorf("decision %+v reserves %d tokens at helpers, want an engine with enough for prompt and answer", d, reserved)
	}
	j.ID, j.Prompt = "never", 4*usersModel().MemoryTokens
	if d := p.Place(j, 1, time.Now()); d.Upstream != "" || d.Reason != TooLarge {
		t.Errorf("a prompt that cannot fit got %+v, want it refused as too large", d)
	}
}

// TestReservedMemoryCoversLongestAnswer checks that memory is reserved for the
// longest answer that the caller accepts. Engines refuse a prompt that does not fit
// together with it, however short the answer is expected to be.
func TestReservedMemoryCoversLongestAnswer(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 4)
	j := shortJob("huge")
	j.Prompt, j.Output, j.MaxOutput = usersModel().MemoryTokens-300, 200, 2500
	j.FirstAnswer, j.MaxPause, j.Remaining = 3*time.Second, time.Second, 15*time.Second
	d := p.Place(j, 1, time.Now())
	reserved := 0
	for _, h := range d.Helpers {
		reserved += h.ReservedTokens
	}
	if d.Upstream == "" || j.Prompt+j.MaxOutput-reserved > usersModel().MemoryTokens {
		t.Errorf("decision %+v reserves %d tokens at helpers, want an engine with enough for prompt and longest answer", d, reserved)
	}
}

// TestCostlyLongJobIsDeferred checks that a long prompt is deferred while all engines
// decode short answers that it would make late and its caller has time, and that it
// is placed once they are done.
func TestCostlyLongJobIsDeferred(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 4)
	now := time.Now()
	short := func(i, k int) string { return fmt.Sprint("short", i, "-", k) }
	for i := range 4 {
		for k := range 12 {
			p.Adopt(Adoption{Job: shortJob(short(i, k)), Decision: Decision{Upstream: fmt.Sprint("e", i)}}, now)
			p.FirstAnswer(short(i, k), now)
		}
	}
	long := shortJob("long")
	long.Prompt, long.FirstAnswer, long.MaxPause = 150_000, 2500*time.Millisecond, time.Second
	long.MayDefer = true
	if d := p.Place(long, 1, now); d.Reason != Deferred {
		t.Errorf("the prompt was %s beside 48 short streams, want it deferred", d.Reason)
	}
	hurried := long
	hurried.ID, hurried.MayDefer = "hurried", false
	if d := p.Place(hurried, 1, now); d.Upstream == "" {
		t.Errorf("a prompt that cannot be deferred again was refused: %s", d.Reason)
	}
	p.Ended(hurried.ID, End{Outcome: Abandoned}, now)
	for i := range 4 {
		for k := range 12 {
			p.Ended(short(i, k), End{Outcome: Completed}, now)
		}
	}
	if d := p.Place(long, 1, now); d.Upstream == "" {
		t.Errorf("the prompt was refused on idle engines: %s", d.Reason)
	}
}

// TestLargestPromptWaitsForMemory checks that a prompt larger than an engine is
// deferred, not refused, while memory is taken and it can be deferred.
func TestLargestPromptWaitsForMemory(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 3)
	now := time.Now()
	memory := usersModel().MemoryTokens
	long := func(id string, tokens int) Job {
		j := shortJob(id)
		j.Prompt, j.FirstAnswer, j.MaxPause, j.Remaining = tokens, 3*time.Second, 10*time.Second, 15*time.Second
		j.MayDefer = true
		return j
	}
	for i := range 3 {
		p.Adopt(Adoption{Job: long(fmt.Sprint("old", i), memory-1000), Decision: Decision{Upstream: fmt.Sprint("e", i)}}, now)
		p.FirstAnswer(fmt.Sprint("old", i), now)
	}
	huge := long("huge", 2*memory-3000)
	if d := p.Place(huge, 1, now); d.Reason != Deferred {
		t.Fatalf("the prompt was %s with all memory taken, want it deferred", d.Reason)
	}
	last := huge
	last.MayDefer = false
	if d := p.Place(last, 1, now); d.Reason != TooLarge {
		t.Errorf("a prompt that cannot be deferred again was %s, want it refused", d.Reason)
	}
	p.Ended("old0", End{Outcome: Completed}, now)
	p.Ended("old1", End{Outcome: Completed}, now)
	if d := p.Place(huge, 1, now.Add(200*time.Millisecond)); d.Upstream == "" {
		t.Errorf("the prompt was %s with two engines free", d.Reason)
	}
}

// TestLargePromptFindsFreeMemory checks that a large prompt is placed on the engines
// that have memory for it although they cost more: most engines have no memory and a
// stream with a lax objective, the others have memory and a stream that is delayed.
func TestLargePromptFindsFreeMemory(t *testing.T) {
	const engines = 24
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, engines)
	now := time.Now()
	memory := usersModel().MemoryTokens
	for i := range engines {
		j := shortJob(fmt.Sprint("holder", i))
		j.Prompt, j.MaxPause = memory-5000, 10*time.Second
		if i >= engines-4 {
			j.Prompt, j.MaxPause = memory/10, 250*time.Millisecond
		}
		p.Adopt(Adoption{Job: j, Decision: Decision{Upstream: fmt.Sprint("e", i)}}, now)
		p.FirstAnswer(j.ID, now)
	}
	huge := shortJob("huge")
	huge.Prompt, huge.FirstAnswer, huge.MaxPause, huge.Remaining = 3*memory, 3*time.Second, time.Second, 15*time.Second
	if d := p.Place(huge, 1, now); d.Upstream == "" {
		t.Errorf("four engines have memory for the prompt, but it was refused: %s", d.Reason)
	}
}

// TestUnlinkedInstancesUseDifferentEngines checks that instances that start together
// and are not linked yet do not all choose the same engine.
func TestUnlinkedInstancesUseDifferentEngines(t *testing.T) {
	const instances, engines = 40, 20
	var planners []*Planner
	for range instances {
		planners = append(planners, NewPlanner(""))
	}
	deploymentOf(planners, engines)
	at := map[string]int{}
	for i, p := range planners {
		f := NewFleet(p, fmt.Sprint("i", i, "/1"), noRevisions{})
		at[f.Place(t.Context(), shortJob(fmt.Sprint("j", i))).Upstream]++
	}
	for up, n := range at {
		// An engine runs 16 requests concurrently; a random choice would give each
		// about 2.
		if n > 8 {
			t.Errorf("%d of %d requests went to %s", n, instances, up)
		}
	}
	if len(at) < engines/2 {
		t.Errorf("%d of %d engines were used", len(at), engines)
	}
}

// TestCalmDayReachesTarget checks that the policy earns the users' target for a calm
// day on simulated days with their mix of requests.
func TestCalmDayReachesTarget(t *testing.T) {
	const calmTarget = 0.864 // the users' upper target for a calm day, prices included
	for name, d := range map[string]day{"trinacria": trinacriaDay(0.85), "pinakida": pinakidaDay(0.85)} {
		for seed := range uint64(2) {
			if o := d.run(seed); o.earnedShare() < calmTarget {
				t.Errorf("%s seed %d: %s; want at least %.3f", name, seed, o, calmTarget)
			}
		}
	}
}

func BenchmarkPlaceShort(b *testing.B) {
	for _, engines := range []int{14, 78, 800} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkPlace(b, engines, shortJob("x")) })
	}
}

func BenchmarkPlaceLong(b *testing.B) {
	long := shortJob("x")
	long.Prompt, long.FirstAnswer, long.MaxPause = 133_000, 3*time.Second, time.Second
	for _, engines := range []int{14, 78, 800} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkPlace(b, engines, long) })
	}
}

func benchmarkPlace(b *testing.B, engines int, j Job) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, engines)
	now := time.Now()
	for i := range engines * 4 {
		p.Place(shortJob(fmt.Sprint("load", i)), 1, now)
	}
	i := 0
	for b.Loop() {
		i++
		j.ID = fmt.Sprint("j", i)
		now = now.Add(time.Millisecond)
		p.Place(j, 1, now)
		p.Ended(j.ID, End{Outcome: Completed}, now)
	}
}

// TestFirstTokenPrediction checks a predicted first token against a time calculated
// by hand.
func TestFirstTokenPrediction(t *testing.T) {
	model := usersModel()
	e := enginemodel.NewEngine(&model)
	now := time.Unix(1000, 0)
	w := enginemodel.Work{ID: "a", Tokens: 2060, Pairs: enginemodel.Pairs(2060), Output: 430, Context: 2060, Start: now}
	_, ready := e.Predict(&w, now, now.Add(time.Second))
	// 2 steps of 1.02 ms, 10 ms of prefill and 0.29 ms of attention pairs.
	if took := ready.Sub(now); took < 12*time.Millisecond || took > 13*time.Millisecond {
		t.Errorf("the first token is predicted after %s, want 12.3 ms", took)
	}
}

// TestHomeIsStrong checks that a service's home is one of the instances with much processor
// time while there is one that is accepted, and another one otherwise.
func TestHomeIsStrong(t *testing.T) {
	var members []peer.Member
	for i := range 195 {
		m := peer.Member{ID: fmt.Sprint("i", i), Capacity: 192}
		if i%13 == 0 {
			m.Capacity = 800
		}
		members = append(members, m)
	}
	strong := func(id string) bool {
		i := slices.IndexFunc(members, func(m peer.Member) bool { return m.ID == id })
		return i >= 0 && members[i].Capacity == 800
	}
	for i := range 50 {
		service := fmt.Sprint("s", i)
		if home := homeAmong(members, service, nil); !strong(home) {
			t.Errorf("the home of %s is %q, a weak instance", service, home)
		}
		if home := homeAmong(members, service, func(m peer.Member) bool { return m.Capacity < 800 }); home == "" || strong(home) {
			t.Errorf("without the strong instances the home of %s is %q, want a weak one", service, home)
		}
	}
	for i := range members {
		members[i].Capacity = 0 // unknown
	}
	if homeAmong(members, "s", nil) != peer.Owner(members, "s", nil) {
		t.Error("instances of unknown capacity are not treated alike")
	}
}
