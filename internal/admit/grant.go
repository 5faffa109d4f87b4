package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// Grant is the permission to run one attempt of a request on one upstream. Done
// must be called when the attempt has ended; calling the other methods is
// optional.
type Grant struct {
	scheduler *Scheduler
	pool      *pool
	state     *state
	upstream  Upstream
	request   *Request
	priority  int
	parts     []Part
	// others lists the gang's engines after the first.
	others []*state
	// alone reports whether the request is a suspect that runs without any other
	// request on its upstream, or on the engines of its gang.
	alone bool
	// exclusiveShares lists the engines that are kept free until a suspect
	// that runs on a gang has ended.
	exclusiveShares []gang.Share
	// trial lists the suspect prompt parts of which the request is a trial.
	trial []uint64
	// waiter is the suspect's waiter, for which the upstream is kept free; nil
	// for any other request and for gangs.
	waiter *waiter
	done   sync.Once
	// tokens counts the tokens of the answer that arrived.
	tokens atomic.Int64
	// sentAt is when the request may have begun to reach the upstream, in Unix nanoseconds; 0
	// before that.
	sentAt atomic.Int64

	// workAhead is the queued work that runs before the request, and work the
	// request's own, both in prompt tokens and as of grantedAt.
	workAhead, work float64
	grantedAt       time.Time

	// firstTokenAt is guarded by the scheduler's lock.
	firstTokenAt time.Time
	// lastTokenAt is when the last token arrived, in Unix nanoseconds.
	lastTokenAt atomic.Int64
}

// Upstream returns the upstream to send to.
func (g *Grant) Upstream() Upstream { return g.upstream }

// Priority returns the value of upstream.HeaderPriority; lower runs sooner.
func (g *Grant) Priority() int { return g.priority }

// Parts returns the reservations, already made, of a prompt that is larger than
// one engine; empty for any other request. The first is on Upstream.
func (g *Grant) Parts() []Part { return g.parts }

// Sent records that the first byte of the request is about to be written. A
// loss of the upstream before that is not blamed on the request.
func (g *Grant) Sent() { g.sentAt.Store(time.Now().UnixNano()) }

// FirstToken records that the first token of the answer arrived.
func (g *Grant) FirstToken() {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.firstTokenAt.IsZero() {
		return
	}
	now := time.Now()
	g.firstTokenAt = now
	g.lastTokenAt.Store(now.UnixNano())
	s.parts.Answered(g.request.Parts)
	g.state.load.FirstToken(g.request.ID, now)
	g.sampleLatency(now)
	s.onChange(g.state, now, false)
}

// latencyFloorSeconds is added to the measured and the expected latency, so that
// very short requests do not look slow.
const latencyFloorSeconds = 0.05

// sampleLatency compares the time to the first token with the time expected at
// the pool's mean speed.
func (g *Grant) sampleLatency(now time.Time) {
	if len(g.parts) > 0 {
		return
	}
	elapsed := now.Sub(g.grantedAt).Seconds()
	expected := latencyFloorSeconds
	if g.pool.speed.rate > 0 {
		expected += (g.workAhead + g.work) / g.pool.speed.rate
	}
	g.state.health.Latency((elapsed + latencyFloorSeconds) / expected)
	if g.work >= minSpeedSampleTokens && elapsed > 0 {
		g.pool.speed.addPrefill((g.workAhead + g.work) / elapsed)
	}
}

// minSpeedSampleTokens is the minimum prompt work that gives a sample of the
// pool's speed.
const minSpeedSampleTokens = 256

// Progress records the arrival of further tokens of the answer.
func (g *Grant) Progress(tokens int) {
	g.tokens.Add(int64(tokens))
	g.lastTokenAt.Store(time.Now().UnixNano())
	if len(g.trial) == 0 {
		return
	}
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.firstTokenAt.IsZero() && time.Since(g.firstTokenAt) > poison.TrialTime {
		s.clearParts(g)
	}
}

// Done ends the grant. Later calls have no effect.
func (g *Grant) Done(outcome Outcome) {
	g.done.Do(func() {
		s := g.scheduler
		s.finish(g, outcome, time.Now())
		if len(g.parts) > 0 {
			go panics.Run(log, func() { s.releaseParts(g) })
		}
	})
}

