package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// explainedDeployment gives planners 6 engines and 6 plain upstreams with competing callers and rates
// for cold upstreams.
func explainedDeployment(planners ...*Planner) *deployment.State {
	state := deployment.NewState()
	for _, p := range planners {
		p.SetColdBounds(usersColdBounds)
		state.Subscribe(p.SetView)
	}
	model := usersModel()
	state.SetConfiguration(&deployment.Configuration{
		Version: 3,
		Routes:  []deployment.Route{{Targets: []deployment.Target{{Service: "llm"}}}},
		Services: map[string]deployment.Service{
			"llm":   {Name: "llm", Engine: &model, ColdStart: coldStart, ColdPerSecond: coldPerSecond},
			"plain": {Name: "plain", ColdStart: coldStart, ColdPerSecond: coldPerSecond},
		},
		Keys: map[string]deployment.Workspace{"a": {Name: "w0"}, "b": {Name: "w1", Priority: 1}},
	}, time.Now())
	var ups []deployment.Upstream
	for i := range 6 {
		dc := fmt.Sprint("dc", i/3)
		ups = append(ups,
			deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16, Born: 1, DataCentre: dc},
			deployment.Upstream{ID: fmt.Sprint("p", i), Service: "plain", Address: fmt.Sprint("p", i), Slots: 6, Born: 1, DataCentre: dc})
	}
	// Cold for the first seconds of a run.
	ups[0].Warming, ups[1].Warming = 2*time.Second, 2*time.Second
	state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, time.Now())
	return state
}

// TestExplanationsChangeNoDecision guards against an explanation that draws from a rate, advances a
// turn, leaves a claim or a job, or differs from the decision that is made at the same time.
func TestExplanationsChangeNoDecision(t *testing.T) {
	for _, c := range []struct {
		service string
		seed    uint64
		scope   scope
		// limited is the number of upstreams that name limits.
		limited   int
		perSecond float64
	}{
		{"llm", 1, fleetwide, 2, 3}, {"llm", 2, fleetwide, 6, 8}, {"llm", 3, alone, 2, 300},
		{"plain", 4, fleetwide, 2, 3}, {"plain", 5, fleetwide, 6, 8}, {"plain", 6, alone, 6, 300}, {"plain", 7, fleetwide, 0, 0},
	} {
		t.Run(fmt.Sprint(c.service, c.seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked, other := NewPlanner("dc0"), NewPlanner("dc0")
				asked.LearnCosts()
				other.LearnCosts()
				explainedDeployment(asked, other)
				r := rand.New(rand.NewPCG(c.seed, 7))
				reasons := map[Reason]int{}
				type running struct {
					id  string
					end time.Time
				}
				var jobs []running
				var limits []upstreamlimit.Observation
				for i := range c.limited {
					id := fmt.Sprint(map[string]string{"llm": "e", "plain": "p"}[c.service], 5-i)
					limits = append(limits, upstreamlimit.Observation{Key: upstreamlimit.Key{Service: c.service, ID: id, Born: 1}, Limit: upstreamlimit.Limit{Named: true, PerSecond: c.perSecond}})
				}
				authorityOf := authority{scope: c.scope, role: upstreamlimit.Home, limitShare: 1}
				if c.scope == alone {
					authorityOf = authority{scope: alone, role: upstreamlimit.Outsider, start: "me", limitShare: 0.03}
				}
				for i := range 1500 {
					// Also between the placements, with another job and in another role.
					time.Sleep(time.Duration(r.IntN(6)) * time.Millisecond)
					o := shortJob(fmt.Sprint("o", i))
					o.Service, o.Rank, o.Workspace, o.Route, o.Prompt, o.Fingerprint = c.service, 1, "w2", "r", r.IntN(200_000), uint64(1+r.IntN(400))
					asked.explain(o, authority{scope: fleetwide, role: upstreamlimit.Substitute, start: "x", limitShare: 0.03}, time.Now())
					time.Sleep(time.Duration(r.IntN(6)) * time.Millisecond)
					now := time.Now()
					for _, p := range []*Planner{asked, other} {
						if i%50 == 0 {
							p.ObserveLimits(limits, now)
						}
						for _, j := range jobs {
							if !j.end.After(now) {
								p.FirstAnswer(j.id, now)
								p.Ended(j.id, End{Outcome: Completed, Duration: time.Duration(20+i%7*30) * time.Millisecond, Events: 12}, now)
							}
						}
					}
					for len(jobs) > 0 && !jobs[0].end.After(now) {
						jobs = jobs[1:]
					}
					j := shortJob(fmt.Sprint("j", i))
					j.Service, j.Rank, j.Workspace, j.Route = c.service, 1+r.IntN(2), fmt.Sprint("w", r.IntN(2)), "r"
					j.MayWait, j.MayDefer = r.IntN(2) == 0, r.IntN(2) == 0
					j.Fingerprint = uint64(1 + r.IntN(400))
					if c.service == "plain" {
						j.Prompt, j.Output = 0, 0
					} else if r.IntN(5) == 0 {
						j.Prompt = []int{45_000, 130_000, 250_000, 500_000}[r.IntN(4)]
						j.FirstAnswer = 1500 * time.Millisecond
					}
					var e Explanation
					for range 1 + r.IntN(2) {
						e = asked.explain(j, authorityOf, now)
					}
					got, want := asked.place(j, authorityOf, now), other.place(j, authorityOf, now)
					if !reflect.DeepEqual(got, want) {
						t.Fatalf("job %d: decision %+v with explanations, %+v without", i, got, want)
					}
					reasons[got.Reason]++
					told := e.Decision
					if told.Upstream != got.Upstream || !reflect.DeepEqual(told.Helpers, got.Helpers) || told.Reason != got.Reason ||
						told.RetryAfter != got.RetryAfter || told.Urgency != got.Urgency || told.Expect != got.Expect {
						t.Fatalf("job %d: explained as %+v, decided as %+v", i, told, got)
					}
					if got.Upstream != "" && len(got.Helpers) == 0 && len(e.Candidates) == 0 {
						t.Fatalf("job %d is placed, and the explanation names no candidate: %+v", i, e)
					}
					if got.Upstream != "" {
						jobs = append(jobs, running{j.ID, now.Add(700 * time.Millisecond)})
					}
				}
				t.Logf("decisions: %v", reasons)
			})
		})
	}
}

