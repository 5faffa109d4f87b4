package placement

import (
	"context"
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
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// The users' figures for cold upstreams: rate, bound in any second, time after a start, and the
// interval of entries.
const (
	coldPerSecond  = 17.0
	coldAllowed    = 30
	coldStart      = 3 * time.Second
	entryHeartbeat = 1200 * time.Millisecond
)

func usersColdBounds() upstreamlimit.ColdBounds {
	return upstreamlimit.ColdBounds{Overage: 1.5, Slack: 5, Heartbeat: entryHeartbeat}
}

func coldService() deployment.Service {
	return deployment.Service{Name: "plain", ColdStart: coldStart, ColdPerSecond: coldPerSecond}
}

// coldRun is a run in which instances place calls on a plain service, some of whose upstreams
// are cold from coldAt on.
type coldRun struct {
	instances, upstreams, cold int
	// home is what happens to the home while they are cold; "" for nothing.
	home string

	state *deployment.State
	net   *peertest.Net
	nodes []*node

	mu       sync.Mutex
	arrivals map[string][]time.Time
	refused  int
	inVain   int
}

const (
	coldAt      = 2 * time.Second
	coldTrouble = time.Second // after coldAt
	coldLength  = coldAt + coldStart
)

// entry returns the entry of an upstream, with the rest of its cold start.
func (r *coldRun) entry(i int, remaining time.Duration) deployment.Upstream {
	return deployment.Upstream{ID: fmt.Sprint("p", i), Service: "plain", Address: fmt.Sprint("p", i), Slots: 6, Born: 1, Warming: remaining}
}

// join starts an instance.
func (r *coldRun) join(ctx context.Context, id string, incarnation uint64) *node {
	m := peer.Member{ID: id, Incarnation: incarnation}
	p := NewPlanner("")
	p.SetColdBounds(usersColdBounds)
	p.SetView(r.state.View())
	f := NewFleet(p, OwnerName(m), noRevisions{})
	f.SetBus(r.net.Join(m))
	go func() { _ = f.Run(ctx) }()
	return &node{f, p, m}
}

// publish has all instances know what the state says.
func (r *coldRun) publish() {
	r.mu.Lock()
	nodes := slices.Clone(r.nodes)
	r.mu.Unlock()
	for _, n := range nodes {
		n.planner.SetView(r.state.View())
	}
}

// request places one call from a random instance, and sends it after a delay.
func (r *coldRun) request(ctx context.Context, id string) {
	r.mu.Lock()
	n := r.nodes[rand.IntN(len(r.nodes))]
	r.mu.Unlock()
	var avoid []string
	for attempt := range 4 {
		j := Job{ID: fmt.Sprint(id, "-", attempt), Service: "plain", Avoid: avoid, FirstAnswer: 300 * time.Millisecond, Remaining: time.Second, Lifetime: time.Second}
		d := n.fleet.Place(ctx, j)
		if d.Upstream == "" {
			r.mu.Lock()
			r.refused++
			if r.cold < r.upstreams {
				r.inVain++
			}
			r.mu.Unlock()
			return
		}
		time.Sleep(rand.N(200 * time.Millisecond))
		up, _ := r.state.View().Upstream(d.Upstream)
		if withheld := n.fleet.Withheld(d, up); len(withheld) > 0 {
			n.fleet.Ended("plain", j.ID, End{Outcome: Abandoned})
			avoid = append(avoid, withheld...)
			continue
		}
		time.Sleep(rand.N(100 * time.Millisecond))
		r.mu.Lock()
		r.arrivals[d.Upstream] = append(r.arrivals[d.Upstream], time.Now())
		r.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		n.fleet.Ended("plain", j.ID, End{Outcome: Completed})
		return
	}
}

// trouble troubles the home.
func (r *coldRun) trouble(ctx context.Context) {
	home := homeOf(r.nodes, "plain").member.ID
	switch r.home {
	case "silent":
		for _, n := range r.nodes {
			r.net.SetSilent(n.member.ID, home, n.member.ID != home)
		}
	case "silent for half":
		for _, n := range r.nodes[:len(r.nodes)/2] {
			r.net.SetSilent(n.member.ID, home, n.member.ID != home)
		}
	case "replaced":
		r.net.Leave(home) // it goes on with what it has placed
	case "restarted":
		n := r.join(ctx, home, 2)
		r.mu.Lock()
		for i, old := range r.nodes {
			if old.member.ID == home {
				r.nodes[i] = n
			}
		}
		r.mu.Unlock()
	case "cut off":
		for _, n := range r.nodes {
			r.net.SetLinkBroken(home, n.member.ID, n.member.ID != home)
		}
	case "each cut off":
		for i, a := range r.nodes {
			for _, b := range r.nodes[:i] {
				r.net.SetLinkBroken(a.member.ID, b.member.ID, true)
			}
		}
	}
}

// run plays the run and returns the most requests that a cold upstream got in any second.
func (r *coldRun) run(t *testing.T) (most int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r.net, r.state, r.arrivals = peertest.NewNet(time.Millisecond), deployment.NewState(), map[string][]time.Time{}
		r.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": coldService()}}, time.Now())
		var ups []deployment.Upstream
		for i := range r.upstreams {
			ups = append(ups, r.entry(i, 0))
		}
		r.state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, time.Now())
		for i := range r.instances {
			r.nodes = append(r.nodes, r.join(ctx, fmt.Sprint("i", i), 1))
		}
		start := time.Now()
		for n := int64(0); n*int64(entryHeartbeat) < int64(coldStart); n++ {
			time.AfterFunc(coldAt+time.Duration(n)*entryHeartbeat, func() {
				var changed []deployment.Upstream
				for i := range r.cold {
					changed = append(changed, r.entry(i, coldStart-time.Duration(n)*entryHeartbeat))
				}
				r.state.UpdateUpstreams(changed, nil, deployment.Revision{Number: 2 + n}, time.Now())
				r.publish()
			})
		}
		time.AfterFunc(coldAt+coldTrouble, func() { r.trouble(ctx) })
		for n := 0; time.Since(start) < coldLength; n++ {
			go r.request(ctx, fmt.Sprint("r", n))
			time.Sleep(time.Second / time.Duration(50*r.upstreams))
		}
		time.Sleep(time.Second)
		r.mu.Lock()
		// What was sent before the upstreams were cold arrives within 100 ms.
		from := start.Add(coldAt + 100*time.Millisecond)
		for i := range r.cold {
			list := slices.DeleteFunc(slices.Clone(r.arrivals[fmt.Sprint("p", i)]), func(at time.Time) bool { return at.Before(from) || at.After(start.Add(coldLength)) })
			most = max(most, mostInSecond(list))
		}
		r.mu.Unlock()
		cancel()
		time.Sleep(time.Minute)
	})
	return most
}

