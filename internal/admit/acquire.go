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

// Times and shares of the queue.
const (
	// waitShare is the part of a normal request's time that it may wait;
	// longWaitShare is that of a long, batch or suspect one.
	waitShare     = 0.25
	longWaitShare = 0.75
	// ageShare is the part of the wait after which a request is aged.
	ageShare = 0.5
	// minShortReserve is the part of an engine's memory that long requests
	// leave free; ShortWeight adds up to moreShortReserve.
	minShortReserve  = 0.05
	moreShortReserve = 0.2
)

// windows are the most queued work of the same or a smaller size, in seconds,
// that an upstream may have to get another request of a size.
var windows = [route.Sizes]float64{
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
// called. It refuses at once what cannot finish in time or never fits. No
// refusal of Acquire has run.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, *result.Error) {
	s.mu.Lock()
	now := time.Now()
	p := s.pools[poolKey{r.Target, r.Service}]
	if p == nil || len(p.states) == 0 {
		defer s.mu.Unlock()
		return nil, s.noUpstream(r)
	}
	if grant, refusal, done := s.baseline(p, r, now); done {
		s.mu.Unlock()
		return grant, refusal
	}
	if refusal := s.refuseNow(p, r, now); refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	if s.needsGang(p, r) {
		s.mu.Unlock()
		return s.acquireGang(ctx, p, r)
	}
	w := s.newWaiter(p, r, now)
	if refusal := s.enqueue(p, w, now); refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	if w.index == 0 || w.lane < laneFirst {
		s.pumpLane(p, w.lane, p.view, now)
	}
	s.mu.Unlock()
	return s.awaitDecision(ctx, p, w)
}

// awaitDecision waits for the decision on w.
func (s *Scheduler) awaitDecision(ctx context.Context, p *pool, w *waiter) (*Grant, *result.Error) {
	select {
	case d := <-w.answer:
		return d.grant, d.refusal
	case <-ctx.Done():
	}
	s.mu.Lock()
	if w.index >= 0 {
		s.drop(p, w)
		s.pump(p, p.view, time.Now())
	}
	s.mu.Unlock()
	select {
	case d := <-w.answer:
		if d.grant != nil {
			d.grant.Done(Cancelled)
		}
	default:
	}
	return nil, result.Wrap(context.Cause(ctx), result.CallerGone, "the caller left while the request waited").WithExecution(result.NotRun)
}

// noUpstream refuses a request that no upstream can take.
func (s *Scheduler) noUpstream(r *Request) *result.Error {
	return result.New(result.NoUpstream, "no upstream of %q can take a request", r.Target).After(s.retryAfter(time.Second))
}

// refuseNow checks what no wait can mend. A request that has tried all
// upstreams may try one of them once more.
func (s *Scheduler) refuseNow(p *pool, r *Request, now time.Time) *result.Error {
	if verdict, left := s.poison.Verdict(r.Fingerprint, now); verdict == poison.Condemned {
		return condemned(left)
	}
	s.judgePool(p, now, false)
	some, untried := p.inService(r.Avoid)
	if !some || !untried && len(r.Avoid) > len(p.states) {
		return s.noUpstream(r)
	}
	needs := p.speed.service(0, r.OutputTokens)
	if !now.Add(needs).Before(r.Deadline) {
		return s.unmeetable("the answer takes about %s", needs)
	}
	return nil
}

// condemned refuses a request as poison.
func condemned(left time.Duration) *result.Error {
	return result.New(result.PoisonSuspect, "the request was in flight in repeated upstream crashes").After(left)
}

// unmeetable refuses a request that cannot finish in time.
func (s *Scheduler) unmeetable(format string, needs time.Duration) *result.Error {
	return result.New(result.DeadlineUnmeetable, format, needs.Round(time.Millisecond)).After(s.retryAfter(needs))
}

// inService states whether any upstream could take a request, and untried
// whether one of them was not tried yet.
func (p *pool) inService(avoid []string) (some, untried bool) {
	for _, st := range p.states {
		if st.listedLeaving || st.reportedLeaving || !st.usable() && !p.panicking {
			continue
		}
		some = true
		if !slices.Contains(avoid, st.upstream.ID) {
			return true, true
		}
	}
	return some, false
}

