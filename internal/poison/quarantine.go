package poison

import (
	"slices"
	"time"
)

// Quarantine is the record of a quarantined fingerprint, as kept beyond the life of an
// instance.
type Quarantine struct {
	Fingerprint uint64
	Crashes     []Crash
	// Since is the time of the last crash.
	Since time.Time
}

// Expired reports whether the quarantine has ended.
func (q Quarantine) Expired(now time.Time) bool { return now.Sub(q.Since) > quarantineTime }

// Quarantine returns the record of a fingerprint, and false if it is not quarantined.
func (t *Table) Quarantine(fingerprint uint64) (Quarantine, bool) {
	s, known := t.suspects.Peek(fingerprint)
	if !known || !s.quarantined() {
		return Quarantine{}, false
	}
	return Quarantine{Fingerprint: fingerprint, Crashes: slices.Clone(s.crashes), Since: s.lastCrash}, true
}

// Quarantines returns the records of all quarantined fingerprints.
func (t *Table) Quarantines() []Quarantine {
	var list []Quarantine
	for _, fingerprint := range t.suspects.Keys() {
		if q, quarantined := t.Quarantine(fingerprint); quarantined {
			list = append(list, q)
		}
	}
	return list
}

// Restore adds a record that an instance has kept. A time in the future, by the clock of
// that instance, counts as now.
func (t *Table) Restore(q Quarantine, now time.Time) {
	since := q.Since
	if since.After(now) {
		since = now
	}
	for _, c := range q.Crashes {
		t.addCrash(q.Fingerprint, c, since)
	}
}
