package admit

import (
	"context"
	"errors"
	"time"

	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

// maxGangPlans bounds the plans tried for one request when engines fail during
// the reservation.
const maxGangPlans = 3

const (
	// maxGangMemoryShare is the fraction of a pool's memory that reservations
	// may take; a further prompt that needs several engines waits.
	maxGangMemoryShare = 0.5
	// gangPollInterval is how often a waiting request checks its condition.
	gangPollInterval = 100 * time.Millisecond
)

// reservationGrace is how long reservations outlive the request's deadline.
const reservationGrace = 5 * time.Second

// needsGang reports whether r needs the memory of more than one engine.
func (s *Scheduler) needsGang(p *pool, r *Request) bool {
	return !r.Service && p.maxEngineTokens > 0 && r.PromptTokens+r.OutputTokens > p.maxEngineTokens
}

// acquireGang reserves memory on several engines for r. In each pool of an
// instance only one such request makes reservations at a time.
func (s *Scheduler) acquireGang(ctx context.Context, p *pool, r *Request) (*Grant, *result.Error) {
	if refusal := s.checkGangFits(p, r); refusal != nil {
		return nil, refusal
	}
	wait := time.Duration(longWaitShare * float64(time.Until(r.Deadline)))
	ctx, cancel := context.WithTimeoutCause(ctx, wait, errGangWait)
	defer cancel()
	select {
	case p.gangSlot <- struct{}{}:
		defer func() { <-p.gangSlot }()
	case <-ctx.Done():
		return nil, s.gangRefusal(ctx, context.Cause(ctx))
	}
	if err := s.pollUntil(ctx, func() bool { return s.gangMayReserve(p, r) }); err != nil {
		return nil, s.gangRefusal(ctx, err)
	}
	var verdict poison.Verdict
	var left time.Duration
	s.locked(func() { verdict, left = s.verdict(r, time.Now()) })
	if verdict == poison.Quarantined {
		return nil, quarantineRefusal(left)
	}
	return s.reserveGang(ctx, p, r, verdict == poison.Suspect)
}

// pollUntil calls ready every gangPollInterval, with the scheduler's lock held,
// until it returns true or ctx ends.
func (s *Scheduler) pollUntil(ctx context.Context, ready func() bool) error {
	for {
		var done bool
		s.locked(func() { done = ready() })
		if done {
			return nil
		}
		select {
		case <-time.After(gangPollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// locked calls f with the scheduler's lock held.
func (s *Scheduler) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// gangMayReserve reports whether the reservations of all instances, with r's,
// leave enough of the pool's memory for other requests, and whether r's last
// loss is resolved, that is, known to be a crash or not. It counts the
// reservations that engines report and the total memory of engines that are kept
// free now. A pool without reservations always has room.
func (s *Scheduler) gangMayReserve(p *pool, r *Request) bool {
	if verdict, _ := s.verdict(r, time.Now()); verdict == poison.Pending {
		return false
	}
	tokens := r.PromptTokens + r.OutputTokens
	reserved, total := 0, 0
	for _, st := range p.states {
		total += st.candidate.MemoryTokens
		held := st.load.ReservedTokens()
		if st.candidate.Exclusive {
			held = st.candidate.MemoryTokens
		}
		reserved += held
	}
	return reserved == 0 || float64(reserved+tokens) <= maxGangMemoryShare*float64(total)
}

// reserveGang reserves engines for r and makes another plan when one of them
// fails. A suspect waits until nothing else runs on its engines, and keeps them
// free until it has ended.
func (s *Scheduler) reserveGang(ctx context.Context, p *pool, r *Request, suspect bool) (*Grant, *result.Error) {
	avoid := append([]string(nil), r.Avoid...)
	var err error
	for range maxGangPlans {
		var shares []gang.Share
		if shares, err = s.planGang(p, r, avoid); err != nil {
			break
		}
		var held []gang.Reservation
		held, err = s.acquirer.Acquire(ctx, r.ID, shares, r.Deadline.Add(reservationGrace))
		if err == nil && suspect {
			err = s.awaitIdle(ctx, shares, held)
		}
		if err == nil && suspect {
			g := s.grantGang(p, r, held)
			g.alone, g.exclusiveShares = true, shares
			return g, nil
		}
		s.reopenGang(shares)
		if err == nil {
			return s.grantGang(p, r, held), nil
		}
		if ctx.Err() != nil {
			break
		}
		var failed *gang.EngineError
		if errors.As(err, &failed) {
			avoid = append(avoid, failed.UpstreamID)
		}
	}
	return nil, s.gangRefusal(ctx, err)
}

// awaitIdle waits until no stream runs on the engines of shares. If ctx ends
// first, it releases the reservations held.
func (s *Scheduler) awaitIdle(ctx context.Context, shares []gang.Share, held []gang.Reservation) error {
	err := s.pollUntil(ctx, func() bool {
		for _, share := range shares {
			if st := s.byID[share.UpstreamID]; st != nil && st.candidate.Streams > 0 {
				return false
			}
		}
		return true
	})
	if err != nil {
		s.acquirer.Release(ctx, held)
	}
	return err
}

// errGangWait is returned if the wait for memory on several engines took too
// long.
var errGangWait = errors.New("waiting for memory on several engines timed out")

// checkGangFits refuses immediately a prompt that the engines together cannot
// hold.
func (s *Scheduler) checkGangFits(p *pool, r *Request) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acquirer == nil {
		return result.New(result.NeverFits, "the prompt is larger than one engine's memory of %d tokens", p.maxEngineTokens)
	}
	_, err := gang.Plan(p.gangEngines(r.Avoid), r.PromptTokens+r.OutputTokens)
	return s.gangPlanRefusal(err, r)
}

// gangPlanRefusal converts an error of gang.Plan into a refusal.
func (s *Scheduler) gangPlanRefusal(err error, r *Request) *result.Error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, gang.ErrNeverFits):
		return result.New(result.NeverFits, "%d tokens are more than the engines of %q hold together", r.PromptTokens+r.OutputTokens, r.Target)
	}
	return result.Wrap(err, result.NoUpstream, "too few engines of %q are in service", r.Target).WithRetryAfter(s.retryAfter(5 * time.Second))
}

// gangEngines returns the pool's engines as input for gang.Plan.
func (p *pool) gangEngines(avoid []string) []gang.Engine {
	engines := make([]gang.Engine, 0, len(p.states))
	d := route.Demand{Avoid: avoid}
	for _, st := range p.states {
		c := route.Candidate{ID: st.upstream.ID, Share: 1}
		used := float64(st.candidate.MemoryTokens - st.candidate.FreeTokens)
		if st.candidate.Exclusive {
			used += float64(st.candidate.MemoryTokens)
		}
		engines = append(engines, gang.Engine{
			ID:           st.upstream.ID,
			MemoryTokens: st.candidate.MemoryTokens,
			Wait:         used,
			InService:    st.usable() && st.health.State() != health.StateSlow && route.Usable(&c, &d),
		})
	}
	return engines
}

// planGang chooses engines for r and keeps them free of new requests.
func (s *Scheduler) planGang(p *pool, r *Request, avoid []string) ([]gang.Share, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares, err := gang.Plan(p.gangEngines(avoid), r.PromptTokens+r.OutputTokens)
	if err != nil {
		return nil, err
	}
	s.addGangPlan(shares, 1)
	return shares, nil
}

// reopenGang lets the engines of shares take new requests again.
func (s *Scheduler) reopenGang(shares []gang.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addGangPlan(shares, -1)
}

// addGangPlan adds n to the number of gangs for which the engines of shares are kept free.
func (s *Scheduler) addGangPlan(shares []gang.Share, n int) {
	now := time.Now()
	for _, share := range shares {
		if st := s.byID[share.UpstreamID]; st != nil {
			st.gangPlans = max(st.gangPlans+n, 0) // the engine may have been listed anew meanwhile
			s.refresh(st, now)
		}
	}
}

// grantGang counts the parts of the prompt as load of their engines and returns
// the grant.
func (s *Scheduler) grantGang(p *pool, r *Request, held []gang.Reservation) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var g *Grant
	for _, h := range held {
		st := s.byID[h.UpstreamID]
		if st == nil {
			st = &state{upstream: Upstream{ID: h.UpstreamID}, load: load.NewTracker(), health: s.trackers.NewTracker(now, true)}
		}
		if g == nil {
			d := route.Demand{PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Avoid: r.Avoid, Size: route.SizeHuge}
			g = s.newGrant(p, r, st, &d, now)
		} else {
			g.others = append(g.others, st)
		}
		st.load.Sent(load.Send{ID: r.ID, Work: float64(h.Tokens), MemoryTokens: h.Tokens, Size: route.SizeHuge, SentAt: now}, 0)
		s.refresh(st, now)
		g.parts = append(g.parts, Part{Upstream: st.upstream, Name: h.Name, Tokens: h.Tokens})
	}
	return g
}

// gangRefusal returns the refusal of a request for which no engines were
// reserved; it has not run.
func (s *Scheduler) gangRefusal(ctx context.Context, err error) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, errGangWait), errors.Is(context.Cause(ctx), errGangWait):
		return result.Wrap(err, result.QueueTimeout, "the engines did not free enough memory in time").WithRetryAfter(s.retryAfter(10 * time.Second))
	case ctx.Err() != nil:
		return result.Wrap(err, result.CallerGone, "the caller left while the request waited").WithExecution(result.NotRun)
	}
	return result.Wrap(err, result.NoUpstream, "the memory of several engines could not be reserved").WithRetryAfter(s.retryAfter(5 * time.Second))
}

// releaseParts releases the reservations of a request that has ended.
func (s *Scheduler) releaseParts(g *Grant) {
	held := make([]gang.Reservation, 0, len(g.parts))
	for _, part := range g.parts {
		held = append(held, gang.Reservation{Share: gang.Share{UpstreamID: part.Upstream.ID, Tokens: part.Tokens}, Name: part.Name})
	}
	s.acquirer.Release(context.Background(), held)
}
