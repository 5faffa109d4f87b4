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

// fault is one kind of failure. run causes it and, unless it only affects open
// connections or single requests, clears it after duration. The report stores the
// name and lists recovery times under it.
type fault struct {
	name string
	run  func(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration)
}

// allFaults lists the kinds of failures that can be caused among processes on one
// machine.
var allFaults = []fault{
	{"engine killed", killEngine},
	{"engine frozen", freezeEngine},
	{"engine slow", slowEngine},
	{"engine refuses", refuseEngine},
	{"engine leaving", leaveEngine},
	{"streams silent", silenceStreams},
	{"streams reset", resetStreams},
	{"connections forgotten", silenceConnections},
	{"engine cut off", disconnectEngine},
	{"instance killed", killInstance},
	{"instance frozen", freezeInstance},
	{"instance stopped as planned", shutDownInstance},
	{"service killed", killService},
	{"service answers lost", loseServiceAnswers},
	{"service frozen", freezeService},
	{"store down", storeDown},
	{"store slow", storeSlow},
	{"store answers lost", loseStoreAnswers},
	{"platform cut off", silencePlatform},
	{"poison request", poison},
}

// Times of the schedule.
const (
	faultDuration = 3 * time.Second
	faultInterval = 2 * time.Second
	// recoveredAfter is the time without a failed request after which the
	// deployment counts as recovered.
	recoveredAfter = time.Second
	// recoveryTimeout bounds the wait for recovery before the next fault.
	recoveryTimeout = 20 * time.Second
)

// schedule causes faults one after another, or in pairs.
type schedule struct {
	fleet   *localfleet.Fleet
	report  *report
	options options
	random  *rand.Rand
}

func newSchedule(fleet *localfleet.Fleet, o options, r *report) *schedule {
	return &schedule{fleet: fleet, report: r, options: o, random: rand.New(rand.NewPCG(o.seed, 2))}
}

// run causes faults for the duration of the options. Each kind occurs once before
// any occurs again, in an order determined by the seed.
func (s *schedule) run(ctx context.Context) {
	end := time.Now().Add(s.options.duration)
	time.Sleep(faultInterval)
	var order []int
	for round := 0; time.Now().Before(end) && ctx.Err() == nil; round++ {
		count := 1
		if s.options.pairs && round%2 == 1 {
			count = 2
		}
		for len(order) < count {
			order = append(order, s.random.Perm(len(allFaults))...)
		}
		s.causeFaults(ctx, order[:count])
		order = order[count:]
	}
}

// causeFaults causes faults at the same time and waits for recovery.
func (s *schedule) causeFaults(ctx context.Context, indices []int) {
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
		wg.Go(func() { allFaults[i].run(ctx, s, random, faultDuration) })
	}
	wg.Wait()
	cleared := time.Now()
	s.awaitRecovery(ctx, cleared)
	s.report.recovery(name, max(0, s.report.lastFailureTime().Sub(cleared)))
	time.Sleep(faultInterval - recoveredAfter)
}

// awaitRecovery waits until no request has failed for recoveredAfter, but at most
// recoveryTimeout after the faults were cleared.
func (s *schedule) awaitRecovery(ctx context.Context, cleared time.Time) {
	for time.Since(cleared) < recoveryTimeout && ctx.Err() == nil {
		time.Sleep(recoveredAfter / 4)
		since := time.Now().Add(-recoveredAfter)
		if since.After(cleared) && !s.report.failedSince(since) {
			return
		}
	}
}

