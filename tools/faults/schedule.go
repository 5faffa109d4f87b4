package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// fault is one kind of failure. It lasts for the given time and then heals.
type fault struct {
	name string
	run  func(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration)
}

// all kinds of failures of the brief that processes on one machine can show.
var allFaults = []fault{
	{"engine killed", killEngine},
	{"engine frozen", freezeEngine},
	{"engine slow", slowEngine},
	{"engine refuses", refuseEngine},
	{"engine leaving", leaveEngine},
	{"streams silent", silenceStreams},
	{"streams reset", resetStreams},
	{"connections forgotten", forgetConnections},
	{"engine cut off", cutEngine},
	{"instance killed", killInstance},
	{"instance frozen", freezeInstance},
	{"instance stopped as planned", stopInstance},
	{"service killed", killService},
	{"service answers lost", loseServiceAnswers},
	{"service frozen", freezeService},
	{"store down", storeDown},
	{"store slow", storeSlow},
	{"store answers lost", loseStoreAnswers},
	{"platform cut off", cutPlatform},
	{"poison request", poison},
}

// Times of the schedule.
const (
	faultTime = 3 * time.Second
	faultGap  = 2 * time.Second
	// calmTime without failures counts as recovered.
	calmTime = time.Second
	// maxRecovery bounds the wait for recovery before the next fault.
	maxRecovery = 20 * time.Second
)

// schedule causes faults one after another, or two at once.
type schedule struct {
	fleet  *localfleet.Fleet
	report *report
	opts   options
	random *rand.Rand
}

func newSchedule(fleet *localfleet.Fleet, o options, r *report) *schedule {
	return &schedule{fleet: fleet, report: r, opts: o, random: rand.New(rand.NewPCG(o.seed, 2))}
}

// run causes faults until the time is over. Each kind comes once before any
// comes again, in an order that the seed gives.
func (s *schedule) run(ctx context.Context) {
	end := time.Now().Add(s.opts.duration)
	time.Sleep(faultGap)
	var order []int
	for round := 0; time.Now().Before(end) && ctx.Err() == nil; round++ {
		count := 1
		if s.opts.pairs && round%2 == 1 {
			count = 2
		}
		for len(order) < count {
			order = append(order, s.random.Perm(len(allFaults))...)
		}
		s.cause(ctx, order[:count])
		order = order[count:]
	}
}

// cause runs faults at the same time and waits for recovery.
func (s *schedule) cause(ctx context.Context, indices []int) {
	var wg sync.WaitGroup
	name := ""
	for _, i := range indices {
		if name != "" {
			name += " + "
		}
		name += allFaults[i].name
	}
	s.report.fault(name)
	for _, i := range indices {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 3))
		wg.Go(func() { allFaults[i].run(ctx, s, random, faultTime) })
	}
	wg.Wait()
	healed := time.Now()
	s.awaitCalm(ctx, healed)
	s.report.recovered(name, max(0, s.report.failure().Sub(healed)))
	time.Sleep(faultGap - calmTime)
}

// awaitCalm waits until no request has failed for a while.
func (s *schedule) awaitCalm(ctx context.Context, healed time.Time) {
	for time.Since(healed) < maxRecovery && ctx.Err() == nil {
		time.Sleep(calmTime / 4)
		since := time.Now().Add(-calmTime)
		if since.After(healed) && !s.report.failedSince(since) {
			return
		}
	}
}

// put sets the fault switches of a stand-in; a process that is down has none.
func put(ctx context.Context, url string, switches map[string]any) {
	if err := localfleet.Send(ctx, http.MethodPut, url+"/standin/faults", switches); err != nil {
		fmt.Println("faults: switch not set:", err)
	}
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// withSwitches sets switches of a stand-in for a time and then clears them.
func withSwitches(ctx context.Context, url string, lasts time.Duration, switches map[string]any) {
	put(ctx, url, switches)
	time.Sleep(lasts)
	put(ctx, url, map[string]any{})
}

// control returns the base URL of a stand-in's fault switches.
func control(up *localfleet.Upstream) string { return "http://" + up.Address }

// restart kills a process and starts it after a time.
func restart(p *localfleet.Process, lasts time.Duration) {
	p.Kill()
	time.Sleep(lasts)
	if err := p.Start(); err != nil {
		fmt.Println("faults: not restarted:", err)
	}
}

func killEngine(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	restart(pick(r, s.fleet.Engines).Process, lasts)
}

func freezeEngine(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	e := pick(r, s.fleet.Engines)
	e.Freeze()
	time.Sleep(lasts)
	e.Thaw()
}

func slowEngine(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, control(pick(r, s.fleet.Engines)), lasts, map[string]any{"slow_factor": 8})
}

func refuseEngine(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, control(pick(r, s.fleet.Engines)), lasts, map[string]any{"refuse": true})
}

func leaveEngine(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, control(pick(r, s.fleet.Engines)), lasts, map[string]any{"leaving": true})
}

func silenceStreams(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	put(ctx, control(pick(r, s.fleet.Engines)), map[string]any{"stall_open": true})
}

func resetStreams(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, control(pick(r, s.fleet.Engines)), lasts, map[string]any{"drop_streams": 20, "drop_after_tokens": 5})
}

func forgetConnections(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	put(ctx, pick(r, s.fleet.Upstreams()).Relay.Control, map[string]any{"silence_open": true})
}

func cutEngine(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, pick(r, s.fleet.Engines).Relay.Control, lasts, map[string]any{"cut": true})
}

func killInstance(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	restart(pick(r, s.fleet.Instances).Process, lasts)
}

func freezeInstance(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	in := pick(r, s.fleet.Instances)
	in.Freeze()
	time.Sleep(lasts)
	in.Thaw()
}

// stopInstance begins a planned stop. The load stands in for the balancer: it
// meets a closed listener afterwards.
func stopInstance(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	in := pick(r, s.fleet.Instances)
	probe := newStopProbe(ctx, in)
	in.Terminate()
	ended := in.Join(stopLimit)
	problem := probe.problem()
	if !ended {
		problem = in.Name + " did not end after its last request's time"
		in.Kill()
	}
	s.report.check(noCut, problem)
	time.Sleep(lasts)
	if err := in.Start(); err != nil {
		fmt.Println("faults: not restarted:", err)
	}
}

func killService(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	restart(pick(r, s.fleet.Services).Process, lasts)
}

func loseServiceAnswers(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	put(ctx, control(pick(r, s.fleet.Services)), map[string]any{"lose_answers": 10})
}

func freezeService(_ context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	up := pick(r, s.fleet.Services)
	up.Freeze()
	time.Sleep(lasts)
	up.Thaw()
}

func storeDown(ctx context.Context, s *schedule, _ *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, s.fleet.PlatformURL, 2*lasts, map[string]any{"down": true})
}

func storeSlow(ctx context.Context, s *schedule, _ *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, s.fleet.PlatformURL, lasts, map[string]any{"delay_ns": int64(800 * time.Millisecond)})
}

func loseStoreAnswers(ctx context.Context, s *schedule, r *rand.Rand, lasts time.Duration) {
	kind := pick(r, []string{"lose_answers", "lose_writes"})
	withSwitches(ctx, s.fleet.PlatformURL, lasts, map[string]any{kind: 20})
}

func cutPlatform(ctx context.Context, s *schedule, _ *rand.Rand, lasts time.Duration) {
	withSwitches(ctx, s.fleet.PlatformRelay.Control, lasts, map[string]any{"silence_all": true})
}
