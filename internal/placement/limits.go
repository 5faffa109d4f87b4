package placement

import (
	"maps"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// The home of a service keeps the limits that its upstreams name, since it places the jobs
// of all instances. An instance reports what it reads in answers to the home, which tells all
// others, so that a new home and instances that plan alone know them too.

const (
	// topicLimits is the topic of broadcasts of limits that have changed.
	topicLimits = "limits"
	// substituteShare and loneShare are the parts of a limit that all instances together may
	// use that do not reach the home: through a substitute of the home, and for the jobs that
	// they place alone, each instance an equal part. The home does not know of them and may be
	// using the whole limit, so both parts and the bursts of all must fit into what the users
	// allow beyond the limit. Jobs placed alone are left to chance, so their part is small.
	substituteShare = 0.2
	loneShare       = 0.04
	// unlinkedInstances is the number of instances that one assumes that does not know the others.
	unlinkedInstances = 100
	// shareLifetime is how long a share is used before it is computed again, from all members.
	shareLifetime = 200 * time.Millisecond
	// callerMemory is how long an instance counts as using a substitute of the home after
	// its last call; it uses the home again sooner.
	callerMemory = homeAvoidTime
	// adoptedSpendTime is how old a job may be that another instance reports, to count
	// against the limit of its upstream. Older ones are told again, to a new home.
	adoptedSpendTime = time.Second
	// maxReturnDelay bounds the time that callers refused for limits are told to wait, unless
	// all upstreams pause for longer.
	maxReturnDelay = 10 * time.Second
)

// limitKey returns the key of an upstream's limit.
func limitKey(up deployment.Upstream) upstreamlimit.Key {
	return upstreamlimit.Key{Service: up.Service, ID: up.ID, Born: up.Born}
}

// ObserveLimits records what another instance says of the limits of upstreams.
func (p *Planner) ObserveLimits(list []upstreamlimit.Observation, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range list {
		if o.Pause == 0 && !o.Limit.Valid() {
			log.WithField("upstream", o.Key.ID).WithField("limit", o.Limit.PerSecond).Warn("limit of an upstream ignored: not a rate")
			continue
		}
		p.limits.Observe(o, now)
	}
}

// limitNews returns what other instances must be told of the limits of a service.
func (p *Planner) limitNews(service string, now time.Time) []upstreamlimit.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.News(service, now)
}

// pruneLimits drops the limits of incarnations that can't return to the list, or that are over.
// The caller must hold mu.
func (p *Planner) pruneLimits(now time.Time) {
	listing := func(k upstreamlimit.Key) upstreamlimit.Listing {
		pl := p.pools[k.Service]
		if pl == nil || pl.members[k.ID] == nil {
			return upstreamlimit.Unlisted
		}
		switch born := pl.members[k.ID].upstream.Born; {
		case born == k.Born:
			return upstreamlimit.Listed
		case born > k.Born:
			return upstreamlimit.Replaced
		}
		return upstreamlimit.Unlisted // the list is from before its start
	}
	p.limits.Prune(listing, now)
	p.cold.Expire(listing, now)
}

// limitRefusal is when requests are taken again.
type limitRefusal struct {
	// wait is the time until one of the upstreams takes the next request.
	wait time.Duration
	// perSecond is the number of requests that this instance may send to all of them.
	perSecond float64
	// pause is the time until the first of them ends its pause; 0 if one has none.
	pause time.Duration
}

// withinLimits returns the candidates that may get the job within the limits that they name,
// or, if there are none, when one may. share is the part of each limit that this instance may
// use.
func (p *Planner) withinLimits(candidates []*member, j *Job, share float64, now time.Time) ([]*member, limitRefusal) {
	if p.limits.Empty() {
		return candidates, limitRefusal{}
	}
	draw := float64(xxhash.Sum64String(j.ID)) / math.MaxUint64
	refusal := limitRefusal{wait: math.MaxInt64, pause: math.MaxInt64}
	within := make([]*member, 0, len(candidates))
	for _, m := range candidates {
		k := limitKey(m.upstream)
		wait := p.limits.Wait(k, share, draw, now)
		if wait == 0 {
			within = append(within, m)
			continue
		}
		refusal.wait = min(refusal.wait, wait)
		refusal.pause = min(refusal.pause, p.limits.Paused(k, now))
		refusal.perSecond += p.limits.Rate(k, now) * share
	}
	return within, refusal
}

