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

// Spans of the soak's faults.
const (
	maxFaultGap  = 700 * time.Millisecond
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
	// leaveBound is how long after its word an upstream may still get work.
	leaveBound = 2 * time.Second
	// applyBound is how long a configuration may take to be in force.
	applyBound = 2 * time.Second
	// settleTime is how long after a fault its effects may last.
	settleTime = 3 * time.Second
)

// soakFault is one kind of fault. It returns when the fault has ended.
type soakFault struct {
	name string
	// harmless faults do not suspend the checks of bounds in time.
	harmless bool
	do       func(s *soakRun, ctx context.Context, r *rand.Rand, span time.Duration)
}

var soakFaults = []soakFault{
	{"kill an instance", false, (*soakRun).kill},
	{"stop an instance as planned", false, (*soakRun).terminate},
	{"pause an instance", false, (*soakRun).pause},
	{"send SIGHUP", true, (*soakRun).hangUp},
	{"fault of the store", false, (*soakRun).breakStore},
	{"fault of one instance's way to the store", false, (*soakRun).breakWayToStore},
	{"fault of the way to an upstream", false, (*soakRun).breakWayToUpstream},
	{"upstream misbehaves", true, (*soakRun).misbehave},
	{"upstream leaves and another comes", true, (*soakRun).replaceUpstream},
	{"new configuration", true, (*soakRun).configure},
}

// series starts faults by the seed's schedule; they overlap. It returns when all
// have ended.
func (s *soakRun) series(ctx context.Context, r *rand.Rand) {
	var running sync.WaitGroup
	end := time.Now().Add(s.options.duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := soakFaults[r.IntN(len(soakFaults))]
		span := minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime)))
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		s.report.fault(fmt.Sprintf("%s for %s", f.name, span.Round(time.Millisecond)))
		running.Go(func() {
			if !f.harmless {
				s.suspend(time.Now().Add(span + time.Minute))
			}
			f.do(s, ctx, own, span)
		})
		sleep.For(ctx, time.Duration(r.Int64N(int64(maxFaultGap))))
		if r.IntN(12) == 0 {
			running.Wait()
			s.checkBounds(ctx, r)
		}
	}
	running.Wait()
	s.checkBounds(ctx, r)
}

// checkBounds lets the effects of all faults end and checks the bounds in time.
func (s *soakRun) checkBounds(ctx context.Context, r *rand.Rand) {
	s.calm()
	sleep.For(ctx, settleTime)
	s.replaceUpstream(ctx, r, 0)
	s.configure(ctx, r, 0)
}

// suspend notes that faults are under way.
func (s *soakRun) suspend(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.troubled) {
		s.troubled = until
	}
}

// calm notes that no fault is under way; effects last a while.
func (s *soakRun) calm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = time.Now().Add(settleTime)
}

// quietSince states whether no fault had effects from a moment on.
func (s *soakRun) quietSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.troubled.Before(t)
}

// take claims a process for a fault; nil if it has one already.
func (s *soakRun) take(r *rand.Rand) *process {
	p := s.instances[r.IntN(len(s.instances))]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	p.stopping = true
	return p
}

func (p *process) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = false
}

func (s *soakRun) restart(p *process) {
	if err := p.start(s.options.bin, s.dir); err != nil {
		s.report.fault("restart failed: " + err.Error())
	}
}

func (s *soakRun) kill(ctx context.Context, r *rand.Rand, span time.Duration) {
	if p := s.take(r); p != nil {
		p.signal(syscall.SIGKILL)
		<-p.gone
		sleep.For(ctx, span/2)
		s.restart(p)
	}
}

// stopBound is the grace of a planned stop with slack for a busy machine.
const stopBound = 8 * time.Second

func (s *soakRun) terminate(ctx context.Context, r *rand.Rand, _ time.Duration) {
	p := s.take(r)
	if p == nil {
		return
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.gone:
		s.report.check(noCut, "")
	case <-time.After(stopBound + s.options.slack):
		s.report.check(noCut, p.name+" still runs after the grace of a planned stop")
		p.signal(syscall.SIGKILL)
		<-p.gone
	}
	sleep.For(ctx, minFaultTime)
	s.restart(p)
}

func (s *soakRun) pause(ctx context.Context, r *rand.Rand, span time.Duration) {
	if p := s.take(r); p != nil {
		p.signal(syscall.SIGSTOP)
		sleep.For(ctx, span)
		p.signal(syscall.SIGCONT)
		p.giveBack()
	}
}

