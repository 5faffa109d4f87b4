package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// The simulation of TestCrashingPartIsContainedAtSize: placers of many instances on an
// in-memory network, and engines that crash when they begin to answer a request with a
// crashing part.
const (
	simCalm        = 2 * time.Second
	simBad         = 10 * time.Second
	simPrefill     = 60 * time.Millisecond
	simAnswer      = 1200 * time.Millisecond
	simCrashDelay  = 30 * time.Millisecond
	simDowntime    = 1500 * time.Millisecond
	simListDelay   = 300 * time.Millisecond
	simProbe       = 500 * time.Millisecond
	simLatency     = time.Millisecond
	simMaxAttempts = 2
	simFirstParts  = 60
	simBadPart     = 7777
)

// The users' bounds, counted from the fifth crash of the part, or from its last.
const (
	containmentTime = 3 * time.Second
	recoveryTime    = 2 * containmentTime
	maxLateSends    = 3
	minSoundShare   = 0.5
)

// containment is one run of the simulation.
type containment struct {
	instances, engines int
	// sound and bad are the requests per second of both kinds.
	sound, bad float64
	// rack is the share of engines that are lost together, and cutHome whether the home
	// is cut off for a while, both as the crashing requests begin.
	rack    float64
	cutHome bool
	// flapping is whether one engine crashes and starts again all the time.
	flapping bool
}

// simEngine is one engine of the simulation.
type simEngine struct {
	up      deployment.Upstream
	down    bool
	streams map[string]chan struct{}
}

// crashSim is the state of a run; mu guards all but the nodes.
type crashSim struct {
	containment
	t     *testing.T
	nodes []*node
	state *deployment.State

	mu       sync.Mutex
	random   *rand.Rand
	revision int64
	byID     map[string]*simEngine
	order    []*simEngine
	crashes  []time.Time
	sends    []time.Time
	// served and all count sound requests by the second in which they were sent.
	served, all map[int]int
	messages    int
	bytes       int
}

// countingBus counts broadcasts.
type countingBus struct {
	peer.Bus
	s *crashSim
}

func (b countingBus) Broadcast(topic peer.Topic, payload []byte) {
	b.s.mu.Lock()
	b.s.messages++
	b.s.bytes += len(payload)
	b.s.mu.Unlock()
	b.Bus.Broadcast(topic, payload)
}

// list publishes the running engines.
func (s *crashSim) list() {
	s.mu.Lock()
	s.revision++
	var all []deployment.Upstream
	for _, e := range s.order {
		if !e.down {
			all = append(all, e.up)
		}
	}
	revision := deployment.Revision{Number: s.revision}
	s.mu.Unlock()
	s.state.ReplaceUpstreams(all, revision, time.Now())
}

// crash ends an engine's process and all streams on it; it starts again after simDowntime.
func (s *crashSim) crash(e *simEngine) {
	s.mu.Lock()
	if e.down {
		s.mu.Unlock()
		return
	}
	e.down = true
	for id, cut := range e.streams {
		close(cut)
		delete(e.streams, id)
	}
	s.mu.Unlock()
	time.AfterFunc(simDowntime, func() {
		s.mu.Lock()
		e.down = false
		e.up.Born++
		s.mu.Unlock()
		time.AfterFunc(simListDelay, s.list)
	})
}

// probe has a node probe the upstreams that are due.
func (s *crashSim) probe(n *node) {
	now := time.Now()
	for _, up := range n.planner.DueForProbe(now) {
		s.mu.Lock()
		e := s.byID[up.ID]
		result := deployment.Healthy
		if e.down || !e.up.SameIncarnation(up) {
			result = deployment.Ended
		}
		s.mu.Unlock()
		n.planner.Probed(up, result, now, now)
	}
}

// send sends one request through a node and returns whether it was served at its first
// attempt of the caller.
func (s *crashSim) send(n *node, id string, parts []uint64, bad bool) bool {
	var avoid []string
	for attempt := range simMaxAttempts {
		j := shortJob(fmt.Sprint(id, "-", attempt))
		j.Parts, j.Avoid = parts, avoid
		d := n.fleet.Place(s.t.Context(), j)
		if d.Upstream == "" {
			return false
		}
		outcome := s.attempt(n, j.ID, d.Upstream, bad)
		n.fleet.Ended("llm", j.ID, End{Outcome: outcome})
		if outcome == Completed {
			return true
		}
		avoid = append(avoid, d.Upstream)
	}
	return false
}

