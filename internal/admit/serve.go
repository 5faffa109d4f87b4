package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

const (
	// tickInterval is how often a queue that is not empty is served.
	tickInterval = 20 * time.Millisecond
	// lookahead is how many aged or suspect requests are considered while
	// those at the head of the lane find no upstream.
	lookahead = 8
	// sampleSize is the number of random candidates of one decision; smaller
	// pools are scanned completely.
	sampleSize = 16
	// maxExclusiveShare is the fraction of a pool's upstreams that may be kept
	// free at a time, but at least one upstream.
	maxExclusiveShare = 0.125
	// classPriorityStep is the distance in priority between two classes.
	classPriorityStep = 32
	// maxSizePriority is the added priority value of the longest prompts.
	maxSizePriority = 16
)

// serveQueue grants upstreams of view to waiting requests of all lanes. The view
// is the pool's, or holds one upstream that may have become free.
func (s *Scheduler) serveQueue(p *pool, view route.View, now time.Time) {
	if p.queue.count == 0 {
		return
	}
	for i := range p.queue.lanes {
		s.serveLane(p, i, view, now)
	}
}

// serveLane grants upstreams to requests of one lane until those at its head
// find none.
func (s *Scheduler) serveLane(p *pool, laneIndex int, view route.View, now time.Time) {
	depth := 1
	if laneIndex < laneNormal {
		depth = lookahead
	}
	for i := 0; i < min(len(p.queue.lanes[laneIndex]), depth); {
		w := p.queue.lanes[laneIndex][i]
		if refusal := s.tooLate(p, w, now); refusal != nil {
			s.refuse(p, w, refusal)
			continue
		}
		st := s.place(p, w, view, now)
		if st == nil {
			i++
			continue
		}
		s.grant(p, w, st, now)
		i = 0
	}
}

// tooLate refuses w if it cannot finish before its deadline even if it is sent
// now.
func (s *Scheduler) tooLate(p *pool, w *waiter, now time.Time) *result.Error {
	needs := p.speed.serviceTime(w.work, w.request.OutputTokens)
	if now.Add(needs).After(w.request.Deadline) {
		return s.unmeetable("the request takes about %s", needs)
	}
	return nil
}

// place returns an upstream for w, or nil if it must wait.
func (s *Scheduler) place(p *pool, w *waiter, view route.View, now time.Time) *state {
	if !w.demand.Alone && len(w.request.Parts) > 0 {
		// A part can become a suspect while requests with it wait.
		verdict, _ := s.verdict(w.request, now)
		w.demand.Alone = verdict >= poison.Suspect
	}
	if w.demand.Alone {
		return s.placeAlone(p, w, view, now)
	}
	if w.exclusive != nil {
		if fits(&w.exclusive.candidate, &w.demand) {
			return w.exclusive
		}
		return nil
	}
	c := route.Sample{Choices: sampleSize}.Pick(view, &w.demand, route.DefaultFilter, route.LeastWork, s.random)
	if c != nil {
		return s.byID[c.ID]
	}
	if w.demand.Aged {
		s.keepExclusive(p, w, now)
	}
	return nil
}

// fits is the filter for an upstream that is kept free for the request; unlike
// route.DefaultFilter it ignores Exclusive and ShortOnly.
func fits(c *route.Candidate, d *route.Demand) bool {
	return route.Usable(c, d) && route.Idle(c, d) && route.WithinQueueLimit(c, d) && route.FitsMemory(c, d)
}

// placeAlone returns an idle upstream for a suspect, or nil if it must wait. A
// suspect waits while it is not known whether its last loss was a crash.
func (s *Scheduler) placeAlone(p *pool, w *waiter, view route.View, now time.Time) *state {
	verdict, left := s.verdict(w.request, now)
	switch verdict {
	case poison.Pending:
		return nil
	case poison.Quarantined:
		w.expireAt = now
		w.quarantineLeft = left
		return nil
	case poison.Clear:
		w.demand.Alone = false
		return s.place(p, w, view, now)
	}
	if w.exclusive == nil {
		s.keepExclusive(p, w, now)
	}
	if w.exclusive != nil && fits(&w.exclusive.candidate, &w.demand) {
		return w.exclusive
	}
	return nil
}