// TestRuledOutUpstreamsAreCounted guards against upstreams that are counted under another reason or
// not at all.
func TestRuledOutUpstreamsAreCounted(t *testing.T) {
	home := authority{scope: fleetwide, role: upstreamlimit.Home, limitShare: 1}
	plain := func(id string) upstreamlimit.Key { return upstreamlimit.Key{Service: "plain", ID: id, Born: 1} }
	engine := func(i int) string { return fmt.Sprint("e", i) }
	for _, c := range []struct {
		name    string
		service string
		prepare func(p *Planner, s *deployment.State, now time.Time)
		want    RuledOut
		reason  Reason
	}{
		{"cold only", "plain", func(*Planner, *deployment.State, time.Time) {}, RuledOut{Cold: 1}, NoReason},
		{"leaving", "plain", func(_ *Planner, s *deployment.State, now time.Time) {
			s.AddUpstreams([]deployment.Upstream{{ID: "p5", Service: "plain", Address: "p5", Slots: 6, Born: 1, Leaving: true}}, now)
		}, RuledOut{Cold: 1, Leaving: 1}, NoReason},
		{"paused and down", "plain", func(p *Planner, _ *deployment.State, now time.Time) {
			p.ObserveLimits([]upstreamlimit.Observation{{Key: plain("p1"), Pause: time.Minute}}, now)
			p.pools["plain"].members["p2"].health.record(Lost, now)
		}, RuledOut{Cold: 1, Paused: 2}, NoReason},
		{"limited", "plain", func(p *Planner, _ *deployment.State, now time.Time) {
			p.ObserveLimits([]upstreamlimit.Observation{{Key: plain("p1"), Limit: upstreamlimit.Limit{Named: true, PerSecond: 1}}}, now)
		}, RuledOut{Cold: 1, Limited: 1}, NoReason},
		{"all limited or cold", "plain", func(p *Planner, _ *deployment.State, now time.Time) {
			for i := 1; i < 6; i++ {
				p.ObserveLimits([]upstreamlimit.Observation{{Key: plain(fmt.Sprint("p", i)), Limit: upstreamlimit.Limit{Named: true, PerSecond: 1}}}, now)
			}
		}, RuledOut{Cold: 1, Limited: 5}, Limited},
		{"no slot and no memory", "llm", func(p *Planner, _ *deployment.State, now time.Time) {
			for i := range 16 { // all slots of one engine
				j := shortJob(fmt.Sprint("s", i))
				p.adopt(p.pools["llm"], j, Decision{Upstream: engine(1)}, false, now)
			}
			j := shortJob("large")
			j.Prompt = 230_000
			p.adopt(p.pools["llm"], j, Decision{Upstream: engine(2)}, false, now)
		}, RuledOut{Cold: 1, NoSlot: 1, NoMemory: 1}, NoReason},
		{"evacuated", "plain", func(_ *Planner, s *deployment.State, now time.Time) {
			s.SetEvacuations(deployment.Evacuations{Set: []deployment.Evacuation{{DataCentre: "dc1"}}}, true, now)
		}, RuledOut{Cold: 1, Evacuated: 3}, NoReason},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPlanner("dc0")
				state := explainedDeployment(p)
				time.Sleep(10 * time.Millisecond)
				c.prepare(p, state, time.Now())
				j := shortJob("j")
				j.Service, j.MayWait = c.service, true
				e := p.explain(j, home, time.Now())
				if e.RuledOut != c.want || e.Decision.Reason != c.reason {
					t.Errorf("ruled out %+v with reason %s, want %+v with %s", e.RuledOut, e.Decision.Reason, c.want, c.reason)
				}
				if e.ConfigVersion != 3 || e.ConfigAge != 10*time.Millisecond {
					t.Errorf("configuration %d of %s, want 3 of 10 ms", e.ConfigVersion, e.ConfigAge)
				}
				if len(e.Candidates) > maxExplained || c.reason == NoReason && len(e.Candidates) == 0 {
					t.Errorf("%d candidates", len(e.Candidates))
				}
			})
		})
	}
}