// mostInSecond returns the largest number of arrivals within a second.
func mostInSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdBoundHoldsAtSize guards against cold upstreams that crash because the fleet sends them
// more than the users allow, with 7 to 410 instances of which none stops while the home doesn't
// answer, restarts, is replaced or is cut off. Requests that a warm upstream could take are not
// refused.
func TestColdBoundHoldsAtSize(t *testing.T) {
	for _, home := range []string{"", "silent", "silent for half", "replaced", "restarted", "cut off", "each cut off"} {
		for _, instances := range []int{7, 34, 87, 195, 410} {
			for _, upstreams := range []int{2, 3} {
				if instances > 34 && (upstreams > 2 || home != "" && home != "replaced") {
					continue // minutes with the race detector
				}
				t.Run(fmt.Sprintf("%d instances, 2 of %d upstreams, home %s", instances, upstreams, home), func(t *testing.T) {
					r := &coldRun{instances: instances, upstreams: upstreams, cold: 2, home: home}
					most := r.run(t)
					t.Logf("at most %d in a second, allowed %d; %d refused, %d of them in vain", most, coldAllowed, r.refused, r.inVain)
					if most > coldAllowed {
						t.Errorf("a cold upstream got %d requests in a second, allowed are %d", most, coldAllowed)
					}
					if home == "" && most < 4 {
						t.Errorf("a cold upstream got at most %d requests in a second: the rate is not used", most)
					}
					if r.inVain > 0 {
						t.Errorf("%d requests were refused while another upstream was warm", r.inVain)
					}
				})
			}
		}
	}
}

// coldFixture is a planner with plain upstreams in a service with a rate for cold ones.
type coldFixture struct {
	planner  *Planner
	state    *deployment.State
	revision int64
}

func newColdFixture(upstreams int, warming time.Duration) *coldFixture {
	f := &coldFixture{planner: NewPlanner(""), state: deployment.NewState()}
	f.planner.SetColdBounds(usersColdBounds)
	f.state.Subscribe(f.planner.SetView)
	f.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": coldService()}}, time.Now())
	var list []deployment.Upstream
	for i := range upstreams {
		list = append(list, plainEntry(i, warming))
	}
	f.update(list, nil)
	return f
}

