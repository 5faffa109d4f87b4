package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// Grant lets one attempt of a request run on one upstream. Done must be called
// once the attempt has ended; the other notifications are optional.
type Grant struct {
	scheduler *Scheduler
	pool      *pool
	state     *state
	upstream  Upstream
	request   *Request
	priority  int
	parts     []Part
	// others are the further engines of a prompt of several parts.
	others []*state
	// alone says that the request is a suspect on an upstream of its own,
	// which is kept free for kept.
	alone bool
	// gangKept lists the engines that are kept free until the end of a
	// suspect that runs on several.
	gangKept []gang.Share
	kept     *waiter
	done     sync.Once
	// tokens counts the answer's tokens.
	tokens atomic.Int64
	sent   atomic.Bool

	ahead, work float64
	grantedAt   time.Time

	// Guarded by the scheduler's lock.
	firstAt time.Time
}

// Upstream returns the upstream to send to.
func (g *Grant) Upstream() Upstream { return g.upstream }

// Priority returns the value of upstream.HeaderPriority; lower runs sooner.
func (g *Grant) Priority() int { return g.priority }

// Parts returns the reservations of a prompt larger than one engine, already
// made; empty for any other request. The first belongs to Upstream.
func (g *Grant) Parts() []Part { return g.parts }

// Sent says that the first byte of the request is about to be written. A loss
// before that is not the request's fault.
func (g *Grant) Sent() { g.sent.Store(true) }

// FirstToken says that the first token of the answer arrived.
func (g *Grant) FirstToken() {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.firstAt.IsZero() {
		return
	}
	now := time.Now()
	g.firstAt = now
	g.state.load.FirstToken(g.request.ID, now)
	g.sampleLatency(now)
	s.changed(g.state, now, false)
}

// latencyFloor is added to the expected latency, in seconds, so that very short
// requests do not look slow.
const latencyFloor = 0.05

// sampleLatency compares the time to the first token with what the pool's mean
// speed makes expected.
func (g *Grant) sampleLatency(now time.Time) {
	if len(g.parts) > 0 {
		return
	}
	elapsed := now.Sub(g.grantedAt).Seconds()
	expected := latencyFloor
	if g.pool.speed.rate > 0 {
		expected += (g.ahead + g.work) / g.pool.speed.rate
	}
	g.state.health.Latency((elapsed + latencyFloor) / expected)
	if g.work >= minSpeedSample && elapsed > 0 {
		g.pool.speed.prefill((g.ahead + g.work) / elapsed)
	}
}

// minSpeedSample is the least prompt work, in tokens, that gives a sample of
// the pool's speed.
const minSpeedSample = 256

// Progress says that tokens more tokens of the answer arrived.
func (g *Grant) Progress(tokens int) {
	g.tokens.Add(int64(tokens))
}

// Done ends the grant. Later calls have no effect.
func (g *Grant) Done(outcome Outcome) {
	g.done.Do(func() {
		s := g.scheduler
		s.mu.Lock()
		s.finish(g, outcome, time.Now())
		s.mu.Unlock()
		if len(g.parts) > 0 {
			go s.releaseParts(g)
		}
	})
}

// finish takes the request off the upstream and learns from its outcome.
func (s *Scheduler) finish(g *Grant, outcome Outcome, now time.Time) {
	st := g.state
	st.load.Ended(g.request.ID)
	for _, other := range g.others {
		other.load.Ended(g.request.ID)
		s.refresh(other, now)
	}
	s.setGang(g.gangKept, false)
	before := st.health.State()
	s.learn(g, outcome, now)
	if g.kept != nil {
		s.unkeep(g.kept, now)
	}
	s.changed(st, now, st.health.State() != before)
}

// probeMemory is how long a failed probe proves that a loss right after it was
// a crash.
const probeMemory = 2 * time.Second

// lost notes that g was lost on st.
func (s *Scheduler) lost(st *state, g *Grant, now time.Time) {
	s.poison.Lost(st.upstream.ID, st.boot, g.request.Fingerprint, g.alone, now)
	if now.Sub(st.probeFailedAt) < probeMemory {
		s.crashed(st, now)
	}
}

// learn feeds the outcome to health, retry budgets, prefixes and suspicions.
func (s *Scheduler) learn(g *Grant, outcome Outcome, now time.Time) {
	st, r := g.state, g.request
	if outcome == Lost && !g.sent.Load() {
		outcome = Unreached
	}
	switch outcome {
	case Completed:
		st.health.Success(now)
		s.retry.Success(r.Workspace, st.upstream.ID)
		if !g.firstAt.IsZero() {
			g.pool.speed.output(int(g.tokens.Load()), r.OutputTokens, now.Sub(g.firstAt))
		}
		for _, block := range r.Blocks {
			s.prefix.Add(block, st.upstream.ID)
		}
		if notice, suspected := s.poison.Completed(r.Fingerprint); suspected {
			s.tellPoison([]poison.Notice{notice})
		}
	case RefusedNotRun:
		st.pausedUntil = now.Add(refusalPause)
	case Lost:
		st.health.Failure(now)
		st.pausedUntil = now.Add(lossPause)
		s.lost(st, g, now)
		for _, other := range g.others {
			s.lost(other, g, now)
		}
	case Unreached:
		st.health.Failure(now)
		st.pausedUntil = now.Add(lossPause)
	case Stalled, Failed:
		st.health.Failure(now)
	case Cancelled:
	}
}