// attempt runs a request on an engine.
func (s *crashSim) attempt(n *node, id, engine string, bad bool) Outcome {
	s.mu.Lock()
	e := s.byID[engine]
	if e.down {
		s.mu.Unlock()
		return Unreached
	}
	cut := make(chan struct{})
	e.streams[id] = cut
	if bad {
		s.sends = append(s.sends, time.Now())
	}
	s.mu.Unlock()
	if !sleepUnlessCut(simPrefill, cut) {
		return Lost
	}
	if bad {
		if sleepUnlessCut(simCrashDelay, cut) {
			s.mu.Lock()
			s.crashes = append(s.crashes, time.Now())
			s.mu.Unlock()
			s.crash(e)
		}
		return Lost
	}
	n.fleet.FirstAnswer("llm", id)
	if !sleepUnlessCut(simAnswer, cut) {
		return Lost
	}
	s.mu.Lock()
	delete(e.streams, id)
	s.mu.Unlock()
	return Completed
}

// sleepUnlessCut sleeps for d and returns false if the stream was cut meanwhile.
func sleepUnlessCut(d time.Duration, cut chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-cut:
		return false
	}
}

// result is what a run shows.
type containmentResult struct {
	crashes, late int
	// share is the share of sound requests that were served from recoveryTime on.
	share float64
	// blamed counts the proofs of any instance at the end that lack the cause.
	blamed          int
	messages, bytes int
}

// run runs the simulation in a synctest bubble.
func (c containment) run(t *testing.T, seed uint64) containmentResult {
	var r containmentResult
	synctest.Test(t, func(t *testing.T) {
		s := &crashSim{containment: c, t: t, state: deployment.NewState(), random: rand.New(rand.NewPCG(seed, 1)),
			byID: map[string]*simEngine{}, served: map[int]int{}, all: map[int]int{}}
		net := peertest.NewNet(simLatency)
		for i := range c.instances {
			m := peer.Member{ID: fmt.Sprint("i", i), Incarnation: 1}
			p := NewPlanner("")
			f := NewFleet(p, OwnerName(m), noRevisions{})
			f.SetBus(countingBus{net.Join(m), s})
			s.nodes = append(s.nodes, &node{f, p, m})
			s.state.Subscribe(p.SetView)
		}
		model := usersModel()
		s.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}}}, time.Now())
		for i := range c.engines {
			e := &simEngine{up: deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16, Born: 1}, streams: map[string]chan struct{}{}}
			s.byID[e.up.ID], s.order = e, append(s.order, e)
		}
		s.list()
		s.play(net)
		r = s.result()
	})
	return r
}

