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

// gangPlans is the number of plans tried when engines fail during reservation.
const gangPlans = 3

const (
	// gangShare is the part of a pool's memory that reservations may take
	// before a further prompt of several parts has to wait.
	gangShare = 0.5
	// gangInterval is how often a waiting prompt looks whether it may go on.
	gangInterval = 100 * time.Millisecond
)

// reservationGrace is how long reservations outlive the request's deadline.
const reservationGrace = 5 * time.Second

// needsGang states whether r needs the memory of more than one engine.
func (s *Scheduler) needsGang(p *pool, r *Request) bool {
	return !r.Service && p.largest > 0 && r.PromptTokens+r.OutputTokens > p.largest
}

// acquireGang reserves several engines for r. One such request reserves at a
// time in each pool of an instance.
func (s *Scheduler) acquireGang(ctx context.Context, p *pool, r *Request) (*Grant, *result.Error) {
	if refusal := s.gangFits(p, r); refusal != nil {
		return nil, refusal
	}
	wait := time.Duration(longWaitShare * float64(time.Until(r.Deadline)))
	ctx, cancel := context.WithTimeoutCause(ctx, wait, errGangWait)
	defer cancel()
	select {
	case p.gangTurn <- struct{}{}:
		defer func() { <-p.gangTurn }()
	case <-ctx.Done():
		return nil, s.gangRefusal(ctx, context.Cause(ctx))
	}
	if err := s.await(ctx, func() bool { return s.gangMayBegin(p, r) }); err != nil {
		return nil, s.gangRefusal(ctx, err)
	}
	s.mu.Lock()
	verdict, left := s.poison.Verdict(r.Fingerprint, time.Now())
	s.mu.Unlock()
	if verdict == poison.Condemned {
		return nil, condemned(left)
	}
	return s.tryGangs(ctx, p, r, verdict == poison.Suspect)
}

// await looks at intervals until ready holds or ctx ends. The lock is held while
// ready runs.
func (s *Scheduler) await(ctx context.Context, ready func() bool) error {
	for {
		s.mu.Lock()
		done := ready()
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-time.After(gangInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// gangMayBegin states whether the reservations of all instances, with r's, leave
// enough of the pool's memory to other requests, and whether it is known what
// became of r's last loss. It counts what engines report and the engines that
// are kept free at present. With nothing reserved there is always room.
func (s *Scheduler) gangMayBegin(p *pool, r *Request) bool {
	if verdict, _ := s.poison.Verdict(r.Fingerprint, time.Now()); verdict == poison.Pending {
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
	return reserved == 0 || float64(reserved+tokens) <= gangShare*float64(total)
}

// tryGangs reserves engines for r, with another plan when one of them fails. A
// suspect waits until nothing else runs on its engines, and keeps them free until
// it has ended.
func (s *Scheduler) tryGangs(ctx context.Context, p *pool, r *Request, suspect bool) (*Grant, *result.Error) {
	avoid := append([]string(nil), r.Avoid...)
	var err error
	for range gangPlans {
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
			g.alone, g.gangKept = true, shares
			return g, nil
		}
		s.freeGang(shares)
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

// awaitIdle waits until no stream runs on the engines. If ctx ends first, it
// releases the reservations.
func (s *Scheduler) awaitIdle(ctx context.Context, shares []gang.Share, held []gang.Reservation) error {
	err := s.await(ctx, func() bool {
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

// errGangWait ends the wait for memory on several engines.
var errGangWait = errors.New("the wait for memory on several engines took too long")

// gangFits refuses at once what the engines together can never hold.
func (s *Scheduler) gangFits(p *pool, r *Request) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acquirer == nil {
		return result.New(result.NeverFits, "the prompt is larger than one engine's memory of %d tokens", p.largest)
	}
	_, err := gang.Plan(p.gangEngines(r.Avoid), r.PromptTokens+r.OutputTokens)
	return s.gangPlanRefusal(err, r)
}

// gangPlanRefusal turns an error of gang.Plan into a refusal.
func (s *Scheduler) gangPlanRefusal(err error, r *Request) *result.Error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, gang.ErrNeverFits):
		return result.New(result.NeverFits, "%d tokens are more than the engines of %q hold together", r.PromptTokens+r.OutputTokens, r.Target)
	}
	return result.Wrap(err, result.NoUpstream, "too few engines of %q are in service", r.Target).After(s.retryAfter(5 * time.Second))
}

// gangEngines lists the pool's engines for a plan.
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

// planGang chooses engines for r and keeps them free.
func (s *Scheduler) planGang(p *pool, r *Request, avoid []string) ([]gang.Share, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares, err := gang.Plan(p.gangEngines(avoid), r.PromptTokens+r.OutputTokens)
	if err != nil {
		return nil, err
	}
	s.setGang(shares, true)
	return shares, nil
}

// freeGang ends the time in which the engines are kept free.
func (s *Scheduler) freeGang(shares []gang.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setGang(shares, false)
}

func (s *Scheduler) setGang(shares []gang.Share, kept bool) {
	now := time.Now()
	for _, share := range shares {
		if st := s.byID[share.UpstreamID]; st != nil {
			st.gang = kept
			s.refresh(st, now)
		}
	}
}

// grantGang charges the parts to their engines.
func (s *Scheduler) grantGang(p *pool, r *Request, held []gang.Reservation) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var g *Grant
	for _, h := range held {
		st := s.byID[h.UpstreamID]
		if st == nil {
			st = &state{upstream: Upstream{ID: h.UpstreamID}, load: load.NewTracker(), health: s.judge.NewTracker(now, true)}
		}
		if g == nil {
			d := route.Demand{PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Avoid: r.Avoid, Size: route.SizeHuge}
			g = s.newGrant(p, r, st, &d, now)
		} else {
			g.others = append(g.others, st)
		}
		st.load.Sent(load.Send{ID: r.ID, Work: float64(h.Tokens), Memory: h.Tokens, Size: route.SizeHuge, SentAt: now}, 0)
		s.refresh(st, now)
		g.parts = append(g.parts, Part{Upstream: st.upstream, Name: h.Name, Tokens: h.Tokens})
	}
	return g
}

// gangRefusal says why no engines were reserved. Nothing has run.
func (s *Scheduler) gangRefusal(ctx context.Context, err error) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, errGangWait), errors.Is(context.Cause(ctx), errGangWait):
		return result.Wrap(err, result.QueueTimeout, "the engines did not free enough memory in time").After(s.retryAfter(10 * time.Second))
	case ctx.Err() != nil:
		return result.Wrap(err, result.CallerGone, "the caller left while the request waited").WithExecution(result.NotRun)
	}
	return result.Wrap(err, result.NoUpstream, "the memory of several engines could not be reserved").After(s.retryAfter(5 * time.Second))
}

// releaseParts frees the reservations of a request that has ended.
func (s *Scheduler) releaseParts(g *Grant) {
	held := make([]gang.Reservation, 0, len(g.parts))
	for _, part := range g.parts {
		held = append(held, gang.Reservation{Share: gang.Share{UpstreamID: part.Upstream.ID, Tokens: part.Tokens}, Name: part.Name})
	}
	s.acquirer.Release(context.Background(), held)
}
