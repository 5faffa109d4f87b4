package placement

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/costmodel"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

const (
	// topicExplain is the topic of calls to a service's home that ask where a job would go.
	topicExplain = "placement explanation"
	// explainTimeout bounds such a call. An operator waits for it, so it is longer than
	// placeTimeout.
	explainTimeout = 2 * time.Second
	// maxExplained bounds the candidates of an explanation.
	maxExplained = 5
)

// Errors of explanations.
var (
	// ErrCannotExplain means that the home is of a build without this call.
	ErrCannotExplain = errors.New("the home is of a build that cannot explain")
	// ErrNoHome means that the home of the service did not answer.
	ErrNoHome = errors.New("the home of the service does not answer")
)

// Explanation is where a job would go now, and why.
type Explanation struct {
	_ struct{} `cbor:",toarray"`
	// Decision is what the job would get.
	Decision Decision
	// Candidates are the best upstreams that are not ruled out, at most maxExplained.
	Candidates []Candidate
	// RuledOut counts the upstreams that are ruled out.
	RuledOut RuledOut
	// ConfigVersion, ConfigAge and ListAge are the planner's version of the configuration, its age and
	// that of the list of upstreams.
	ConfigVersion int64
	ConfigAge     time.Duration
	ListAge       time.Duration
}

// Candidate is an upstream that could get the job.
type Candidate struct {
	_          struct{} `cbor:",toarray"`
	Upstream   string
	DataCentre string
	// Expect is the predicted time to the first token or, for a plain service whose work times are
	// known, to the answer; 0 if unknown.
	Expect time.Duration
	// Cost is what the job would cost beside its own lateness, mostly to other jobs; a short job is
	// worth about 1. For a plain service it is the load, by which upstreams are compared.
	Cost float64
}

// RuledOut counts the upstreams that can't get the job, each by the first reason that applies.
type RuledOut struct {
	_         struct{} `cbor:",toarray"`
	Leaving   int
	Evacuated int
	// Paused counts those that are down, or want or get no requests for a moment.
	Paused int
	Cold   int
	// Limited counts those that have got as many requests as they name as their limit.
	Limited int
	NoSlot  int
	// NoMemory counts engines that can't hold the job by themselves; they may still help.
	NoMemory int
}

// explainRequest asks a home where a job would go.
type explainRequest struct {
	_   struct{} `cbor:",toarray"`
	Job Job
}

// explain returns what place would decide for a job that is no suspect and has no suspect parts. It
// decides on a copy of all that decisions change.
func (p *Planner) explain(j Job, a authority, now time.Time) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var e Explanation
	if v := p.view; v != nil {
		e.ConfigVersion, e.ConfigAge = v.Config.Version, now.Sub(v.ConfigAt)
		if !v.ListedAt.IsZero() {
			e.ListAge = now.Sub(v.ListedAt)
		}
		e.RuledOut.Leaving = v.Leaving(j.Service)
	}
	e.Decision = Decision{Reason: NoUpstream, RetryAfter: firstPause}
	original := p.pools[j.Service]
	if original == nil {
		return e
	}
	e.RuledOut.Evacuated = len(original.members) - len(original.order)
	if len(original.order) == 0 {
		return e
	}
	scratch, work := p.cloneTables(now)
	pl := original.clone(work)
	scratch.decide(pl, &j, a, now, &e)
	return e
}