// play sends all requests and causes the other faults.
func (s *crashSim) play(net *peertest.Net) {
	began := time.Now()
	end := began.Add(simCalm + simBad)
	var work sync.WaitGroup
	every := func(from time.Time, perSecond float64, f func(n int)) {
		if perSecond <= 0 {
			return
		}
		work.Go(func() {
			time.Sleep(time.Until(from))
			for n := 0; time.Now().Before(end); n++ {
				work.Go(func() { f(n) })
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	for _, n := range s.nodes {
		every(began.Add(simProbe), float64(time.Second/simProbe), func(int) { s.probe(n) })
	}
	every(began, s.sound, func(n int) {
		at := int(time.Since(began) / time.Second)
		ok := s.send(s.pick(), fmt.Sprint("sound", n), []uint64{s.firstPart(), 1000 + uint64(n%7)}, false)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.all[at]++
		if ok {
			s.served[at]++
		}
	})
	faults := began.Add(simCalm)
	every(faults, s.bad, func(n int) {
		s.send(s.nodes[n%len(s.nodes)], fmt.Sprint("bad", n), []uint64{s.firstPart(), simBadPart}, true)
	})
	if s.flapping {
		every(faults, 0.5, func(int) { s.crash(s.order[0]) })
	}
	time.Sleep(time.Until(faults))
	for _, e := range s.order[:int(s.rack*float64(len(s.order)))] {
		s.crash(e)
	}
	if s.cutHome {
		home := homeOf(s.nodes, "llm")
		cut := func(broken bool) {
			for _, n := range s.nodes {
				if n != home {
					net.SetLinkBroken(home.member.ID, n.member.ID, broken)
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
		cut(true)
		time.Sleep(3 * time.Second)
		cut(false)
	}
	work.Wait()
	time.Sleep(5 * time.Second) // timers of events and restarts end
}

// pick returns a random node.
func (s *crashSim) pick() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[s.random.IntN(len(s.nodes))]
}

// firstPart returns a random first part; low numbers are more frequent.
func (s *crashSim) firstPart() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.random.Float64()
	return 1 + uint64(simFirstParts*x*x)
}

func (s *crashSim) result() containmentResult {
	r := containmentResult{crashes: len(s.crashes), messages: s.messages, bytes: s.bytes}
	if len(s.crashes) >= 5 {
		for _, at := range s.sends {
			if at.After(s.crashes[4].Add(containmentTime)) {
				r.late++
			}
		}
	}
	served, all := 0, 0
	for second := int((simCalm + recoveryTime) / time.Second); second < int((simCalm+simBad)/time.Second); second++ {
		served, all = served+s.served[second], all+s.all[second]
	}
	r.share = float64(served) / float64(max(all, 1))
	for _, n := range s.nodes {
		n.planner.mu.Lock()
		records := n.planner.parts.Records()
		n.planner.mu.Unlock()
		for _, record := range records {
			if !slices.Contains(record.Parts, simBadPart) {
				r.blamed++
			}
		}
	}
	return r
}

// check checks the users' bounds against a run without crashing requests.
func (c containment) check(t *testing.T, seed uint64) {
	t.Helper()
	r := c.run(t, seed)
	without := c
	without.bad = 0
	base := without.run(t, seed)
	t.Logf("%d instances, %d engines, seed %d: %d engines crashed by the part, %d late sends, share of sound requests %.3f (%.3f without), %d wrong proofs, %.1f messages and %.0f bytes an instance",
		c.instances, c.engines, seed, r.crashes, r.late, r.share, base.share, r.blamed,
		float64(r.messages)/float64(c.instances), float64(r.bytes)/float64(c.instances))
	if r.late > maxLateSends {
		t.Errorf("%d sends later than %s after the fifth crash, want at most %d", r.late, containmentTime, maxLateSends)
	}
	if r.share < minSoundShare*base.share {
		t.Errorf("share of sound requests %.3f, want at least %.1f of %.3f", r.share, minSoundShare, base.share)
	}
}

// Longer runs by hand: more seeds, and the size of the users' target.
var (
	containmentSeeds = flag.Uint64("containment.seeds", 1, "seeds of TestCrashingPartIsContainedAtSize")
	containmentLarge = flag.Bool("containment.large", false, "run it with 410 instances and 800 engines, too")
)

// TestCrashingPartIsContainedAtSize checks the users' bounds on the placers of 6 and of 65
// instances, to which requests with a crashing part come at once, also beside other faults.
func TestCrashingPartIsContainedAtSize(t *testing.T) {
	sizes := []containment{
		{instances: 6, engines: 20, sound: 50, bad: 6},
		{instances: 65, engines: 80, sound: 200, bad: 65},
	}
	if *containmentLarge {
		sizes = append(sizes, containment{instances: 410, engines: 800, sound: 800, bad: 410})
	}
	for _, c := range sizes {
		for name, change := range map[string]func(c *containment){
			"alone":           func(*containment) {},
			"loss of a rack":  func(c *containment) { c.rack = 0.2 },
			"home cut off":    func(c *containment) { c.cutHome = true },
			"engine flapping": func(c *containment) { c.flapping = true },
			"all of these":    func(c *containment) { c.rack, c.cutHome, c.flapping = 0.2, true, true },
		} {
			t.Run(fmt.Sprintf("%d instances, %s", c.instances, name), func(t *testing.T) {
				c := c
				change(&c)
				for seed := range *containmentSeeds {
					c.check(t, seed+1)
				}
			})
		}
	}
}

// TestTrialsAvoidUnstableUpstreams checks that trials do not run on an upstream that has
// just crashed while another one can take them.
func TestTrialsAvoidUnstableUpstreams(t *testing.T) {
	f := newFixture(3)
	now := time.Now()
	lose := func(id string) {
		j := shortJob(id)
		j.Parts = []uint64{1}
		d := f.planner.Place(j, 1, now)
		f.planner.Ended(id, End{Outcome: Lost}, now)
		up := f.upstreams[d.Upstream]
		f.planner.Probed(up, deployment.Ended, now, now)
		f.change(d.Upstream, func(up *deployment.Upstream) { up.Born++ })
	}
	lose("first")
	lose("second")
	var crashed []string
	for _, up := range f.upstreams {
		if up.Born > 1 {
			crashed = append(crashed, up.ID)
		}
	}
	now = now.Add(firstPause)
	j := shortJob("trial")
	j.Parts = []uint64{1}
	d := f.planner.Place(j, 1, now)
	if len(d.Trial) != 1 || slices.Contains(crashed, d.Upstream) {
		t.Errorf("got %+v, want a trial on another upstream than %v", d, crashed)
	}
}
