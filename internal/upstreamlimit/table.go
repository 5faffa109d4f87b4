package upstreamlimit

import (
	"maps"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/logging"
)

var log = logging.For("limits")

// Times and rates of limits.
const (
	// burstTime is the time whose requests may be sent at once, minBurst the least number.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// maxDebtTime is the time in which the requests that were sent beyond a limit, because
	// it was not known or instances planned alone, are made up for at most.
	maxDebtTime = 2 * time.Second
	// minPerSecond is the rate at which an upstream gets requests whatever it names.
	// Without any, no answer could say that the limit has ended.
	minPerSecond = 0.1
	// endTime is how long after its end a limit is raised, doubling each endDoubling, until
	// it is dropped: an upstream that has just recovered gets no jump in its load.
	endTime     = 5 * time.Second
	endDoubling = time.Second
	// staleTime is how long a limit holds without an answer that confirms it.
	staleTime = time.Minute
	// minSteadyShare is the smallest part of a limit whose whole requests are saved up. An
	// instance with less of it draws, because hundreds of instances that each save up a
	// request could send them all at once.
	minSteadyShare = 0.04
	// minChange is the relative change of a limit that other instances are told.
	minChange = 0.05
	// confirmInterval is the time after which they are told of an unchanged limit again.
	confirmInterval = 20 * time.Second
)

// Key identifies one incarnation of an upstream.
type Key struct {
	_       struct{} `cbor:",toarray"`
	Service string
	ID      string
	// Born is the start of the upstream in Unix milliseconds; 0 if unknown.
	Born int64
}

// Limit is what an answer of an upstream says.
type Limit struct {
	_ struct{} `cbor:",toarray"`
	// Named reports whether the answer names a limit.
	Named bool
	// PerSecond is the limit, in requests a second, not negative.
	PerSecond float64
}

// Valid reports whether the limit is a rate: not negative and finite.
func (l Limit) Valid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1) }

// Observation is what is known of one upstream's limit, or of its pause if that is set.
type Observation struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Limit Limit
	// Pause is how long the upstream wants no requests from now on.
	Pause time.Duration
}

// Table holds the limits and pauses that upstreams name, and what is left of each. It is not
// safe for concurrent use.
type Table struct {
	limits map[Key]*limit
	pauses map[Key]*pause
}

// limit is the state of one upstream that names a limit, a token bucket.
type limit struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
	observedAt time.Time
	// endedAt is when an answer named no limit any more; zero while one is named.
	endedAt time.Time
	// told and toldAt are what other instances were told last and when; dirty reports
	// whether they must be told again.
	told   Limit
	toldAt time.Time
	dirty  bool
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{limits: map[Key]*limit{}, pauses: map[Key]*pause{}} }

// Observe records what an answer of an upstream says, or another instance says of it.
func (t *Table) Observe(o Observation, now time.Time) {
	if o.Pause > 0 {
		t.observePause(o.Key, o.Pause, now)
		return
	}
	l := t.limits[o.Key]
	entry := log.WithField("upstream", o.Key.ID).WithField("service", o.Key.Service).WithField("limit", o.Limit.PerSecond)
	switch {
	case o.Limit.Named && l == nil:
		l = &limit{refilledAt: now, dirty: true}
		t.limits[o.Key] = l
		entry.Info("upstream names a limit of requests a second")
	case o.Limit.Named && !l.endedAt.IsZero():
		entry.Info("upstream names a limit of requests a second again")
	case !o.Limit.Named && l != nil && l.endedAt.IsZero():
		l.endedAt = now
		l.dirty = true
		entry.Info("upstream names no limit any more")
		return
	case !o.Limit.Named:
		return
	}
	l.perSecond, l.observedAt, l.endedAt = o.Limit.PerSecond, now, time.Time{}
	changed := !l.told.Named || math.Abs(l.perSecond-l.told.PerSecond) > minChange*l.told.PerSecond
	l.dirty = l.dirty || changed || now.Sub(l.toldAt) > confirmInterval
}

// Wait returns how long it takes until a request may be sent to an upstream; 0 if one may
// be sent now. share is the part of the limit that the caller may use. Below minSteadyShare
// the parts of many callers may each be less than a request; what has accrued then is the
// chance to send a whole one, which draw, from 0 to 1, decides, and it is spent either way.
// Together the callers use as much as they may on average.
func (t *Table) Wait(k Key, share, draw float64, now time.Time) time.Duration {
	if left := t.Paused(k, now); left > 0 {
		return left
	}
	l := t.limits[k]
	if l == nil {
		return 0
	}
	rate := l.rate(now)
	if math.IsInf(rate, 1) {
		delete(t.limits, k)
		return 0
	}
	steady := share >= minSteadyShare
	capacity := l.burst() * share
	if steady {
		capacity = max(capacity, 1)
	}
	l.refill(rate*share, capacity, now)
	if !steady && l.tokens > 0 && l.tokens < 1 {
		won := draw < l.tokens
		l.tokens = 0
		if won {
			l.tokens = 1
		}
	}
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / (rate * share) * float64(time.Second))
}