// refuseForLimits refuses a job because all upstreams have got as many requests as they take.
// Callers are told to return one after the other, as requests are taken again. An instance
// that plans alone has the home again soon.
func (pl *pool) refuseForLimits(r limitRefusal, s scope, now time.Time) Decision {
	if s == alone {
		return Decision{Reason: Limited, RetryAfter: max(min(r.wait, homeAvoidTime), r.pause)}
	}
	next := latest(now.Add(r.wait), pl.nextReturn)
	if limit := now.Add(max(maxReturnDelay, r.wait)); next.After(limit) {
		next = limit
	}
	pl.nextReturn = next.Add(time.Duration(float64(time.Second) / r.perSecond))
	return Decision{Reason: Limited, RetryAfter: next.Sub(now)}
}

// LimitObserved implements passthrough.Placer.
func (f *Fleet) LimitObserved(up deployment.Upstream, l upstreamlimit.Limit) {
	if !f.planner.observeOwn(upstreamlimit.Observation{Key: limitKey(up), Limit: l}, time.Now()) {
		return
	}
	f.report(up.Service, event{Kind: eventLimits, Service: up.Service, Limits: []upstreamlimit.Observation{{Key: limitKey(up), Limit: l}}})
}

// PauseObserved records that an upstream has told this instance to send nothing for some
// time, and tells the home, which places nothing there for any instance.
func (f *Fleet) PauseObserved(up deployment.Upstream, pause time.Duration) {
	metrics.GetOrCreateCounter(`banyanroute_upstream_pauses_total`).Inc()
	o := upstreamlimit.Observation{Key: limitKey(up), Pause: pause}
	f.planner.ObserveLimits([]upstreamlimit.Observation{o}, time.Now())
	f.report(up.Service, event{Kind: eventLimits, Service: up.Service, Limits: []upstreamlimit.Observation{o}})
}

// Paused implements passthrough.Placer.
func (f *Fleet) Paused(up deployment.Upstream) bool { return f.planner.paused(up, time.Now()) }

// paused reports whether an upstream wants no requests.
func (p *Planner) paused(up deployment.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Paused(limitKey(up), now) > 0
}

// observeOwn records an answer that this instance has received. It reports whether the home
// must be told.
func (p *Planner) observeOwn(o upstreamlimit.Observation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, _, known := p.limits.State(o.Key); !known && !o.Limit.Named {
		return false
	}
	p.limits.Observe(o, now)
	return true
}

// limitShare returns the part of the limits of a service's upstreams that this instance may
// use when it places jobs as the home or in its stead.
func (f *Fleet) limitShare(service string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.shares[service]; ok && now.Sub(known.at) < shareLifetime {
		return known.share
	}
	share := f.computeShare(service, now)
	f.shares[service] = shareAt{share, now}
	return share
}

// shareAt is a share and when it was computed.
type shareAt struct {
	share float64
	at    time.Time
}

// computeShare computes limitShare. The caller must hold mu.
func (f *Fleet) computeShare(service string, now time.Time) float64 {
	if !f.isLinked() {
		return loneShare / unlinkedInstances
	}
	members := f.bus.Members()
	if homeAmong(members, service, nil) == f.bus.Self().ID {
		return 1
	}
	callers := f.callers[service]
	maps.DeleteFunc(callers, func(_ string, at time.Time) bool { return now.Sub(at) >= callerMemory })
	users := len(callers) + 1 // this instance as well
	return substituteShare * float64(min(users, len(members))) / float64(max(len(members), 1))
}

// aloneShare returns the part that this instance may use when it plans alone.
func (f *Fleet) aloneShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLinked() {
		return loneShare / unlinkedInstances
	}
	return loneShare / float64(max(len(f.bus.Members()), 1))
}

// recordCaller records that an instance had this one place a job.
func (f *Fleet) recordCaller(service, from string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers[service] == nil {
		f.callers[service] = map[string]time.Time{}
	}
	f.callers[service][from] = now
}

// tellLimits tells all other instances of the limits that have changed, of services of which
// this instance is the home.
func (f *Fleet) tellLimits(now time.Time) {
	f.mu.Lock()
	bus := f.bus
	f.mu.Unlock()
	if bus == nil {
		return
	}
	members := bus.Members()
	for _, service := range f.planner.services() {
		f.coldRole(service, now) // has the role settle before the first job
		if homeAmong(members, service, nil) != bus.Self().ID {
			continue
		}
		if news := f.planner.limitNews(service, now); len(news) > 0 {
			bus.Broadcast(topicLimits, encode(news))
		}
		f.tellCold(bus, service, now)
	}
}

// handleLimits records the limits that the home of a service has told.
func (f *Fleet) handleLimits(from string, payload []byte) {
	var news []upstreamlimit.Observation
	if err := wire.Unmarshal(payload, &news, from); err != nil {
		log.WithError(err).WithField("instance", from).Warn("limits of upstreams rejected: payload cannot be decoded")
		return
	}
	f.planner.ObserveLimits(news, time.Now())
}
