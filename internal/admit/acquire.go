package admit

import (
	"context"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

// Limits of the time in the queue and of the memory for long requests.
const (
	// waitShare is the fraction of the time to its deadline that a normal
	// request may spend in the queue; longWaitShare applies to long, batch and
	// suspect requests.
	waitShare     = 0.25
	longWaitShare = 0.75
	// ageShare is the fraction of the maximum wait after which a request
	// counts as aged and is promoted to laneAged.
	ageShare = 0.5
	// minShortReserve is the fraction of an engine's memory that long requests
	// leave free for short ones; PolicySpec.ShortWeight adds up to
	// weightedShortReserve.
	minShortReserve      = 0.05
	weightedShortReserve = 0.2
)

// maxQueuedSeconds bounds, by the size of a new request, the queued work of the
// same and smaller sizes that an upstream may have, in seconds.
var maxQueuedSeconds = [route.Sizes]float64{
	route.SizeShort:  1.0,
	route.SizeMedium: 1.0,
	route.SizeLong:   1.0,
	route.SizeHuge:   8.0,
}

// sizeOf returns the size of r's prompt.
func (s *Scheduler) sizeOf(r *Request) route.Size {
	if r.Service {
		return route.SizeShort
	}
	return route.SizeOf(r.PromptTokens, s.shortTokens())
}

// Acquire waits for an upstream for r and returns a grant, whose Done must be
// called. It refuses immediately a request that cannot finish before its
// deadline or that no engines can hold. A request that Acquire refuses has not
// run.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, *result.Error) {
	q := s.queueUp(r, time.Now())
	switch {
	case q.gang:
		return s.acquireGang(ctx, q.pool, r)
	case q.waiter != nil:
		return s.awaitDecision(ctx, q.pool, q.waiter)
	}
	return q.grant, q.refusal
}

// queued is what becomes of a request at once: a grant, a refusal, a waiter in the queue of
// pool, or the need for several engines of pool.
type queued struct {
	grant   *Grant
	refusal *result.Error
	pool    *pool
	waiter  *waiter
	gang    bool
}

// queueUp grants, refuses or queues a request.
func (s *Scheduler) queueUp(r *Request, now time.Time) queued {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[poolKey{r.Target, r.Service}]
	if p == nil || len(p.states) == 0 {
		return queued{refusal: s.noUpstream(r)}
	}
	if grant, refusal, done := s.grantBaseline(p, r, now); done {
		return queued{grant: grant, refusal: refusal}
	}
	if refusal := s.checkFeasible(p, r, now); refusal != nil {
		return queued{refusal: refusal}
	}
	if s.needsGang(p, r) {
		return queued{pool: p, gang: true}
	}
	w := s.newWaiter(p, r, now)
	if refusal := s.enqueue(p, w, now); refusal != nil {
		return queued{refusal: refusal}
	}
	if w.index == 0 || w.lane < laneNormal {
		s.serveLane(p, w.lane, p.view, now)
	}
	return queued{pool: p, waiter: w}
}

// awaitDecision waits until w is granted or refused, or the caller leaves.
func (s *Scheduler) awaitDecision(ctx context.Context, p *pool, w *waiter) (*Grant, *result.Error) {
	select {
	case d := <-w.answer:
		return d.grant, d.refusal
	case <-ctx.Done():
	}
	s.withdraw(p, w)
	select {
	case d := <-w.answer:
		if d.grant != nil {
			d.grant.Done(Cancelled)
		}
	default:
	}
	return nil, result.Wrap(context.Cause(ctx), result.CallerGone, "the caller left while the request waited").WithExecution(result.NotRun)
}

// withdraw removes a waiter from the queue.
func (s *Scheduler) withdraw(p *pool, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		s.dequeue(p, w)
		s.serveQueue(p, p.view, time.Now())
	}
}

// noUpstream refuses a request that no upstream can take.
func (s *Scheduler) noUpstream(r *Request) *result.Error {
	return result.New(result.NoUpstream, "no upstream of %q can take a request", r.Target).WithRetryAfter(s.retryAfter(time.Second))
}

// checkFeasible refuses a request that would fail however long it waited. A
// request that was tried on all upstreams may be tried on one of them once more.
func (s *Scheduler) checkFeasible(p *pool, r *Request, now time.Time) *result.Error {
	if verdict, left := s.verdict(r, now); verdict == poison.Quarantined {
		return quarantineRefusal(left)
	}
	s.evaluatePool(p, now, false)
	available, untried := p.inService(r.Avoid)
	if !available || !untried && len(r.Avoid) > len(p.states) {
		return s.noUpstream(r)
	}
	needs := p.speed.serviceTime(0, r.OutputTokens)
	if !now.Add(needs).Before(r.Deadline) {
		return s.unmeetable("the answer takes about %s", needs)
	}
	return nil
}

// quarantineRefusal refuses a quarantined request, one whose fingerprint or prompt parts
// crashed upstreams repeatedly.
func quarantineRefusal(left time.Duration) *result.Error {
	return result.New(result.PoisonSuspect, "the request was in flight in repeated upstream crashes").WithRetryAfter(left)
}

// unmeetable refuses a request that cannot finish before its deadline.
func (s *Scheduler) unmeetable(format string, needs time.Duration) *result.Error {
	return result.New(result.DeadlineUnmeetable, format, needs.Round(time.Millisecond)).WithRetryAfter(s.retryAfter(needs))
}

// inService reports whether any upstream is in service, and whether one of
// those in service is not in avoid.
func (p *pool) inService(avoid []string) (available, untried bool) {
	for _, st := range p.states {
		if st.listedLeaving || st.reportedLeaving || !st.usable() && !p.panicking {
			continue
		}
		available = true
		if !slices.Contains(avoid, st.upstream.ID) {
			return true, true
		}
	}
	return available, false
}