// finish removes the request from the upstream's load and applies its outcome.
func (s *Scheduler) finish(g *Grant, outcome Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := g.state
	st.load.Ended(g.request.ID)
	s.parts.EndTrial(g.trial)
	for _, other := range g.others {
		other.load.Ended(g.request.ID)
		s.refresh(other, now)
	}
	s.addGangPlan(g.exclusiveShares, -1)
	before := st.health.State()
	s.applyOutcome(g, outcome, now)
	silence := g.silence(now)
	switch {
	case (outcome == Cancelled || outcome == Stalled) && silence >= poison.MinSilence:
		for _, each := range append([]*state{st}, g.others...) {
			s.recordAbandoned(each, g, now)
		}
	case outcome == Cancelled && silence > 0 && g.firstTokenAt.IsZero():
		for _, each := range append([]*state{st}, g.others...) {
			s.poison.LeftEarly(each.upstream.ID, each.boot, g.request.Fingerprint, g.alone, now)
		}
	}
	if g.waiter != nil {
		s.releaseExclusive(g.waiter, now)
	}
	s.onChange(st, now, st.health.State() != before)
}

// probeFailureLifetime is how long after a failed probe the loss of a request
// counts as a crash of the upstream.
const probeFailureLifetime = 2 * time.Second

// recordLoss records that the attempt of g was lost on st.
func (s *Scheduler) recordLoss(st *state, g *Grant, now time.Time) {
	s.poison.Lost(st.upstream.ID, st.boot, g.request.Fingerprint, g.alone, now)
	s.recordLostParts(st, g, now)
	s.confirmLoss(st, now)
}

// recordAbandoned records an attempt that was given up while st had sent nothing for
// poison.MinSilence or longer.
func (s *Scheduler) recordAbandoned(st *state, g *Grant, now time.Time) {
	s.poison.Abandoned(st.upstream.ID, st.boot, g.request.Fingerprint, g.alone, now)
	if len(g.trial) > 0 {
		s.recordLostParts(st, g, now)
	} else {
		s.parts.Stalled(st.upstream.ID, st.boot, g.request.Parts, now)
	}
	s.confirmLoss(st, now)
}

// silence returns how long nothing of the answer has arrived; 0 if the request was not sent.
func (g *Grant) silence(now time.Time) time.Duration {
	last := max(g.sentAt.Load(), g.lastTokenAt.Load())
	if last == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, last))
}

// recordLostParts records the parts of the prompt of an attempt that was lost.
func (s *Scheduler) recordLostParts(st *state, g *Grant, now time.Time) {
	// An upstream that has fallen silent may have crashed long before its connection broke.
	if g.firstTokenAt.IsZero() || time.Unix(0, g.lastTokenAt.Load()).Sub(g.firstTokenAt) < poison.TrialTime {
		trial := poison.NoTrial
		if len(g.trial) > 0 {
			trial = poison.FullTrial
		}
		s.parts.Lost(st.upstream.ID, st.boot, g.request.Parts, trial, now)
	}
}

// confirmLoss counts a loss as a crash if a probe failed shortly before.
func (s *Scheduler) confirmLoss(st *state, now time.Time) {
	if now.Sub(st.probeFailedAt) < probeFailureLifetime {
		s.crashed(st, now)
	}
}

// applyOutcome updates health, retry budgets, the prefix index and the poison
// suspects with the outcome.
func (s *Scheduler) applyOutcome(g *Grant, outcome Outcome, now time.Time) {
	st, r := g.state, g.request
	if outcome == Lost && g.sentAt.Load() == 0 {
		outcome = Unreached
	}
	switch outcome {
	case Completed:
		st.health.Success(now)
		s.retry.Success(r.Workspace, st.upstream.ID)
		if !g.firstTokenAt.IsZero() {
			g.pool.speed.addOutput(int(g.tokens.Load()), r.OutputTokens, now.Sub(g.firstTokenAt))
		}
		for _, block := range r.Blocks {
			s.prefix.Add(block, st.upstream.ID)
		}
		s.clearParts(g)
		if notice, suspected := s.poison.Completed(r.Fingerprint); suspected {
			s.publishPoison([]poison.Notice{notice})
		}
	case RefusedNotRun:
		st.pausedUntil = now.Add(refusalPause)
	case Lost:
		st.health.Failure(now)
		st.pausedUntil = now.Add(lossPause)
		s.recordLoss(st, g, now)
		for _, other := range g.others {
			s.recordLoss(other, g, now)
		}
	case Unreached:
		st.health.Failure(now)
		st.pausedUntil = now.Add(lossPause)
	case Stalled, Failed:
		st.health.Failure(now)
	case Cancelled:
	}
}
