package upstreamlimit

import "time"

// Times and rates of pauses.
const (
	// MaxPause bounds a pause: no upstream that is listed is left without work for longer
	// because of one answer.
	MaxPause = time.Hour
	// resumePerSecond is the rate at which an upstream gets requests right after its pause. It
	// doubles each endDoubling until endTime after the pause, so that what waited for the end
	// doesn't arrive at once.
	resumePerSecond = 4
)

// pause is a time in which an upstream wants no requests.
type pause struct {
	until time.Time
	// dirty reports whether other instances must be told.
	dirty bool
}

// observePause records that an upstream wants no requests for d. Of several pauses the one
// that ends last counts, and a limit that it names applies after it.
func (t *Table) observePause(k Key, d time.Duration, now time.Time) {
	until := now.Add(min(d, MaxPause))
	p := t.pauses[k]
	if p == nil {
		p = &pause{}
		t.pauses[k] = p
		log.WithField("upstream", k.ID).WithField("service", k.Service).WithField("pause", d).Info("upstream wants no requests for some time")
	}
	// The same pause arrives from several instances, each time a bit later.
	if until.Sub(p.until) < minPauseChange {
		return
	}
	p.until, p.dirty = until, true
	l := t.limits[k]
	if l == nil {
		l = &limit{endedAt: until}
		t.limits[k] = l
	}
	if !l.named() {
		l.perSecond, l.endedAt = resumePerSecond, until
	}
	l.tokens, l.refilledAt, l.observedAt = min(l.tokens, 0), until, now
}

// minPauseChange is the least change of a pause's end that counts.
const minPauseChange = 100 * time.Millisecond

// Paused returns for how long an upstream wants no requests; 0 if it takes them.
func (t *Table) Paused(k Key, now time.Time) time.Duration {
	p := t.pauses[k]
	if p == nil {
		return 0
	}
	if left := p.until.Sub(now); left > 0 {
		return left
	}
	delete(t.pauses, k)
	return 0
}

// pausesOf returns the pauses of a service, or those of which other instances must be told.
func (t *Table) pausesOf(service string, all bool, now time.Time) []Observation {
	var list []Observation
	for k, p := range t.pauses {
		if left := t.Paused(k, now); left > 0 && k.Service == service && (all || p.dirty) {
			p.dirty = p.dirty && all
			list = append(list, Observation{Key: k, Pause: left})
		}
	}
	return list
}