// newWaiter returns a waiter for r with its demand, lane and time limits.
func (s *Scheduler) newWaiter(p *pool, r *Request, now time.Time) *waiter {
	w := &waiter{request: r, index: -1, queuedAt: now, answer: make(chan decision, 1)}
	w.demand = route.Demand{
		PromptTokens:     r.PromptTokens,
		OutputTokens:     r.OutputTokens,
		Size:             s.sizeOf(r),
		Plain:            r.Service,
		DataCentre:       r.DataCentre,
		Avoid:            r.Avoid,
		MaxQueuedSeconds: maxQueuedSeconds[s.sizeOf(r)],
		ShortReserve:     minShortReserve + weightedShortReserve*s.policy.ShortWeight,
	}
	if _, untried := p.inService(r.Avoid); !untried {
		w.demand.Avoid = nil
	}
	w.lane = laneNormal + route.Sizes*classRank(r.Class) + int(w.demand.Size)
	if verdict, _ := s.verdict(r, now); verdict >= poison.Suspect {
		w.lane = laneSuspect
		w.demand.Alone = true
	}
	s.findHolders(w)
	w.work = float64(max(r.PromptTokens, 1))
	if len(w.demand.Holders) > 0 {
		w.work = max(w.work-float64(w.demand.Holders[0].Tokens), 1)
	}
	w.setWaitLimits(now)
	return w
}

// findHolders looks up the upstreams that probably cache a prefix of the prompt.
func (s *Scheduler) findHolders(w *waiter) {
	var found [load.MaxHolders]load.PrefixHolder
	n := s.prefix.Lookup(w.request.Blocks, &found)
	count := 0
	for _, h := range found[:n] {
		if st := s.byID[h.ID]; st != nil {
			w.holders[count] = route.Holder{Candidate: &st.candidate, Tokens: h.Tokens}
			count++
		}
	}
	w.demand.Holders = w.holders[:count]
}

// setWaitLimits sets the times at which w is promoted and refused.
func (w *waiter) setWaitLimits(now time.Time) {
	share := waitShare
	if !w.demand.IsShort() || w.demand.Alone || classRank(w.request.Class) == classCount-1 {
		share = longWaitShare
	}
	wait := time.Duration(share * float64(w.request.Deadline.Sub(now)))
	w.expireAt = now.Add(wait)
	w.ageAt = now.Add(time.Duration(ageShare * float64(wait)))
}

// enqueue adds w to the queue. It refuses w immediately if the expected wait is
// too long or the queue is full.
func (s *Scheduler) enqueue(p *pool, w *waiter, now time.Time) *result.Error {
	p.short.addArrival(w.work, w.demand.IsShort(), now)
	wait := time.Duration(0)
	if p.queue.count > 0 && w.lane >= laneNormal {
		wait = p.throughput.wait(p.queue.workAhead(w.request, w.lane, w.work), s.capacity(p, now))
	}
	if now.Add(wait).After(w.expireAt) {
		return s.unmeetable("the queue alone takes about %s", wait)
	}
	needs := wait + p.speed.serviceTime(w.work, w.request.OutputTokens)
	if now.Add(needs).After(w.request.Deadline) {
		return s.unmeetable("the request takes about %s", needs)
	}
	if p.queue.count >= s.options.MaxQueued || p.queue.work+w.work > s.options.MaxQueuedWork {
		if refusal := s.shedQueued(p, w); refusal != nil {
			return refusal
		}
	}
	if p.queue.count == 0 {
		p.throughput.begin(now)
	}
	p.queue.push(w)
	s.scheduleTick(p)
	return nil
}

// capacity returns this instance's share of the pool's prefill speed, in tokens
// per second: an equal part among itself and the instances that sent a hint
// within peerLifetime.
func (s *Scheduler) capacity(p *pool, now time.Time) float64 {
	instances := 1
	for _, peer := range s.peers {
		if now.Sub(peer.seenAt) < peerLifetime {
			instances++
		}
	}
	return p.capacity / float64(instances)
}

// shedQueued makes room for w in a full queue: it refuses the last request of
// the workspace that uses the most of the queue relative to its weight. If that is
// w's own workspace, or that request is too small to make room, it returns the
// refusal of w instead.
func (s *Scheduler) shedQueued(p *pool, w *waiter) *result.Error {
	full := result.New(result.Overloaded, "the queue is full").WithRetryAfter(s.retryAfter(p.throughput.wait(p.queue.work, p.capacity)))
	victim := p.queue.heaviest(w.request, w.work)
	if victim == nil || victim.work < w.work && p.queue.count < s.options.MaxQueued {
		return full
	}
	s.refuse(p, victim, full)
	return nil
}

// refuse removes w from the queue and answers it with a refusal.
func (s *Scheduler) refuse(p *pool, w *waiter, refusal *result.Error) {
	s.dequeue(p, w)
	w.answer <- decision{refusal: refusal}
}

// dequeue removes w from the queue and releases the upstream kept free for it.
func (s *Scheduler) dequeue(p *pool, w *waiter) {
	p.queue.remove(w)
	s.releaseExclusive(w, time.Now())
}

// releaseExclusive reopens the upstream that is kept free for w to other
// requests.
func (s *Scheduler) releaseExclusive(w *waiter, now time.Time) {
	if w.exclusive == nil {
		return
	}
	st := w.exclusive
	w.exclusive = nil
	st.exclusiveFor = nil
	s.refresh(st, now)
}