func plainEntry(i int, warming time.Duration) deployment.Upstream {
	return (&coldRun{}).entry(i, warming)
}

// update has the planner learn of entries now.
func (f *coldFixture) update(changed []deployment.Upstream, gone []string) {
	f.revision++
	f.state.UpdateUpstreams(changed, gone, deployment.Revision{Number: f.revision}, time.Now())
}

// isCold reports whether an upstream counts as cold.
func (f *coldFixture) isCold(id string) bool {
	f.planner.mu.Lock()
	defer f.planner.mu.Unlock()
	m := f.planner.pools["plain"].member(id)
	return m != nil && f.planner.cold.Left(limitKey(m.upstream), time.Now()) > 0
}

func (f *coldFixture) place(id string) Decision {
	return f.planner.Place(Job{ID: id, Service: "plain", FirstAnswer: time.Second, Remaining: time.Second, Lifetime: time.Second}, 1, time.Now())
}

// TestReturnedUpstreamCountsAsCold guards against the whole load for upstreams that became cold
// while they were not in the pool: their entries are older than that. An entry that is learned after
// the return says what they are; the first list of a process is taken as it is.
func TestReturnedUpstreamCountsAsCold(t *testing.T) {
	for name, away := range map[string]struct {
		leave, back func(f *coldFixture)
	}{
		"absent": {
			func(f *coldFixture) { f.update(nil, []string{"p0"}) },
			func(f *coldFixture) { f.update([]deployment.Upstream{plainEntry(0, 0)}, nil) },
		},
		"hidden": {
			func(f *coldFixture) { f.planner.SetView(without(f.state.View(), "p0")) },
			func(f *coldFixture) { f.planner.SetView(f.state.View()) },
		},
		"first seen later": {
			func(f *coldFixture) { f.update(nil, []string{"p0"}) },
			func(f *coldFixture) {
				up := plainEntry(0, 0)
				up.Born = 2
				f.update([]deployment.Upstream{up}, nil)
			},
		},
	} {
		for _, renewed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFixture(2, 0)
				if f.isCold("p0") || f.isCold("p1") {
					t.Fatalf("%s: an upstream of the first list counts as cold", name)
				}
				away.leave(f)
				time.Sleep(time.Minute)
				away.back(f)
				if !f.isCold("p0") || f.isCold("p1") {
					t.Fatalf("%s: cold after the return are %v and %v, want the one that was away", name, f.isCold("p0"), f.isCold("p1"))
				}
				time.Sleep(time.Second)
				if renewed {
					f.update([]deployment.Upstream{f.entryOf("p0")}, nil)
				}
				if f.isCold("p0") == renewed {
					t.Errorf("%s: an entry learned after the return says warm %v, counts as cold %v", name, renewed, f.isCold("p0"))
				}
				time.Sleep(coldStart + 2*entryHeartbeat - time.Second - time.Millisecond)
				if !renewed && !f.isCold("p0") {
					t.Errorf("%s: cold no longer before the time of a start and two heartbeats", name)
				}
				if time.Sleep(2 * time.Millisecond); f.isCold("p0") {
					t.Errorf("%s: cold for longer than a start and two heartbeats", name)
				}
			})
		}
	}
}

// entryOf returns the entry of an upstream as it is listed.
func (f *coldFixture) entryOf(id string) deployment.Upstream {
	up, _ := f.state.View().Upstream(id)
	return up
}

// without returns a view without an upstream.
func without(v *deployment.View, id string) *deployment.View {
	s := deployment.NewState()
	s.SetConfiguration(v.Config, time.Now())
	var list []deployment.Upstream
	for _, up := range v.Upstreams("plain") {
		if up.ID != id {
			list = append(list, up)
		}
	}
	s.ReplaceUpstreams(list, v.Revision, time.Now())
	return s.View()
}