// decide fills the decision, the candidates and the counts of an explanation. It changes the
// planner and the pool.
func (p *Planner) decide(pl *pool, j *Job, a authority, now time.Time, e *Explanation) {
	p.estimate(pl, j, now)
	pl.fadeStarts(now)
	usable := pl.candidates(j, a.start, now)
	e.RuledOut.Paused = len(pl.order) - len(usable)
	if len(usable) == 0 {
		return
	}
	warm, cold := p.withinCold(pl, usable, j, a.role, now)
	within, refusal := p.withinLimits(warm, j, a.limitShare, now)
	e.RuledOut.Cold = len(usable) - len(warm)
	for _, m := range warm {
		switch {
		case slices.Contains(within, m):
		case p.limits.Paused(limitKey(m.upstream), now) > 0:
			e.RuledOut.Paused++
		default:
			e.RuledOut.Limited++
		}
	}
	if len(within) == 0 {
		e.Decision = pl.refuseForLimits(refusal.or(cold), a.scope, now)
		return
	}
	if pl.service.Engine == nil {
		e.Decision = p.placePlain(pl, within, j, now)
		e.Candidates = p.plainOptions(pl, within, j, now)
		return
	}
	// Predictions advance the engines, and with them the memory that decisions see as free, so the
	// candidates are found on a copy as well.
	unadvanced := pl.clone(nil)
	e.Candidates = p.engineOptions(unadvanced, unadvanced.same(within), j, now, &e.RuledOut)
	e.Decision = pl.share(j, p.placeGeneration(pl, within, j, now), now)
}

// same returns the members of a copied pool with the IDs of others.
func (pl *pool) same(others []*member) []*member {
	list := make([]*member, len(others))
	for i, m := range others {
		list[i] = pl.members[m.upstream.ID]
	}
	return list
}

// engineOptions returns the best engines for the whole job, and counts those that have no room.
func (p *Planner) engineOptions(pl *pool, within []*member, j *Job, now time.Time, out *RuledOut) []Candidate {
	w := j.work(j.Prompt, now)
	w.Urgency = urgencyOf(j)
	withSlot := within
	if j.MayWait {
		withSlot = filter(within, func(m *member) bool { return m.engine.Requests() < pl.service.Engine.Slots })
	}
	out.NoSlot = len(within) - len(withSlot)
	fitting := filter(withSlot, func(m *member) bool { return m.engine.FreeTokens() >= w.Memory })
	out.NoMemory = len(withSlot) - len(fitting)
	s := p.search(pl, withSlot, j, now)
	list := s.shortlist(w.Memory)
	if len(list) == 0 { // as in placeGeneration
		s.candidates = withSlot
		list = s.shortlist(w.Memory)
	}
	options := s.options(list, w)
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var best []Candidate
	for _, o := range options[:min(len(options), maxExplained)] {
		best = append(best, Candidate{Upstream: o.member.upstream.ID, DataCentre: o.member.upstream.DataCentre,
			Expect: o.ready.Sub(now), Cost: o.cost - j.latenessCost(o.ready, now)})
	}
	return best
}