func (s *soakRun) hangUp(_ context.Context, r *rand.Rand, _ time.Duration) {
	s.instances[r.IntN(len(s.instances))].signal(syscall.SIGHUP)
}

func (s *soakRun) breakStore(ctx context.Context, r *rand.Rand, span time.Duration) {
	all := []platformtest.Fault{platformtest.Busy, platformtest.Limited, platformtest.Silent, platformtest.Reset, platformtest.LoseAnswers}
	s.store.SetFault(all[r.IntN(len(all))], time.Duration(r.IntN(100))*time.Millisecond)
	sleep.For(ctx, span)
	if r.IntN(2) == 0 {
		s.store.DropHistory()
	}
	s.store.SetFault(platformtest.Healthy, 0)
}

// wayFaults are the faults of a relay.
func wayFault(r *rand.Rand) relay.Faults {
	return []relay.Faults{{Cut: true}, {SilenceOpen: true}, {SilenceAll: true}, {DelayMs: 100}}[r.IntN(4)]
}

func (s *soakRun) breakWayToStore(ctx context.Context, r *rand.Rand, span time.Duration) {
	way := s.instances[r.IntN(len(s.instances))].relay
	way.Set(wayFault(r))
	sleep.For(ctx, span)
	way.Set(relay.Faults{})
}

func (s *soakRun) anyUpstream(r *rand.Rand) *soakUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[r.IntN(len(s.upstreams))]
}

func (s *soakRun) breakWayToUpstream(ctx context.Context, r *rand.Rand, span time.Duration) {
	way := s.anyUpstream(r).relay
	way.Set(wayFault(r))
	sleep.For(ctx, span)
	way.Set(relay.Faults{})
}

func (s *soakRun) misbehave(_ context.Context, r *rand.Rand, _ time.Duration) {
	all := []platformtest.Behaviour{
		platformtest.Shed, platformtest.Fail, platformtest.CutBefore, platformtest.CutMidway,
		platformtest.Mute, platformtest.Unsigned, platformtest.Foreign,
	}
	s.anyUpstream(r).Behave(all[r.IntN(len(all))], 1+r.IntN(3))
}

// replaceUpstream starts another upstream and lets one leave, with or without
// word. It checks that the one that left gets no work after the bound, unless
// faults were under way.
func (s *soakRun) replaceUpstream(ctx context.Context, r *rand.Rand, _ time.Duration) {
	old := s.anyUpstream(r)
	s.mu.Lock()
	busy := old.leaving
	old.leaving = true
	s.mu.Unlock()
	if busy {
		return
	}
	if err := s.addUpstream(old.Service); err != nil {
		s.report.fault("an upstream could not be started: " + err.Error())
		return
	}
	began := time.Now()
	if r.IntN(2) == 0 {
		s.store.Put("servers", old.ID, old.Entry(true))
	} else {
		s.store.Delete("servers", old.ID)
	}
	sleep.For(ctx, leaveBound+s.options.slack/10)
	before := old.Arrivals()
	sleep.For(ctx, time.Second)
	if s.quietSince(began) {
		s.report.check(noNewWork, problemIf(old.Arrivals() > before, "%s got %d requests after it had left", old.ID, old.Arrivals()-before))
	}
}

// configure adds a key and checks that it is in force in time, unless faults were
// under way.
func (s *soakRun) configure(ctx context.Context, _ *rand.Rand, _ time.Duration) {
	s.mu.Lock()
	s.version += 3
	version := s.version
	key := fmt.Sprintf("key-%d", version)
	s.mu.Unlock()
	began := time.Now()
	s.store.Put("op", "config", platformtest.Configuration(version, key))
	sleep.For(ctx, applyBound+s.options.slack/10)
	s.mu.Lock()
	newest := s.version == version
	s.mu.Unlock()
	if !newest || !s.quietSince(began) {
		return
	}
	for _, p := range s.instances {
		reply := platformtest.Ask(ctx, p.front, "GET", "/read/x", fmt.Sprintf("%s-%s", key, p.name), func(h http.Header) {
			h.Set("Authorization", "Token "+key)
		})
		if s.quietSince(began) {
			s.report.check(inForce, problemIf(reply.Status == http.StatusUnauthorized, "%s does not know the key of version %d", p.name, version))
		}
	}
}
