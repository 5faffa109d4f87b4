package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// A cold upstream crashes under a rate of requests that a warm one takes easily. The home of its
// service and the next instance in the order of homes have fixed parts of the rate that it allows;
// all others place nothing there, so that the bound holds whatever they know of each other.

const (
	// topicCold is the topic of broadcasts of cold upstreams of which answers have told.
	topicCold = "cold upstreams"
	// roleSettleTime is how long an instance must have had a role before it uses the rate of it.
	// What the one before it has placed has arrived by then.
	roleSettleTime = 1250 * time.Millisecond
	// fleetMemory is how long the greatest number of members counts: an instance that sees half of
	// them or fewer may be cut off from a home that it doesn't know of.
	fleetMemory = time.Hour
)

// coldNotice tells another instance of a cold upstream.
type coldNotice struct {
	_   struct{} `cbor:",toarray"`
	Key upstreamlimit.Key
	// Remaining is how much longer the upstream is cold as of the message.
	Remaining time.Duration
}

func coldNotices(list []upstreamlimit.ColdObservation) []coldNotice {
	notices := make([]coldNotice, len(list))
	for i, o := range list {
		notices[i] = coldNotice{Key: o.Key, Remaining: o.Remaining}
	}
	return notices
}

// listing is what a pool remembers of a member's entries.
type listing struct {
	// joinedAt is when the upstream joined a pool that had been listed before; zero if it is from
	// the first list.
	joinedAt time.Time
	// learnedAt is when its last entry was learned.
	learnedAt time.Time
}

// SetColdBounds sets what returns the bounds for cold upstreams. It must be called before the first
// view is set.
func (p *Planner) SetColdBounds(bounds func() upstreamlimit.ColdBounds) { p.coldBounds = bounds }

// adoptColdBounds applies the bounds in force. The caller must hold mu.
func (p *Planner) adoptColdBounds() {
	if p.coldBounds != nil {
		p.cold.Bounds = p.coldBounds()
	}
}

// observeEntries records what the entries of a pool say of cold upstreams. One that joins after
// the first list counts as cold until an entry that is learned later says otherwise: it may have
// been hidden or absent for any time, and become cold meanwhile. The caller must hold mu.
func (p *Planner) observeEntries(pl *pool, now time.Time) {
	p.adoptColdBounds()
	for _, m := range pl.members {
		learned := m.upstream.LearnedAt()
		isNews := learned.After(m.listing.learnedAt)
		m.listing.learnedAt = learned
		if pl.service.ColdPerSecond <= 0 {
			continue
		}
		if m.listing.joinedAt.Equal(now) {
			p.cold.Assume(limitKey(m.upstream), pl.service.ColdStart, now)
		}
		if isNews {
			p.cold.ObserveEntry(limitKey(m.upstream), m.upstream.Warming, learned, now)
		}
	}
	pl.listed = pl.listed || len(pl.order) > 0
}

// joined records that an upstream joins the pool. Of the first list, only those that are cold are
// taken for just started.
func (pl *pool) joined(m *member, up deployment.Upstream, now time.Time) {
	isNew := m.upstream.ID == ""
	if pl.listed {
		m.listing.joinedAt = now
	}
	if isNew && (pl.listed || up.Warming > 0) {
		pl.beginStart(m, now)
	}
}

// withinCold returns the candidates that are not cold, or to which the rate of cold upstreams lets
// this instance send a request now; and, of the others, when one may get the job. Engines that are
// cold take no part in a prompt that several engines may prefill: its parts and the reservations
// for it are requests that nobody counts.
func (p *Planner) withinCold(pl *pool, candidates []*member, j *Job, role upstreamlimit.Role, now time.Time) ([]*member, limitRefusal) {
	perSecond := pl.service.ColdPerSecond
	if p.cold.Empty() || perSecond <= 0 {
		return candidates, limitRefusal{}
	}
	p.adoptColdBounds()
	rate := p.cold.Bounds.Rate(role, perSecond)
	if e := pl.service.Engine; e != nil && e.Joint && j.Prompt >= longPromptTokens {
		rate = 0
	}
	var refusal limitRefusal
	within := make([]*member, 0, len(candidates))
	for _, m := range candidates {
		wait := p.cold.Wait(limitKey(m.upstream), rate, now)
		if wait == 0 {
			within = append(within, m)
			continue
		}
		if refusal.perSecond == 0 || wait < refusal.wait {
			refusal.wait = wait
		}
		if rate > 0 {
			refusal.perSecond += rate
		} else {
			refusal.perSecond += perSecond // once it is warm
		}
	}
	return within, refusal
}

// or returns when requests are taken again by the upstreams of either refusal.
func (r limitRefusal) or(other limitRefusal) limitRefusal {
	switch {
	case r.perSecond == 0:
		return other
	case other.perSecond == 0:
		return r
	}
	return limitRefusal{wait: min(r.wait, other.wait), perSecond: r.perSecond + other.perSecond, pause: min(r.pause, other.pause)}
}

// observeCold records what an answer that this instance has received says. It reports whether the
// home must be told.
func (p *Planner) observeCold(up deployment.Upstream, remaining time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[up.Service]
	if pl == nil || pl.service.ColdPerSecond <= 0 {
		return false
	}
	return p.cold.ObserveAnswer(limitKey(up), remaining, now)
}

// observeColdNotices records what another instance says.
func (p *Planner) observeColdNotices(list []coldNotice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range list {
		if pl := p.pools[n.Key.Service]; pl != nil && pl.service.ColdPerSecond > 0 {
			p.cold.ObserveReport(upstreamlimit.ColdObservation{Key: n.Key, Remaining: n.Remaining}, now)
		}
	}
}