// newWaiter fills in the demand of r.
func (s *Scheduler) newWaiter(p *pool, r *Request, now time.Time) *waiter {
	w := &waiter{request: r, index: -1, queuedAt: now, answer: make(chan decision, 1)}
	w.demand = route.Demand{
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		Size:         s.sizeOf(r),
		Plain:        r.Service,
		DataCentre:   r.DataCentre,
		Avoid:        r.Avoid,
		Window:       windows[s.sizeOf(r)],
		ShortReserve: minShortReserve + moreShortReserve*s.policy.ShortWeight,
	}
	if _, untried := p.inService(r.Avoid); !untried {
		w.demand.Avoid = nil
	}
	w.lane = laneFirst + route.Sizes*classRank(r.Class) + int(w.demand.Size)
	if verdict, _ := s.poison.Verdict(r.Fingerprint, now); verdict >= poison.Suspect {
		w.lane = laneSuspect
		w.demand.Alone = true
	}
	s.findHolders(w)
	w.work = float64(max(r.PromptTokens, 1))
	if len(w.demand.Holders) > 0 {
		w.work = max(w.work-float64(w.demand.Holders[0].Tokens), 1)
	}
	w.setTimes(now)
	return w
}

// findHolders looks up who probably caches a prefix of the prompt.
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

// setTimes sets when w ages and when it is refused.
func (w *waiter) setTimes(now time.Time) {
	share := waitShare
	if !w.demand.IsShort() || w.demand.Alone || classRank(w.request.Class) == classCount-1 {
		share = longWaitShare
	}
	wait := time.Duration(share * float64(w.request.Deadline.Sub(now)))
	w.expireAt = now.Add(wait)
	w.ageAt = now.Add(time.Duration(ageShare * float64(wait)))
}

// enqueue adds w to the queue, or refuses it at once if it would wait for too
// long or the queue is full.
func (s *Scheduler) enqueue(p *pool, w *waiter, now time.Time) *result.Error {
	p.short.arrived(w.work, w.demand.IsShort(), now)
	wait := time.Duration(0)
	if p.queue.count > 0 && w.lane >= laneFirst {
		wait = p.drain.wait(p.queue.workAhead(w.request, w.lane, w.work), s.capacity(p, now))
	}
	if now.Add(wait).After(w.expireAt) {
		return s.unmeetable("the queue alone takes about %s", wait)
	}
	needs := wait + p.speed.service(w.work, w.request.OutputTokens)
	if now.Add(needs).After(w.request.Deadline) {
		return s.unmeetable("the request takes about %s", needs)
	}
	if p.queue.count >= s.options.MaxQueued || p.queue.work+w.work > s.options.MaxQueuedWork {
		if refusal := s.makeRoom(p, w); refusal != nil {
			return refusal
		}
	}
	if p.queue.count == 0 {
		p.drain.begin(now)
	}
	p.queue.push(w)
	s.startTicking(p)
	return nil
}

// capacity returns this instance's part of the pool's speed, in tokens per
// second, with the instances that sent a hint of late.
func (s *Scheduler) capacity(p *pool, now time.Time) float64 {
	instances := 1
	for _, peer := range s.peers {
		if now.Sub(peer.seenAt) < peerLifetime {
			instances++
		}
	}
	return p.capacity / float64(instances)
}

// makeRoom refuses the last request of the workspace that uses the most of the
// queue, which may be w itself.
func (s *Scheduler) makeRoom(p *pool, w *waiter) *result.Error {
	full := result.New(result.Overloaded, "the queue is full").After(s.retryAfter(p.drain.wait(p.queue.work, p.capacity)))
	victim := p.queue.heaviest(w.request, w.work)
	if victim == nil || victim.work < w.work && p.queue.count < s.options.MaxQueued {
		return full
	}
	s.refuse(p, victim, full)
	return nil
}

// refuse ends the wait of w with a refusal.
func (s *Scheduler) refuse(p *pool, w *waiter, refusal *result.Error) {
	s.drop(p, w)
	w.answer <- decision{refusal: refusal}
}

// drop takes w out of the queue and gives up the upstream kept for it.
func (s *Scheduler) drop(p *pool, w *waiter) {
	p.queue.remove(w)
	s.unkeep(w, time.Now())
}

// unkeep gives up the upstream that is kept free for w.
func (s *Scheduler) unkeep(w *waiter, now time.Time) {
	if w.kept == nil {
		return
	}
	st := w.kept
	w.kept = nil
	st.owner = nil
	s.refresh(st, now)
}