// plainOptions returns the upstreams of a plain service with the least load, in the order in which
// placePlain has just compared them.
func (p *Planner) plainOptions(pl *pool, within []*member, j *Job, now time.Time) []Candidate {
	work := p.workOf(j, now)
	list := make([]Candidate, 0, len(within))
	for i := range within {
		m := within[(pl.nextStart+i)%len(within)]
		c := Candidate{Upstream: m.upstream.ID, DataCentre: m.upstream.DataCentre, Cost: p.plainCost(pl, m, work, now)}
		if work != nil {
			pace := m.pace.Factor(now)
			c.Expect = m.wait(work, pace, now) + time.Duration(pace*float64(work.Mean))
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return list[:min(len(list), maxExplained)]
}

// cloneTables returns a planner without pools, with copies of all else that a decision reads, and the
// copies of the distributions of work times.
func (p *Planner) cloneTables(now time.Time) (scratch *Planner, work map[*costmodel.Work]*costmodel.Work) {
	scratch = &Planner{
		dataCentre: p.dataCentre, limits: p.limits.Clone(), cold: p.cold.Clone(now), coldBounds: p.coldBounds,
		poison: poison.NewTable(), parts: poison.NewPartTable(),
	}
	if p.costs != nil {
		scratch.costs = &costs{outputs: p.costs.outputs.Clone()}
		scratch.costs.times, work = p.costs.times.Clone()
	}
	return scratch, work
}

// clone returns a copy of the pool, whose jobs on plain upstreams refer to the copies of the
// distributions of work times.
func (pl *pool) clone(work map[*costmodel.Work]*costmodel.Work) *pool {
	copies := make(map[*member]*member, len(pl.members))
	clone := func(m *member) *member {
		if copies[m] == nil {
			c := *m
			if m.engine != nil {
				c.engine = m.engine.Clone()
			}
			c.line = make([]*placed, len(m.line))
			for i, pj := range m.line {
				copied := *pj
				if w := work[pj.work]; w != nil {
					copied.work = w
				}
				c.line[i] = &copied
			}
			copies[m] = &c
		}
		return copies[m]
	}
	c := *pl
	c.order, c.starting, c.members = make([]*member, len(pl.order)), make([]*member, len(pl.starting)), make(map[string]*member, len(pl.members))
	for i, m := range pl.order {
		c.order[i] = clone(m)
	}
	for i, m := range pl.starting {
		c.starting[i] = clone(m)
	}
	for id, m := range pl.members {
		c.members[id] = clone(m)
	}
	c.shares = pl.shares.clone()
	return &c
}

// clone returns a copy that counts nothing in the metrics.
func (s *shares) clone() *shares {
	if s == nil {
		return nil
	}
	c := *s
	c.uncounted = true
	c.workspaces, c.ranks = s.workspaces.Clone(), s.ranks.Clone()
	c.claims = maps.Clone(s.claims)
	for key, claimed := range c.claims {
		copied := *claimed
		c.claims[key] = &copied
	}
	return &c
}

// Explain returns where a job of this instance would go now, by the planner that would decide, and
// the instance that this planner is on; home is empty if this instance would plan for itself only.
func (f *Fleet) Explain(ctx context.Context, j Job) (home string, e Explanation, err error) {
	j.Owner = f.owner
	now := time.Now()
	f.mu.Lock()
	bus, linked := f.bus, f.isLinked()
	if linked {
		home = f.usableHome(j.Service, now)
	}
	f.mu.Unlock()
	if !linked {
		return "", f.planner.explain(j, authorityAlone(j, f.aloneShare()), now), nil
	}
	if home == bus.Self().ID {
		return home, f.explainHere(j, now), nil
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	answer, err := bus.Call(ctx, home, topicExplain, encode(explainRequest{Job: j}))
	switch {
	case err == nil:
		return home, e, trace.Wrap(decode(answer, &e, home))
	case strings.Contains(err.Error(), "no handler for topic"):
		err = ErrCannotExplain
	default:
		err = errors.Join(ErrNoHome, err)
	}
	return home, e, err
}

// usableHome returns the instance that plans a service, as far as it is not avoided. The caller must
// hold mu.
func (f *Fleet) usableHome(service string, now time.Time) string {
	return homeAmong(f.bus.Members(), service, func(m peer.Member) bool {
		until, avoided := f.avoided[m.ID]
		return !avoided || now.After(until)
	})
}

// explainHere explains what placeHere would decide. The share and the role are computed without
// being remembered.
func (f *Fleet) explainHere(j Job, now time.Time) Explanation {
	f.mu.Lock()
	share, role := f.computeShare(j.Service, now), f.roleNow(j.Service, now)
	f.mu.Unlock()
	return f.planner.explain(j, f.authority(share, role), now)
}

// roleNow returns what coldRole would, and leaves the roles as they are. The caller must hold mu.
func (f *Fleet) roleNow(service string, now time.Time) upstreamlimit.Role {
	if !f.planner.limitsCold.Load() {
		return upstreamlimit.Outsider
	}
	before := f.cold
	defer func() { f.cold = before }()
	return f.knownRole(service, now).effective(now)
}

// handleExplain answers another instance that asks this one as home.
func (f *Fleet) handleExplain(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request explainRequest
	if err := decode(payload, &request, from); err != nil {
		return nil, err
	}
	return encode(f.explainHere(request.Job, time.Now())), nil
}
