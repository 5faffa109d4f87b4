package upstreamlimit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Times of cold upstreams.
const (
	// MaxGrantAge is how long a request may take from the decision that counts it against a cold
	// upstream's rate to its send. An older one is not sent, so that requests that were held up
	// don't arrive together with newer ones.
	MaxGrantAge = 150 * time.Millisecond
	// maxTransfer is the longest time from the send of a request to its arrival that the bound
	// allows for.
	maxTransfer = 100 * time.Millisecond
	// coldWindow is the time within which the requests are decided that arrive within a second.
	coldWindow = time.Second + maxTransfer + MaxGrantAge
	// coldBurst is how many requests may be sent at once to a cold upstream. A whole request is
	// the least that can be saved up.
	coldBurst = 1.0
	// defaultHeartbeat is the interval of the entries of upstreams if the settings don't state it.
	defaultHeartbeat = 1200 * time.Millisecond
	// minColdChange is the least extension of a countdown that other instances are told.
	minColdChange = 250 * time.Millisecond
	// maxCold bounds a countdown, whatever an entry or an answer says.
	maxCold = time.Hour
)

// Role is the part that an instance has in the placement of a service's jobs, as far as cold
// upstreams are concerned.
type Role uint8

// Values of Role.
const (
	// Outsider may send nothing to cold upstreams.
	Outsider Role = iota
	// Substitute is the instance that takes over if the home doesn't answer.
	Substitute
	// Home places the jobs of all instances.
	Home
)

// ColdBounds is what the users allow for cold upstreams.
type ColdBounds struct {
	// Overage and Slack allow rate*Overage + Slack requests in any second; an Overage of 0 counts
	// as 1.
	Overage, Slack float64
	// Heartbeat is the interval at which entries are renewed; 0 selects a default.
	Heartbeat time.Duration
}

// homes and substitutes are the numbers of instances that may have a role within one window. While
// a home is replaced, the old one may not know that yet.
const (
	homes       = 2
	substitutes = 2
	// substitutePart is the part of the rates of a home and its substitute that the latter has.
	substitutePart = 0.125
)

// Rate returns the requests a second that an instance with a role may place on one cold upstream
// that allows perSecond. With it, coldBurst and coldWindow the sum over all instances stays within
// the bound.
func (b ColdBounds) Rate(r Role, perSecond float64) float64 {
	allowed := perSecond*max(b.Overage, 0) + max(b.Slack, 0)
	if b.Overage == 0 {
		allowed += perSecond
	}
	// What a home and its substitute may send together beside their bursts.
	both := (allowed - (homes+substitutes)*coldBurst) / homes / coldWindow.Seconds()
	home, substitute := both*(1-substitutePart), both*substitutePart
	if both <= 0 {
		home, substitute = (allowed/homes-coldBurst)/coldWindow.Seconds(), 0
	}
	switch r {
	case Home:
		return max(min(home, perSecond), 0)
	case Substitute:
		return max(min(substitute, perSecond), 0)
	}
	return 0
}

// heartbeat returns the interval at which entries are renewed.
func (b ColdBounds) heartbeat() time.Duration {
	if b.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return b.Heartbeat
}

// ColdObservation is what another instance is told of a cold upstream.
type ColdObservation struct {
	Key Key
	// Remaining is how much longer the upstream is cold as of now, without the margin.
	Remaining time.Duration
}

// ColdTable holds the cold upstreams, and what is left of their rates. It is not safe for
// concurrent use.
type ColdTable struct {
	// Bounds are those in force.
	Bounds ColdBounds
	states map[Key]*coldState
}

// coldState is one cold upstream, with a token bucket.
type coldState struct {
	// until is the end of the countdown, with the margin.
	until time.Time
	// assumedAt is when the upstream was assumed to be cold, zero if an entry or answer said so;
	// answeredAt is when an answer last said so.
	assumedAt  time.Time
	answeredAt time.Time
	tokens     float64
	rate       float64
	refilledAt time.Time
	// dirty reports whether other instances must be told.
	dirty bool
}

// NewColdTable returns an empty ColdTable.
func NewColdTable() *ColdTable { return &ColdTable{states: map[Key]*coldState{}} }

// Empty reports whether no upstream is cold.
func (t *ColdTable) Empty() bool { return len(t.states) == 0 }

// ObserveEntry records what an entry says that was learned at a time. An answer is fresher than an
// entry that was learned less than a heartbeat after it and ends the countdown earlier: such an
// entry may have been written before the answer.
func (t *ColdTable) ObserveEntry(k Key, remaining time.Duration, learned, now time.Time) {
	s := t.states[k]
	until := t.end(remaining, learned)
	switch {
	case s == nil:
	case !s.assumedAt.IsZero() && !learned.After(s.assumedAt):
		until = latest(until, s.until)
	case learned.Before(s.answeredAt.Add(t.Bounds.heartbeat())) && until.Before(s.until):
		return
	}
	t.set(k, until, now)
	if s := t.states[k]; s != nil && learned.After(s.assumedAt) {
		s.assumedAt = time.Time{}
	}
}

// ObserveAnswer records what an answer of the upstream says. It reports whether the home must be
// told.
func (t *ColdTable) ObserveAnswer(k Key, remaining time.Duration, now time.Time) bool {
	news := t.extends(k, remaining, now)
	t.set(k, t.end(remaining, now), now)
	if s := t.states[k]; s != nil {
		s.answeredAt, s.assumedAt, s.dirty = now, time.Time{}, s.dirty || news
	}
	return news
}

