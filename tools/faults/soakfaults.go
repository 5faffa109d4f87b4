package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/relay"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// Times of the soak's faults and checks.
const (
	maxFaultInterval = 700 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// leaveTimeout is how long an upstream may still receive work after it has been
	// marked as leaving in the store or deleted from it.
	leaveTimeout = 2 * time.Second
	// configurationTimeout is the time within which instances must apply a new
	// configuration.
	configurationTimeout = 2 * time.Second
	// settleTime is how long the effects of a fault may last after its end.
	settleTime = 3 * time.Second
)

// soakFault is one kind of fault. The report stores its name.
type soakFault struct {
	name string
	// harmless faults do not suspend the checks of timeouts.
	harmless bool
	// run causes the fault and returns once it has ended.
	run func(s *soakRun, ctx context.Context, r *rand.Rand, duration time.Duration)
}

var soakFaults = []soakFault{
	{"kill an instance", false, (*soakRun).kill},
	{"stop an instance as planned", false, (*soakRun).shutDown},
	{"pause an instance", false, (*soakRun).pause},
	{"send SIGHUP", true, (*soakRun).sendHangup},
	{"fault of the store", false, (*soakRun).disturbStore},
	{"fault of one instance's way to the store", false, (*soakRun).disturbStoreRelay},
	{"fault of the way to an upstream", false, (*soakRun).disturbUpstreamRelay},
	{"upstream misbehaves", true, (*soakRun).disturbUpstream},
	{"upstream leaves and another comes", true, (*soakRun).replaceUpstream},
	{"new configuration", true, (*soakRun).changeConfiguration},
}

// runFaults starts overlapping faults by a schedule determined by the seed, and
// returns once all have ended.
func (s *soakRun) runFaults(ctx context.Context, r *rand.Rand) {
	var running sync.WaitGroup
	end := time.Now().Add(s.options.duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := soakFaults[r.IntN(len(soakFaults))]
		duration := minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faultRandom := rand.New(rand.NewPCG(r.Uint64(), 2))
		s.report.fault(fmt.Sprintf("%s for %s", f.name, duration.Round(time.Millisecond)))
		running.Go(func() {
			if !f.harmless {
				s.suspendChecks(time.Now().Add(duration + time.Minute))
			}
			f.run(s, ctx, faultRandom, duration)
		})
		sleep.For(ctx, time.Duration(r.Int64N(int64(maxFaultInterval))))
		if r.IntN(12) == 0 {
			running.Wait()
			s.checkTimeouts(ctx, r)
		}
	}
	running.Wait()
	s.checkTimeouts(ctx, r)
}

// checkTimeouts waits until the effects of all faults have ended, and checks that a
// removed upstream receives no more work and that a new configuration is applied
// within their timeouts.
func (s *soakRun) checkTimeouts(ctx context.Context, r *rand.Rand) {
	s.resumeChecks()
	sleep.For(ctx, settleTime)
	s.replaceUpstream(ctx, r, 0)
	s.changeConfiguration(ctx, r, 0)
}

// suspendChecks records that faults may have effects until the given time.
func (s *soakRun) suspendChecks(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.affectedUntil) {
		s.affectedUntil = until
	}
}

// resumeChecks records that no fault is active; effects may last for settleTime.
func (s *soakRun) resumeChecks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.affectedUntil = time.Now().Add(settleTime)
}

// unaffectedSince reports whether no fault had effects after t.
func (s *soakRun) unaffectedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.affectedUntil.Before(t)
}

// claimProcess claims a random process for a fault. It returns nil if another fault
// has claimed the process.
func (s *soakRun) claimProcess(r *rand.Rand) *process {
	p := s.instances[r.IntN(len(s.instances))]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimed {
		return nil
	}
	p.claimed = true
	return p
}

// disturb records the beginning or the end of a fault that kills or pauses the process.
func (p *process) disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unplanned++
}

// release ends the claim of a fault on the process.
func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claimed = false
}

// restart starts a process that has exited and ends the claim on it.
func (s *soakRun) restart(p *process) {
	if err := s.startProcess(p); err != nil {
		s.report.fault("restart failed: " + err.Error())
	}
}

func (s *soakRun) kill(ctx context.Context, r *rand.Rand, duration time.Duration) {
	if p := s.claimProcess(r); p != nil {
		p.disturb()
		p.signal(syscall.SIGKILL)
		<-p.exited
		sleep.For(ctx, duration/2)
		s.restart(p)
		p.disturb()
	}
}

// soakShutdownTimeout bounds a graceful shutdown: the grace period of the platform
// with slack for a busy machine.
const soakShutdownTimeout = 8 * time.Second

func (s *soakRun) shutDown(ctx context.Context, r *rand.Rand, _ time.Duration) {
	p := s.claimProcess(r)
	if p == nil {
		return
	}
	p.signal(syscall.SIGTERM)
	s.awaitStop(p, soakShutdownTimeout)
	sleep.For(ctx, minFaultDuration)
	s.restart(p)
}

// awaitStop checks that a process that was told to stop exits within the grace period, with slack for
// a busy machine, and kills it otherwise.
func (s *soakRun) awaitStop(p *process, grace time.Duration) {
	select {
	case <-p.exited:
		s.report.check(gracefulShutdown, "")
	case <-time.After(grace + s.options.slack):
		s.report.check(gracefulShutdown, p.name+" still runs after the grace of a planned stop")
		p.disturb()
		p.signal(syscall.SIGKILL)
		<-p.exited
		p.disturb()
	}
}