// coldNews returns what other instances must be told of the cold upstreams of a service.
func (p *Planner) coldNews(service string, now time.Time) []upstreamlimit.ColdObservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.News(service, now)
}

// withheld returns the upstreams to avoid if the decision's job must not be sent to an upstream
// now; none if it may. A request that was counted as one to a cold upstream is sent only while
// that is recent. One that was not counted is not sent to an upstream that is known here to be cold;
// the home knows less then, and is told to avoid all that are.
func (p *Planner) withheld(d Decision, up deployment.Upstream, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.Cold {
		if up.ID == d.Upstream && now.Sub(d.decidedAt) <= upstreamlimit.MaxGrantAge {
			return nil
		}
	} else if p.cold.Empty() || p.cold.Left(limitKey(up), now) == 0 {
		return nil
	}
	metrics.GetOrCreateCounter(`banyanroute_cold_withheld_total`).Inc()
	avoid := []string{up.ID}
	if pl := p.pools[up.Service]; pl != nil && !d.Cold {
		for _, m := range pl.order {
			if m.upstream.ID != up.ID && p.cold.Left(limitKey(m.upstream), now) > 0 {
				avoid = append(avoid, m.upstream.ID)
			}
		}
	}
	return avoid
}

// ColdObserved records what an answer says of how much longer its upstream is cold, and tells the
// home if it may not know.
func (f *Fleet) ColdObserved(up deployment.Upstream, remaining time.Duration) {
	if !f.planner.observeCold(up, remaining, time.Now()) {
		return
	}
	f.report(up.Service, event{Kind: eventCold, Service: up.Service, Cold: []coldNotice{{Key: limitKey(up), Remaining: remaining}}})
}

// Withheld implements passthrough.Placer.
func (f *Fleet) Withheld(d Decision, up deployment.Upstream) []string {
	return f.planner.withheld(d, up, time.Now())
}

// coldRoles is how an instance knows its roles in the placement of services.
type coldRoles struct {
	// most is the greatest number of members in the current and in the last period of fleetMemory.
	most, mostBefore int
	periodAt         time.Time
	roles            map[string]roleSince
}

// roleSince is a role, when it was last computed, and since when this instance has had it or one
// with a higher rate.
type roleSince struct {
	role, settled upstreamlimit.Role
	at, since     time.Time
}

// listedInstances is implemented by a bus that knows how many instances the platform lists; 0 if
// that is not known.
type listedInstances interface{ Listed() int }

// coldRole returns the role with which this instance places jobs on cold upstreams of a service.
func (f *Fleet) coldRole(service string, now time.Time) upstreamlimit.Role {
	if !f.planner.limitsCold.Load() {
		return upstreamlimit.Outsider
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.knownRole(service, now)
	f.cold.roles[service] = known
	return known.effective(now)
}

// knownRole returns the remembered role for a service, or a new one if that is too old. The caller must
// hold mu.
func (f *Fleet) knownRole(service string, now time.Time) roleSince {
	known, ok := f.cold.roles[service]
	if ok && now.Sub(known.at) < shareLifetime {
		return known
	}
	return known.next(f.currentRole(service, now), now)
}

// next returns the state after a role was computed anew.
func (r roleSince) next(role upstreamlimit.Role, now time.Time) roleSince {
	settled := r.effective(now)
	since := r.since
	if role != r.role || r.at.IsZero() {
		since = now
	}
	return roleSince{role: role, settled: min(settled, role), at: now, since: since}
}

// effective returns the role that has settled.
func (r roleSince) effective(now time.Time) upstreamlimit.Role {
	if now.Sub(r.since) >= roleSettleTime {
		return r.role
	}
	return r.settled
}

// currentRole computes the role from the members that are seen now. The caller must hold mu.
func (f *Fleet) currentRole(service string, now time.Time) upstreamlimit.Role {
	if !f.isLinked() {
		return upstreamlimit.Outsider
	}
	members := f.bus.Members()
	if now.Sub(f.cold.periodAt) >= fleetMemory {
		f.cold.mostBefore, f.cold.most, f.cold.periodAt = f.cold.most, 0, now
	}
	f.cold.most = max(f.cold.most, len(members))
	if 2*len(members) <= max(f.cold.most, f.cold.mostBefore) {
		return upstreamlimit.Outsider
	}
	if list, ok := f.bus.(listedInstances); ok && len(members) == 1 && list.Listed() != 1 {
		return upstreamlimit.Outsider
	}
	self := f.bus.Self().ID
	home := homeAmong(members, service, nil)
	if home == self {
		return upstreamlimit.Home
	}
	if homeAmong(members, service, func(m peer.Member) bool { return m.ID != home }) == self {
		return upstreamlimit.Substitute
	}
	return upstreamlimit.Outsider
}

// tellCold tells all other instances of cold upstreams of a service of which answers have told.
func (f *Fleet) tellCold(bus peer.Bus, service string, now time.Time) {
	if news := f.planner.coldNews(service, now); len(news) > 0 {
		bus.Broadcast(topicCold, encode(coldNotices(news)))
	}
}

// handleCold records the cold upstreams of which the home of a service has told.
func (f *Fleet) handleCold(from string, payload []byte) {
	var news []coldNotice
	if err := wire.Unmarshal(payload, &news, from); err != nil {
		log.WithError(err).WithField("instance", from).Warn("cold upstreams rejected: payload cannot be decoded")
		return
	}
	f.planner.observeColdNotices(news, time.Now())
}