// setSwitches sets the fault switches of the stand-in at url. A failure is only
// printed, since another fault may have stopped the process.
func setSwitches(ctx context.Context, url string, switches map[string]any) {
	if err := localfleet.Send(ctx, http.MethodPut, url+"/standin/faults", switches); err != nil {
		fmt.Println("faults: setting fault switches:", err)
	}
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// withSwitches sets fault switches of a stand-in and clears them after duration.
func withSwitches(ctx context.Context, url string, duration time.Duration, switches map[string]any) {
	setSwitches(ctx, url, switches)
	time.Sleep(duration)
	setSwitches(ctx, url, map[string]any{})
}

// controlURL returns the base URL of a stand-in's fault switches.
func controlURL(up *localfleet.Upstream) string { return "http://" + up.Address }

// restart kills a process and starts it again after duration.
func restart(p *localfleet.Process, duration time.Duration) {
	p.Kill()
	time.Sleep(duration)
	if err := p.Start(); err != nil {
		fmt.Println("faults: restarting the process:", err)
	}
}

func killEngine(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	restart(pick(r, s.fleet.Engines).Process, duration)
}

func freezeEngine(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	e := pick(r, s.fleet.Engines)
	e.Pause()
	time.Sleep(duration)
	e.Resume()
}

func slowEngine(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	withSwitches(ctx, controlURL(pick(r, s.fleet.Engines)), duration, map[string]any{"slow_factor": 8})
}

func refuseEngine(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	withSwitches(ctx, controlURL(pick(r, s.fleet.Engines)), duration, map[string]any{"refuse": true})
}

func leaveEngine(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	withSwitches(ctx, controlURL(pick(r, s.fleet.Engines)), duration, map[string]any{"leaving": true})
}

// silenceStreams makes an engine send nothing more on the streams that are open.
func silenceStreams(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	setSwitches(ctx, controlURL(pick(r, s.fleet.Engines)), map[string]any{"stall_open": true})
}

func resetStreams(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	withSwitches(ctx, controlURL(pick(r, s.fleet.Engines)), duration, map[string]any{"drop_streams": 20, "drop_after_tokens": 5})
}

// silenceConnections makes a relay forward nothing more on the connections that
// are open, as a firewall does that has lost its connection table.
func silenceConnections(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	setSwitches(ctx, pick(r, s.fleet.Upstreams()).Relay.ControlURL, map[string]any{"silence_open": true})
}

func disconnectEngine(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	withSwitches(ctx, pick(r, s.fleet.Engines).Relay.ControlURL, duration, map[string]any{"cut": true})
}

func killInstance(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	restart(pick(r, s.fleet.Instances).Process, duration)
}

func freezeInstance(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	in := pick(r, s.fleet.Instances)
	in.Pause()
	time.Sleep(duration)
	in.Resume()
}

// shutDownInstance shuts an instance down gracefully while a long stream runs
// through it. The load does not remove the instance, unlike a load balancer, and
// finds a closed listener afterwards.
func shutDownInstance(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	in := pick(r, s.fleet.Instances)
	probe := newShutdownProbe(ctx, in)
	in.Terminate()
	exited := in.WaitExit(shutdownTimeout)
	problem := probe.problem()
	if !exited {
		problem = in.Name + " did not end after its last request's time"
		in.Kill()
	}
	s.report.check(gracefulShutdown, problem)
	time.Sleep(duration)
	if err := in.Start(); err != nil {
		fmt.Println("faults: restarting the process:", err)
	}
}

func killService(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	restart(pick(r, s.fleet.Services).Process, duration)
}

func loseServiceAnswers(ctx context.Context, s *schedule, r *rand.Rand, _ time.Duration) {
	setSwitches(ctx, controlURL(pick(r, s.fleet.Services)), map[string]any{"lose_answers": 10})
}

func freezeService(_ context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	up := pick(r, s.fleet.Services)
	up.Pause()
	time.Sleep(duration)
	up.Resume()
}

func storeDown(ctx context.Context, s *schedule, _ *rand.Rand, duration time.Duration) {
	withSwitches(ctx, s.fleet.PlatformURL, 2*duration, map[string]any{"down": true})
}

func storeSlow(ctx context.Context, s *schedule, _ *rand.Rand, duration time.Duration) {
	withSwitches(ctx, s.fleet.PlatformURL, duration, map[string]any{"delay_ns": int64(800 * time.Millisecond)})
}

func loseStoreAnswers(ctx context.Context, s *schedule, r *rand.Rand, duration time.Duration) {
	kind := pick(r, []string{"lose_answers", "lose_writes"})
	withSwitches(ctx, s.fleet.PlatformURL, duration, map[string]any{kind: 20})
}

func silencePlatform(ctx context.Context, s *schedule, _ *rand.Rand, duration time.Duration) {
	withSwitches(ctx, s.fleet.PlatformRelay.ControlURL, duration, map[string]any{"silence_all": true})
}
