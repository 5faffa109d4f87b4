package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

const (
	// tickInterval is how often a queue that is not empty is looked through.
	tickInterval = 20 * time.Millisecond
	// lookahead is how many aged or suspect requests are tried if the first
	// has no upstream.
	lookahead = 8
	// choices is the number of random candidates of one decision; smaller
	// pools are looked through whole.
	choices = 16
	// suspectShare is the part of a pool that may be kept free at a time, at
	// least one upstream.
	suspectShare = 0.125
	// priorityOfClass is the distance in priority between two classes.
	priorityOfClass = 32
	// maxSizePriority is the added priority value of the longest prompts.
	maxSizePriority = 16
)

// pump sends waiting requests of all lanes to upstreams of view, which is the
// pool's or one upstream that may have become free.
func (s *Scheduler) pump(p *pool, view route.View, now time.Time) {
	if p.queue.count == 0 {
		return
	}
	for i := range p.queue.lanes {
		s.pumpLane(p, i, view, now)
	}
}

// pumpLane sends requests of one lane until its first ones have no upstream.
func (s *Scheduler) pumpLane(p *pool, laneIndex int, view route.View, now time.Time) {
	depth := 1
	if laneIndex < laneFirst {
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

// tooLate refuses w if it cannot finish in time even if it is sent now.
func (s *Scheduler) tooLate(p *pool, w *waiter, now time.Time) *result.Error {
	needs := p.speed.service(w.work, w.request.OutputTokens)
	if now.Add(needs).After(w.request.Deadline) {
		return s.unmeetable("the request takes about %s", needs)
	}
	return nil
}

// place returns an upstream for w, or nil if it must wait.
func (s *Scheduler) place(p *pool, w *waiter, view route.View, now time.Time) *state {
	if w.demand.Alone {
		return s.placeAlone(p, w, view, now)
	}
	if w.kept != nil {
		if fits(&w.kept.candidate, &w.demand) {
			return w.kept
		}
		return nil
	}
	c := route.Sample{Choices: choices}.Pick(view, &w.demand, route.Standard, route.LeastWork, s.random)
	if c != nil {
		return s.byID[c.ID]
	}
	if w.demand.Aged {
		s.keepFor(p, w, now)
	}
	return nil
}

// fits is the filter for an upstream that is kept free for the request.
func fits(c *route.Candidate, d *route.Demand) bool {
	return route.Usable(c, d) && route.Idle(c, d) && route.WithinWindow(c, d) && route.FitsMemory(c, d)
}

// placeAlone finds an idle upstream for a suspect. While it is not known
// whether the suspect's last loss was a crash, the suspect waits.
func (s *Scheduler) placeAlone(p *pool, w *waiter, view route.View, now time.Time) *state {
	verdict, left := s.poison.Verdict(w.request.Fingerprint, now)
	switch verdict {
	case poison.Pending:
		return nil
	case poison.Condemned:
		w.expireAt = now
		w.condemned = left
		return nil
	case poison.Clear:
		w.demand.Alone = false
		return s.place(p, w, view, now)
	}
	if w.kept == nil {
		s.keepFor(p, w, now)
	}
	if w.kept != nil && fits(&w.kept.candidate, &w.demand) {
		return w.kept
	}
	return nil
}

// keepFor stops new requests to one upstream until w can run there.
func (s *Scheduler) keepFor(p *pool, w *waiter, now time.Time) {
	if p.exclusive() >= max(1, int(suspectShare*float64(len(p.states)))) {
		return
	}
	roomy := func(c *route.Candidate, d *route.Demand) bool {
		need := d.PromptTokens + d.OutputTokens
		return route.Usable(c, d) && route.NotExclusive(c, d) && route.OpenToLong(c, d) && (d.Plain || c.MemoryTokens == 0 || need <= c.MemoryTokens)
	}
	c := route.Best{}.Pick(p.view, &w.demand, roomy, route.LeastRequests, s.random)
	if c == nil {
		return
	}
	w.kept = s.byID[c.ID]
	w.kept.owner = w
	s.refresh(w.kept, now)
}

// grant sends w to st.
func (s *Scheduler) grant(p *pool, w *waiter, st *state, now time.Time) {
	p.queue.served(w)
	p.queue.remove(w)
	p.drain.served(w.work)
	g := s.newGrant(p, w.request, st, &w.demand, now)
	g.alone = w.demand.Alone
	if w.kept != nil && !g.alone {
		s.unkeep(w, now)
	}
	if g.alone {
		g.kept = w
	}
	w.answer <- decision{grant: g}
}

// newGrant charges the request to st.
func (s *Scheduler) newGrant(p *pool, r *Request, st *state, d *route.Demand, now time.Time) *Grant {
	ahead := route.WorkAhead(&st.candidate, d)
	send := load.Send{
		ID:     r.ID,
		Work:   max(route.EstimatedWork(&st.candidate, d), 1),
		Memory: r.PromptTokens + r.OutputTokens,
		Size:   d.Size,
		SentAt: now,
	}
	if d.Plain {
		send.Work, send.Memory = 0, 0
	}
	st.load.Sent(send, ahead)
	s.refresh(st, now)
	return &Grant{
		scheduler: s, pool: p, state: st, upstream: st.upstream, request: r,
		ahead: ahead, work: send.Work, grantedAt: now,
		priority: priority(r, d, &p.speed, now),
	}
}

// priority returns the engine's priority: by class, then by size. A long
// request with little time left gets the priority of a short one.
func priority(r *Request, d *route.Demand, sp *speed, now time.Time) int {
	base := priorityOfClass * classRank(r.Class)
	if d.IsShort() {
		return base
	}
	left := r.Deadline.Sub(now)
	if d.Aged || 3*sp.service(float64(r.PromptTokens), r.OutputTokens) > left {
		return base + 1
	}
	size := 1
	for tokens := r.PromptTokens; tokens > defaultShortTokens && size < maxSizePriority; tokens /= 2 {
		size++
	}
	return base + size
}

// startTicking looks through the queue at intervals while it is not empty.
func (s *Scheduler) startTicking(p *pool) {
	if p.ticking {
		return
	}
	p.ticking = true
	time.AfterFunc(tickInterval, func() { s.tick(p) })
}

// tick refuses requests that waited for too long, ages others, and serves the
// queue.
func (s *Scheduler) tick(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.ticking = false
	p.drain.tick(now)
	s.judgePool(p, now, false)
	s.expire(p, now)
	s.pump(p, p.view, now)
	if p.queue.count > 0 {
		s.startTicking(p)
	}
}

// expire applies the waiters' times.
func (s *Scheduler) expire(p *pool, now time.Time) {
	var late, aged []*waiter
	for i := range p.queue.lanes {
		for _, w := range p.queue.lanes[i] {
			switch {
			case !now.Before(w.expireAt):
				late = append(late, w)
			case w.lane >= laneFirst && !now.Before(w.ageAt):
				aged = append(aged, w)
			}
		}
	}
	for _, w := range late {
		s.refuse(p, w, s.lateRefusal(p, w))
	}
	for _, w := range aged {
		p.queue.promote(w)
	}
}

// lateRefusal says why w is refused at the end of its wait.
func (s *Scheduler) lateRefusal(p *pool, w *waiter) *result.Error {
	if w.condemned > 0 {
		return condemned(w.condemned)
	}
	if len(p.states) == 0 {
		return s.noUpstream(w.request)
	}
	waited := time.Since(w.queuedAt).Round(time.Millisecond)
	return result.New(result.QueueTimeout, "the request waited for %s", waited).After(s.retryAfter(p.drain.wait(p.queue.work, p.capacity)))
}