// keepExclusive keeps one upstream free of new requests until w can run there.
func (s *Scheduler) keepExclusive(p *pool, w *waiter, now time.Time) {
	if p.exclusiveCount() >= max(1, int(maxExclusiveShare*float64(len(p.states)))) {
		return
	}
	canHold := func(c *route.Candidate, d *route.Demand) bool {
		need := d.PromptTokens + d.OutputTokens
		return route.Usable(c, d) && route.NotExclusive(c, d) && route.OpenToLong(c, d) && (d.Plain || c.MemoryTokens == 0 || need <= c.MemoryTokens)
	}
	c := route.Best{}.Pick(p.view, &w.demand, canHold, route.LeastRequests, s.random)
	if c == nil {
		return
	}
	w.exclusive = s.byID[c.ID]
	w.exclusive.exclusiveFor = w
	s.refresh(w.exclusive, now)
}

// grant removes w from the queue and answers it with a grant on st.
func (s *Scheduler) grant(p *pool, w *waiter, st *state, now time.Time) {
	p.queue.advance(w)
	p.queue.remove(w)
	p.throughput.served(w.work)
	g := s.newGrant(p, w.request, st, &w.demand, now)
	g.alone = w.demand.Alone
	if w.exclusive != nil && !g.alone {
		s.releaseExclusive(w, now)
	}
	if g.alone {
		g.waiter = w
	}
	w.answer <- decision{grant: g}
}

// newGrant counts the request as load of st and returns a grant on it.
func (s *Scheduler) newGrant(p *pool, r *Request, st *state, d *route.Demand, now time.Time) *Grant {
	ahead := route.WorkAhead(&st.candidate, d)
	send := load.Send{
		ID:           r.ID,
		Work:         max(route.EstimatedWork(&st.candidate, d), 1),
		MemoryTokens: r.PromptTokens + r.OutputTokens,
		Size:         d.Size,
		SentAt:       now,
	}
	if d.Plain {
		send.Work, send.MemoryTokens = 0, 0
	}
	st.load.Sent(send, ahead)
	s.refresh(st, now)
	g := &Grant{
		scheduler: s, pool: p, state: st, upstream: st.upstream, request: r,
		workAhead: ahead, work: send.Work, grantedAt: now,
		priority: priority(r, d, &p.speed, now),
	}
	s.beginTrial(g, now)
	return g
}

// priority returns the request's priority on the engine, by class and then by
// size; lower runs sooner. A long request that is aged or has little time left gets
// nearly the priority of a short one.
func priority(r *Request, d *route.Demand, sp *speed, now time.Time) int {
	base := classPriorityStep * classRank(r.Class)
	if d.IsShort() {
		return base
	}
	left := r.Deadline.Sub(now)
	if d.Aged || 3*sp.serviceTime(float64(r.PromptTokens), r.OutputTokens) > left {
		return base + 1
	}
	size := 1
	for tokens := r.PromptTokens; tokens > defaultShortTokens && size < maxSizePriority; tokens /= 2 {
		size++
	}
	return base + size
}

// scheduleTick schedules a call of tick unless one is scheduled already.
func (s *Scheduler) scheduleTick(p *pool) {
	if p.tickScheduled {
		return
	}
	p.tickScheduled = true
	panics.AfterFunc(log, tickInterval, func() { s.tick(p) })
}

// tick refuses requests that waited for too long, promotes aged ones, and serves
// the queue. It repeats every tickInterval until the queue is empty.
func (s *Scheduler) tick(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.tickScheduled = false
	p.throughput.tick(now)
	s.evaluatePool(p, now, false)
	s.expire(p, now)
	s.serveQueue(p, p.view, now)
	if p.queue.count > 0 {
		s.scheduleTick(p)
	}
}

// expire refuses the waiters whose wait has expired and promotes the aged ones.
func (s *Scheduler) expire(p *pool, now time.Time) {
	var expired, aged []*waiter
	for i := range p.queue.lanes {
		for _, w := range p.queue.lanes[i] {
			switch {
			case !now.Before(w.expireAt):
				expired = append(expired, w)
			case w.lane >= laneNormal && !now.Before(w.ageAt):
				aged = append(aged, w)
			}
		}
	}
	for _, w := range expired {
		s.refuse(p, w, s.expiryRefusal(p, w))
	}
	for _, w := range aged {
		p.queue.promote(w)
	}
}

// expiryRefusal returns the refusal of a waiter whose wait has expired.
func (s *Scheduler) expiryRefusal(p *pool, w *waiter) *result.Error {
	if w.quarantineLeft > 0 {
		return quarantineRefusal(w.quarantineLeft)
	}
	if len(p.states) == 0 {
		return s.noUpstream(w.request)
	}
	waited := time.Since(w.queuedAt).Round(time.Millisecond)
	return result.New(result.QueueTimeout, "the request waited for %s", waited).WithRetryAfter(s.retryAfter(p.throughput.wait(p.queue.work, p.capacity)))
}
