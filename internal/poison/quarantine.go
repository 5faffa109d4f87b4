package poison

import (
	"slices"
	"time"
)

// Record is what is kept of a fingerprint beyond the life of an instance, if it is
// quarantined or will be with its next crash.
type Record struct {
	Fingerprint uint64
	Crashes     []Crash
	// Parts is set in the record of a proof: one of these prompt parts crashes upstreams.
	// The fingerprint is then that of the set, and the crashes are those of the part if
	// it is a single one.
	Parts []uint64
	// Since is the time of the last crash.
	Since time.Time
}

// Expired reports whether the record no longer applies.
func (q Record) Expired(now time.Time) bool { return now.Sub(q.Since) > quarantineTime }

// sinceBy returns the time of the last crash. A time in the future, by the clock of the
// instance that wrote the record, counts as now.
func (q Record) sinceBy(now time.Time) time.Time {
	if q.Since.After(now) {
		return now
	}
	return q.Since
}

// Record returns the record of a fingerprint, and false if it has too few crashes.
func (t *Table) Record(fingerprint uint64) (Record, bool) {
	s, known := t.suspects.Peek(fingerprint)
	if !known || !s.recorded() {
		return Record{}, false
	}
	return Record{Fingerprint: fingerprint, Crashes: slices.Clone(s.crashes), Since: s.lastCrash}, true
}

// recorded reports whether the suspect is quarantined or will be with its next crash.
func (s *suspect) recorded() bool { return len(s.crashes) >= maxCrashes-1 }

// Records returns the records of all fingerprints that have one.
func (t *Table) Records() []Record {
	var list []Record
	for _, fingerprint := range t.suspects.Keys() {
		if q, recorded := t.Record(fingerprint); recorded {
			list = append(list, q)
		}
	}
	return list
}

// Notices returns notices of all fingerprints that have a record.
func (t *Table) Notices() []Notice {
	var list []Notice
	for _, r := range t.Records() {
		list = append(list, Notice{Fingerprint: r.Fingerprint, Crashes: r.Crashes})
	}
	return list
}

// Restore adds a record that an instance has kept.
func (t *Table) Restore(q Record, now time.Time) {
	since := q.sinceBy(now)
	for _, c := range q.Crashes {
		t.addCrash(q.Fingerprint, c, since)
	}
}