// TestStaleEntryDoesNotEndACountdown guards against an upstream that counts as warm because an entry
// from before its start, or a complete list that repeats a known entry, is read again.
func TestStaleEntryDoesNotEndACountdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(1, 0)
		time.Sleep(time.Second)
		f.planner.observeCold(f.entryOf("p0"), coldStart, time.Now())
		time.Sleep(entryHeartbeat + 100*time.Millisecond) // an entry learned now would count
		f.state.ReplaceUpstreams([]deployment.Upstream{plainEntry(0, 0)}, deployment.Revision{Number: 5}, time.Now())
		if !f.isCold("p0") {
			t.Error("a complete list with a known entry ended the countdown of an answer")
		}
		time.Sleep(coldStart + entryHeartbeat)
		restarted := plainEntry(0, coldStart)
		restarted.Born = 9
		f.revision = 5
		f.update([]deployment.Upstream{restarted}, nil)
		time.Sleep(100 * time.Millisecond)
		f.planner.observeCold(plainEntry(0, 0), 0, time.Now()) // of the process before
		if !f.isCold("p0") {
			t.Error("an answer of the process before ended the countdown of the new one")
		}
	})
}

// TestColdUpstreamOfAnUnawareHomeGetsNothing guards against requests beyond the bound from a home
// that doesn't know yet that upstreams are cold, or from one of a build that doesn't know of
// cold upstreams at all, and against a decision that is sent long after it was counted.
func TestColdUpstreamOfAnUnawareHomeGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(4, 0)
		uncounted := f.place("uncounted")
		if uncounted.Cold || len(f.planner.withheld(uncounted, f.entryOf(uncounted.Upstream), time.Now())) > 0 {
			t.Fatal("a request to a warm upstream is withheld")
		}
		for i := range 3 {
			f.planner.observeCold(f.entryOf(fmt.Sprint("p", i)), coldStart, time.Now())
		}
		avoid := f.planner.withheld(Decision{Upstream: "p1"}, f.entryOf("p1"), time.Now())
		slices.Sort(avoid)
		if !slices.Equal(avoid, []string{"p0", "p1", "p2"}) {
			t.Errorf("to avoid are %v, want all that are cold", avoid)
		}
		f.planner.observeCold(f.entryOf("p3"), coldStart, time.Now())
		time.Sleep(time.Second)
		counted := f.place("counted")
		if counted.Upstream == "" || !counted.Cold {
			t.Fatalf("decision %+v", counted)
		}
		up := f.entryOf(counted.Upstream)
		time.Sleep(upstreamlimit.MaxGrantAge)
		if len(f.planner.withheld(counted, up, time.Now())) > 0 {
			t.Error("a request that was counted is withheld at once")
		}
		if time.Sleep(time.Millisecond); len(f.planner.withheld(counted, up, time.Now())) == 0 {
			t.Error("a request that was counted long ago is sent")
		}
		other := f.entryOf("p0")
		if other.ID == up.ID {
			other = f.entryOf("p1")
		}
		if len(f.planner.withheld(counted, other, time.Now())) == 0 {
			t.Error("a request that was counted for one cold upstream may be sent to another")
		}
	})
}