func (s *soakRun) pause(ctx context.Context, r *rand.Rand, duration time.Duration) {
	if p := s.claimProcess(r); p != nil {
		p.disturb()
		p.signal(syscall.SIGSTOP)
		sleep.For(ctx, duration)
		p.signal(syscall.SIGCONT)
		p.disturb()
		p.release()
	}
}

func (s *soakRun) sendHangup(_ context.Context, r *rand.Rand, _ time.Duration) {
	s.instances[r.IntN(len(s.instances))].signal(syscall.SIGHUP)
}

func (s *soakRun) disturbStore(ctx context.Context, r *rand.Rand, duration time.Duration) {
	faults := []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.Unresponsive, platformtest.ResetConnections, platformtest.LoseAnswers}
	s.store.SetFault(faults[r.IntN(len(faults))], time.Duration(r.IntN(100))*time.Millisecond)
	sleep.For(ctx, duration)
	if r.IntN(2) == 0 {
		s.store.DropHistory()
	}
	s.store.SetFault(platformtest.Healthy, 0)
}

// relayFault returns a random fault of a relay.
func relayFault(r *rand.Rand) relay.Faults {
	return []relay.Faults{{Cut: true}, {SilenceOpen: true}, {SilenceAll: true}, {DelayMs: 100}}[r.IntN(4)]
}

func (s *soakRun) disturbStoreRelay(ctx context.Context, r *rand.Rand, duration time.Duration) {
	link := s.instances[r.IntN(len(s.instances))].relay
	link.Set(relayFault(r))
	sleep.For(ctx, duration)
	link.Set(relay.Faults{})
}

func (s *soakRun) randomUpstream(r *rand.Rand) *soakUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[r.IntN(len(s.upstreams))]
}

func (s *soakRun) disturbUpstreamRelay(ctx context.Context, r *rand.Rand, duration time.Duration) {
	link := s.randomUpstream(r).relay
	link.Set(relayFault(r))
	sleep.For(ctx, duration)
	link.Set(relay.Faults{})
}

// disturbUpstream makes an upstream misbehave on its next one to three requests.
func (s *soakRun) disturbUpstream(_ context.Context, r *rand.Rand, _ time.Duration) {
	behaviours := []platformtest.Behaviour{
		platformtest.RejectNotRun, platformtest.Fail, platformtest.CutBefore, platformtest.CutMidway,
		platformtest.NoAnswer, platformtest.Unsigned, platformtest.WrongRequestID,
	}
	s.randomUpstream(r).SetBehaviour(behaviours[r.IntN(len(behaviours))], 1+r.IntN(3))
}

// replaceUpstream starts an upstream and removes another of the same service: the
// latter is either marked as leaving or deleted from the store. It checks that the
// removed one receives no work after leaveTimeout, unless faults had effects.
func (s *soakRun) replaceUpstream(ctx context.Context, r *rand.Rand, _ time.Duration) {
	old := s.randomUpstream(r)
	s.mu.Lock()
	alreadyLeaving := old.claimed
	old.claimed = true
	s.mu.Unlock()
	if alreadyLeaving {
		return
	}
	if err := s.addUpstream(old.Service); err != nil {
		s.report.fault("an upstream could not be started: " + err.Error())
		return
	}
	start := time.Now()
	s.mu.Lock()
	old.leaving, old.unlisted = true, r.IntN(2) != 0
	s.writeEntry(old)
	s.mu.Unlock()
	sleep.For(ctx, leaveTimeout+s.options.slack/10)
	before := old.Arrivals()
	sleep.For(ctx, time.Second)
	if s.unaffectedSince(start) {
		s.report.check(noNewWork, problemIf(old.Arrivals() > before, "%s got %d requests after it had left", old.ID, old.Arrivals()-before))
	}
}

// changeConfiguration adds a key to the configuration and checks that all instances
// accept it after configurationTimeout, unless faults had effects or the
// configuration has changed again.
func (s *soakRun) changeConfiguration(ctx context.Context, _ *rand.Rand, _ time.Duration) {
	s.mu.Lock()
	s.version += 3
	version := s.version
	key := fmt.Sprintf("key-%d", version)
	s.mu.Unlock()
	start := time.Now()
	s.mu.Lock()
	if version == s.version {
		s.configuration = platformtest.Configuration(version, key)
		s.store.Put("op", "config", s.configuration)
	}
	s.mu.Unlock()
	sleep.For(ctx, configurationTimeout+s.options.slack/10)
	s.mu.Lock()
	newest := s.version == version
	s.mu.Unlock()
	if !newest || !s.unaffectedSince(start) {
		return
	}
	for _, p := range s.instances {
		reply := platformtest.SendRequest(ctx, p.frontAddress, "GET", "/read/x", fmt.Sprintf("%s-%s", key, p.name), func(h http.Header) {
			h.Set("Authorization", "Token "+key)
		})
		if s.unaffectedSince(start) {
			s.report.check(editApplied, problemIf(reply.Status == http.StatusUnauthorized, "%s does not know the key of version %d", p.name, version))
		}
	}
}