// ObserveReport records what another instance says. It may be older than what is known, so it ends
// no countdown earlier.
func (t *ColdTable) ObserveReport(o ColdObservation, now time.Time) {
	if !t.extends(o.Key, o.Remaining, now) {
		return
	}
	t.set(o.Key, t.end(o.Remaining, now), now)
	if s := t.states[o.Key]; s != nil {
		s.answeredAt, s.dirty = now, true
	}
}

// Assume records that an upstream counts as cold for some time, until an entry that is learned
// later or an answer says that it is not.
func (t *ColdTable) Assume(k Key, coldStart time.Duration, now time.Time) {
	until := now.Add(min(coldStart, maxCold) + 2*t.Bounds.heartbeat())
	if s := t.states[k]; s != nil {
		until = latest(until, s.until)
	}
	t.set(k, until, now)
	t.states[k].assumedAt = now
}

// end returns the end of a countdown as of a time; zero if the upstream is not cold. The margin
// is a heartbeat, so that it ends late rather than early.
func (t *ColdTable) end(remaining time.Duration, asOf time.Time) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return asOf.Add(min(remaining, maxCold) + t.Bounds.heartbeat())
}

// extends reports whether a countdown ends noticeably later than the known one.
func (t *ColdTable) extends(k Key, remaining time.Duration, now time.Time) bool {
	until := t.end(remaining, now)
	if s := t.states[k]; s != nil {
		return until.Sub(s.until) >= minColdChange
	}
	return !until.IsZero()
}

// set sets the end of an upstream's countdown. The bucket starts empty: what was sent just before
// is not known.
func (t *ColdTable) set(k Key, until, now time.Time) {
	s := t.states[k]
	if !until.After(now) {
		if s != nil {
			t.drop(k)
		}
		return
	}
	if s == nil {
		s = &coldState{refilledAt: now}
		t.states[k] = s
		metrics.GetOrCreateCounter(`banyanroute_cold_upstreams_total`).Inc()
		log.WithField("upstream", k.ID).WithField("service", k.Service).WithField("remaining", until.Sub(now)).
			Info("upstream is cold; the rate of requests to it is limited")
	}
	s.until = until
}

// drop drops an upstream that is cold no longer.
func (t *ColdTable) drop(k Key) {
	delete(t.states, k)
	log.WithField("upstream", k.ID).WithField("service", k.Service).Info("upstream is cold no longer")
}

// Left returns for how much longer an upstream counts as cold; 0 if it doesn't.
func (t *ColdTable) Left(k Key, now time.Time) time.Duration {
	s := t.states[k]
	if s == nil {
		return 0
	}
	left := s.until.Sub(now)
	if left <= 0 {
		t.drop(k)
		return 0
	}
	return left
}

// Wait returns how long it takes until a request may be sent to an upstream at a rate, or until it
// is cold no longer; 0 if one may be sent now.
func (t *ColdTable) Wait(k Key, rate float64, now time.Time) time.Duration {
	left := t.Left(k, now)
	if left == 0 || rate <= 0 {
		return left
	}
	s := t.states[k]
	s.rate = rate
	s.tokens = min(s.tokens+rate*max(now.Sub(s.refilledAt), 0).Seconds(), coldBurst)
	s.refilledAt = latest(s.refilledAt, now)
	if s.tokens >= 1 {
		return 0
	}
	return min(left, max(time.Duration((1-s.tokens)/rate*float64(time.Second)), 1))
}

// Sent records that a request is placed on an upstream, by this instance or another one. It
// reports whether the upstream is cold. Requests that others placed are made up for, at most those
// of a second.
func (t *ColdTable) Sent(k Key, now time.Time) bool {
	if t.Left(k, now) == 0 {
		return false
	}
	s := t.states[k]
	s.tokens = max(s.tokens-1, -max(1, s.rate))
	metrics.GetOrCreateCounter(`banyanroute_cold_requests_total`).Inc()
	return true
}

// Allowance returns what is left of an upstream's rate; 0 if it is not cold.
func (t *ColdTable) Allowance(k Key) float64 {
	if s := t.states[k]; s != nil {
		return s.tokens
	}
	return 0
}

// Expire drops the upstreams whose countdown is over, and incarnations that were replaced.
func (t *ColdTable) Expire(status func(Key) Listing, now time.Time) {
	for k, s := range t.states {
		if !s.until.After(now) || status(k) == Replaced {
			t.drop(k)
		}
	}
}

// Known returns the cold upstreams of a service.
func (t *ColdTable) Known(service string, now time.Time) []ColdObservation {
	return t.observations(service, true, now)
}

// News returns what other instances must be told of a service, and counts it as told. They read
// the entries themselves.
func (t *ColdTable) News(service string, now time.Time) []ColdObservation {
	return t.observations(service, false, now)
}

func (t *ColdTable) observations(service string, all bool, now time.Time) []ColdObservation {
	var list []ColdObservation
	for k, s := range t.states {
		// The receiver adds the margin.
		remaining := s.until.Sub(now) - t.Bounds.heartbeat()
		if k.Service != service || remaining <= 0 || !all && !s.dirty {
			continue
		}
		s.dirty = s.dirty && all
		list = append(list, ColdObservation{Key: k, Remaining: remaining})
	}
	return list
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