// TestAnswersReachTheHome checks that the home, and then all instances, know of a cold upstream
// of which an answer has told one of them, and that a new home is told.
func TestAnswersReachTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &coldRun{upstreams: 1, net: peertest.NewNet(time.Millisecond), state: deployment.NewState()}
		r.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": coldService()}}, time.Now())
		r.state.ReplaceUpstreams([]deployment.Upstream{r.entry(0, 0)}, deployment.Revision{Number: 1}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 4 {
			r.nodes = append(r.nodes, r.join(ctx, fmt.Sprint("i", i), 1))
		}
		time.Sleep(2 * time.Second)
		home := homeOf(r.nodes, "plain")
		var reader *node
		for _, n := range r.nodes {
			if n != home {
				reader = n
			}
		}
		cold := func(n *node) bool { return len(n.planner.coldKnown("plain")) > 0 }
		reader.fleet.ColdObserved(r.entry(0, 0), coldStart)
		if time.Sleep(50 * time.Millisecond); !cold(home) {
			t.Error("the home doesn't know what an answer said")
		}
		time.Sleep(maintenanceInterval + 50*time.Millisecond)
		for _, n := range r.nodes {
			if !cold(n) {
				t.Errorf("%s doesn't know what an answer said to another instance", n.member.ID)
			}
		}
		r.net.Leave(home.member.ID)
		late := r.join(ctx, home.member.ID, 2)
		time.Sleep(100 * time.Millisecond)
		reader.fleet.markOutOfSync(home.member.ID)
		reader.fleet.Place(ctx, Job{ID: "j", Service: "plain", Lifetime: time.Second})
		if !cold(late) {
			t.Error("a new home isn't told")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

func (p *Planner) coldKnown(service string) []upstreamlimit.ColdObservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.Known(service, time.Now())
}

// TestAllOfADataCentreReturnColdInABurst guards against requests that are lost or refused, although
// other upstreams are warm, when all upstreams of a data centre come back at once during a burst,
// and against more requests for these than they take.
func TestAllOfADataCentreReturnColdInABurst(t *testing.T) {
	const perZone, perSecond = 12, 800
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(2*perZone, 0)
		var ids []string
		for i := range perZone {
			ids = append(ids, fmt.Sprint("p", i))
		}
		f.update(nil, ids)
		time.Sleep(time.Minute)
		var list []deployment.Upstream
		for i := range perZone {
			list = append(list, plainEntry(i, 0))
		}
		f.update(list, nil)
		sends := map[string][]time.Time{}
		for n := range 4 * perSecond {
			j := fmt.Sprint("j", n)
			d := f.place(j)
			if d.Upstream == "" {
				t.Fatalf("request %d refused (%s) although %d upstreams are warm", n, d.Reason, perZone)
			}
			sends[d.Upstream] = append(sends[d.Upstream], time.Now())
			time.AfterFunc(60*time.Millisecond, func() { f.planner.Ended(j, End{Outcome: Completed}, time.Now()) })
			time.Sleep(time.Second / perSecond)
		}
		total := 0
		for _, id := range ids {
			total += len(sends[id])
			if most := mostInSecond(sends[id]); most > coldAllowed/2 {
				t.Errorf("%s got %d requests in a second", id, most)
			}
		}
		if used := float64(total) / (4 * perZone); used < 8 {
			t.Errorf("%.1f requests a second at each cold upstream: the rate is not used", used)
		}
		time.Sleep(time.Second)
	})
}

// TestAllUpstreamsCold checks that a job is refused, with a time to return, once all upstreams have
// got as many requests as they take, that an instance without a role places nothing there, and that
// a service without a rate for cold upstreams is served as before.
func TestAllUpstreamsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(2, coldStart)
		time.Sleep(time.Second)
		placed, refused := 0, 0
		var last time.Duration
		for i := range 10 {
			d := f.place(fmt.Sprint("j", i))
			if d.Upstream != "" {
				placed++
				continue
			}
			refused++
			if d.Reason != Limited || d.RetryAfter <= last || d.RetryAfter > time.Second {
				t.Errorf("refused (%s), retry after %s, the one before after %s", d.Reason, d.RetryAfter, last)
			}
			last = d.RetryAfter
		}
		if placed != 2 || refused != 8 {
			t.Errorf("%d placed, %d refused, want one for each cold upstream", placed, refused)
		}
		time.Sleep(time.Second)
		j := Job{ID: "alone", Service: "plain", Lifetime: time.Second}
		if d := f.planner.PlaceAlone(j, 1, time.Now()); d.Reason != Limited || d.RetryAfter <= 0 {
			t.Errorf("an instance that plans alone: %+v", d)
		}
		service := coldService()
		service.ColdPerSecond = 0
		f = &coldFixture{planner: NewPlanner(""), state: deployment.NewState()}
		f.state.Subscribe(f.planner.SetView)
		f.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": service}}, time.Now())
		f.update([]deployment.Upstream{plainEntry(0, coldStart)}, nil)
		f.planner.observeCold(f.entryOf("p0"), coldStart, time.Now())
		for i := range 10 {
			if d := f.place(fmt.Sprint("j", i)); d.Upstream == "" || d.Cold {
				t.Errorf("without a rate: %+v", d)
			}
		}
		if !f.planner.cold.Empty() {
			t.Error("cold upstreams are kept for a service without a rate")
		}
	})
}

// roles returns how many instances have each role.
func (r *coldRun) roles() map[upstreamlimit.Role]int {
	count := map[upstreamlimit.Role]int{}
	for _, n := range r.nodes {
		count[n.fleet.coldRole("plain", time.Now())]++
	}
	return count
}