// TestHomeExplains guards against an explanation by an instance that doesn't decide, and against an
// unclear error when the home is of an older build or does not answer.
func TestHomeExplains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		nodes := newNodes(net, 4)
		home := homeOf(nodes, "llm")
		home.fleet.Place(t.Context(), shortJob("known to the home only"))
		var other *node
		for _, n := range nodes {
			if n != home {
				other = n
			}
		}
		by, e, err := other.fleet.Explain(t.Context(), shortJob("j"))
		own, want, ownErr := home.fleet.Explain(t.Context(), shortJob("j"))
		if err != nil || ownErr != nil || by != home.member.ID || own != by || e.Decision.Upstream == "" {
			t.Fatalf("explained by %q as %+v, %v; by the home %q as %+v, %v", by, e, err, own, want, ownErr)
		}
		if home.known() != 1 || other.known() != 0 {
			t.Errorf("the home knows %d jobs and the other instance %d, want 1 and 0", home.known(), other.known())
		}
		net.Join(home.member) // a build without the topic
		if _, _, err := other.fleet.Explain(t.Context(), shortJob("j")); !errors.Is(err, ErrCannotExplain) {
			t.Errorf("error %v, want %v", err, ErrCannotExplain)
		}
		net.SetSilent(other.member.ID, home.member.ID, true)
		if _, _, err := other.fleet.Explain(t.Context(), shortJob("j")); !errors.Is(err, ErrNoHome) {
			t.Errorf("error %v, want %v", err, ErrNoHome)
		}
	})
}