// Rate returns the requests a second that an upstream takes now; infinite if it names no
// limit.
func (t *Table) Rate(k Key, now time.Time) float64 {
	if l := t.limits[k]; l != nil {
		return l.rate(now)
	}
	return math.Inf(1)
}

// Empty reports whether no upstream names a limit or a pause.
func (t *Table) Empty() bool { return len(t.limits) == 0 && len(t.pauses) == 0 }

// rate returns the requests a second that the upstream takes now; infinite once its limit
// is over.
func (l *limit) rate(now time.Time) float64 {
	ended := l.endedAt
	if ended.IsZero() && now.Sub(l.observedAt) > staleTime {
		ended = l.observedAt.Add(staleTime)
	}
	rate := max(l.perSecond, minPerSecond)
	switch {
	case ended.IsZero():
		return rate
	case now.Sub(ended) > endTime:
		return math.Inf(1)
	}
	return rate * math.Exp2(float64(now.Sub(ended))/float64(endDoubling))
}

// burst returns how many requests may be sent at once. With two, what accrues until the next
// request comes is not lost.
func (l *limit) burst() float64 { return max(minBurst, l.perSecond*burstTime.Seconds()) }

// refill adds the tokens of the time since the last refill.
func (l *limit) refill(rate, capacity float64, now time.Time) {
	l.tokens = min(l.tokens+rate*now.Sub(l.refilledAt).Seconds(), capacity)
	l.refilledAt = now
}

// Sent records that a request is sent to an upstream.
func (t *Table) Sent(k Key) {
	l := t.limits[k]
	if l == nil {
		return
	}
	metrics.GetOrCreateCounter(`banyanroute_limited_requests_total`).Inc()
	l.tokens = max(l.tokens-1, -max(1, l.perSecond*maxDebtTime.Seconds()))
}

// News returns what other instances must be told of the limits of a service, and counts it
// as told.
func (t *Table) News(service string, now time.Time) []Observation {
	list := t.pausesOf(service, false, now)
	for k, l := range t.limits {
		if k.Service != service || !l.dirty {
			continue
		}
		l.told, l.toldAt, l.dirty = l.observation(), now, false
		list = append(list, Observation{Key: k, Limit: l.told})
	}
	return list
}

// named reports whether the last answer named a limit.
func (l *limit) named() bool { return l.endedAt.IsZero() }

// observation returns what the last answer said.
func (l *limit) observation() Limit {
	if !l.named() {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: l.perSecond}
}

// Known returns the limits and pauses of a service that are in force.
func (t *Table) Known(service string, now time.Time) []Observation {
	list := t.pausesOf(service, true, now)
	for k, l := range t.limits {
		if o := l.observation(); k.Service == service && o.Named {
			list = append(list, Observation{Key: k, Limit: o})
		}
	}
	return list
}

// Retell has News return all limits and pauses of a service that are in force.
func (t *Table) Retell(service string) {
	for k, p := range t.pauses {
		p.dirty = p.dirty || k.Service == service
	}
	for k, l := range t.limits {
		l.dirty = l.dirty || k.Service == service && l.named()
	}
}

// Prune drops the limits and pauses of the incarnations that have been replaced, and of those
// that are not listed once they are over. An entry that is away for a moment, with the store or
// with the upstream's path to it, ends neither.
func (t *Table) Prune(status func(Key) Listing, now time.Time) {
	maps.DeleteFunc(t.limits, func(k Key, l *limit) bool {
		s := status(k)
		return s == Replaced || s == Unlisted && math.IsInf(l.rate(now), 1)
	})
	maps.DeleteFunc(t.pauses, func(k Key, p *pause) bool {
		s := status(k)
		return s == Replaced || s == Unlisted && !p.until.After(now)
	})
}

// Listing is what the list of upstreams says of an incarnation.
type Listing uint8

// Values of Listing.
const (
	// Unlisted means that neither it nor a later incarnation is listed.
	Unlisted Listing = iota
	// Listed means that it is listed.
	Listed
	// Replaced means that a later incarnation is listed under its ID.
	Replaced
)

// State returns the limit that an upstream names, and what is left of it.
func (t *Table) State(k Key) (perSecond, tokens float64, named bool) {
	l := t.limits[k]
	if l == nil || !l.named() {
		return 0, 0, false
	}
	return l.perSecond, l.tokens, true
}