// TestOneHomeAndOneSubstituteAtATime guards against more than one whole rate for cold upstreams
// while the home is replaced or restarts, and against instances that take themselves for the home
// because they have lost sight of most others.
func TestOneHomeAndOneSubstituteAtATime(t *testing.T) {
	for _, instances := range []int{2, 7, 34} {
		synctest.Test(t, func(t *testing.T) {
			r := &coldRun{upstreams: 1, net: peertest.NewNet(time.Millisecond), state: deployment.NewState()}
			r.state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"plain": coldService()}}, time.Now())
			r.state.ReplaceUpstreams([]deployment.Upstream{r.entry(0, 0)}, deployment.Revision{Number: 1}, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			for i := range instances {
				r.nodes = append(r.nodes, r.join(ctx, fmt.Sprint("i", i), 1))
			}
			if n := r.roles(); n[upstreamlimit.Outsider] != instances {
				t.Errorf("%d instances: roles right after the start are %v", instances, n)
			}
			settle := roleSettleTime + 2*shareLifetime + maintenanceInterval
			time.Sleep(settle)
			if n := r.roles(); n[upstreamlimit.Home] != 1 || n[upstreamlimit.Substitute] != 1 {
				t.Errorf("%d instances: roles are %v", instances, n)
			}
			home := homeOf(r.nodes, "plain")
			if home.fleet.coldRole("plain", time.Now()) != upstreamlimit.Home {
				t.Errorf("%d instances: the home has another role", instances)
			}
			r.net.Leave(home.member.ID)
			r.nodes = slices.DeleteFunc(r.nodes, func(n *node) bool { return n == home })
			for range 10 { // the next home keeps its smaller part until what the last one sent has arrived
				if n := r.roles(); n[upstreamlimit.Home] > 0 || n[upstreamlimit.Substitute] > 1 {
					t.Errorf("%d instances: roles right after the home was replaced are %v", instances, n)
				}
				time.Sleep(roleSettleTime / 11)
			}
			time.Sleep(settle)
			if n := r.roles(); instances > 2 && (n[upstreamlimit.Home] != 1 || n[upstreamlimit.Substitute] != 1) {
				t.Errorf("%d instances: roles after the home was replaced are %v", instances, n)
			}
			for i, a := range r.nodes {
				for _, b := range r.nodes[:i] {
					r.net.SetLinkBroken(a.member.ID, b.member.ID, true)
				}
			}
			time.Sleep(settle)
			if n := r.roles(); n[upstreamlimit.Home]+n[upstreamlimit.Substitute] > 0 {
				t.Errorf("%d instances: roles of instances that are all cut off are %v", instances, n)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// TestColdEnginesTakeNoPartOfAPrompt guards against parts of large prompts and reservations for them,
// which other engines and instances send and nobody counts, at cold engines.
func TestColdEnginesTakeNoPartOfAPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, state := NewPlanner(""), deployment.NewState()
		p.SetColdBounds(usersColdBounds)
		state.Subscribe(p.SetView)
		model := usersModel()
		state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{
			"llm": {Name: "llm", Engine: &model, ColdStart: coldStart, ColdPerSecond: coldPerSecond},
		}}, time.Now())
		var list []deployment.Upstream
		for i := range 16 {
			up := deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16, Born: 1, Warming: coldStart}
			if i < 8 {
				up.Warming = 0
			}
			list = append(list, up)
		}
		state.ReplaceUpstreams(list, deployment.Revision{Number: 1}, time.Now())
		time.Sleep(time.Second)
		long := shortJob("long")
		long.Prompt, long.FirstAnswer = 150_000, 2*time.Second
		d := p.Place(long, 1, time.Now())
		if len(d.Helpers) == 0 {
			t.Fatalf("no helpers: %+v", d)
		}
		for _, id := range d.upstreams() {
			if up, _ := state.View().Upstream(id); up.Warming > 0 {
				t.Errorf("%s is cold and has a part of the prompt", id)
			}
		}
		for i := range list {
			list[i].Warming = coldStart
		}
		state.UpdateUpstreams(list, nil, deployment.Revision{Number: 2}, time.Now())
		time.Sleep(time.Second)
		long.ID = "all cold"
		if d := p.Place(long, 1, time.Now()); d.Reason != Limited || d.RetryAfter > coldStart+entryHeartbeat {
			t.Errorf("all engines are cold: %+v", d)
		}
		if d := p.Place(shortJob("short"), 1, time.Now()); d.Upstream == "" || !d.Cold {
			t.Errorf("a short prompt while all engines are cold: %+v", d)
		}
		if up := p.Dump(time.Now())[0]; up.Cold <= 0 || up.Cold > (coldStart+entryHeartbeat).Seconds() {
			t.Errorf("the state dump says that the upstream is cold for %v s", up.Cold)
		}
	})
}
