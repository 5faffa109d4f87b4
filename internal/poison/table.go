// Package poison finds requests that crash the upstreams on which they run. Each
// request that is in flight when an upstream crashes becomes a suspect and runs
// alone from then on. A suspect that completes is cleared. One that was in flight
// in quarantineCrashes crashes, in one of them alone, or in maxCrashes crashes, is
// quarantined: it is refused for quarantineTime. Instances notify one another of
// the crashes that they saw.
//
// Requests are recorded by fingerprint, a hash that identifies workspace and body, so
// that repeats count as the same request. A lost connection alone does not prove a
// crash: the loss is pending until the upstream is found to have crashed (Confirm)
// or to have stayed alive (Dismiss).
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of a Table.
const (
	// quarantineCrashes is the number of crashes after which a fingerprint is
	// quarantined if it was alone in one of them.
	quarantineCrashes = 2
	// maxCrashes is the number of crashes after which a fingerprint is
	// quarantined even if it was never alone.
	maxCrashes = 3
	// suspectTime is how long a suspect is recorded after its last crash.
	suspectTime = 10 * time.Minute
	// quarantineTime is how long after its last crash a quarantined fingerprint
	// is refused.
	quarantineTime = 10 * time.Minute
	// PendingTimeout is how long a loss stays pending, that is, neither confirmed as a
	// crash nor dismissed as a broken connection: some seconds longer than an upstream
	// that crashed silently takes to restart or to leave the list.
	PendingTimeout = 15 * time.Second
	// maxDismissed is the number of losses within PendingTimeout that may be dismissed as
	// broken connections before a fingerprint must wait: an upstream that crashed and
	// restarted faster than it was probed looks as if it had never crashed.
	maxDismissed = 3
	// MinSilence is how long an upstream must have sent nothing to an abandoned attempt for
	// it to be a possible crash.
	MinSilence = 250 * time.Millisecond
	// maxSuspects bounds the suspects; the least recently used are evicted.
	maxSuspects = 8192
	// maxPendingUpstreams bounds the upstreams with pending losses, and
	// maxPendingLosses the pending losses of one upstream.
	maxPendingUpstreams = 1024
	maxPendingLosses    = 512
)

// Verdict determines how a request must be treated, given the crashes of its
// fingerprint.
type Verdict int

// Verdicts in ascending severity.
const (
	// Clear means that the request is not suspected.
	Clear Verdict = iota
	// Suspect means that the request must run alone.
	Suspect
	// Pending means that the request was lost again and must wait until it is
	// known whether the upstreams crashed.
	Pending
	// Quarantined means that the request is quarantined and must be refused.
	Quarantined
)

// Crash is one crash of one upstream.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ID is the same on all instances that saw the crash.
	ID uint64
	// Alone reports whether the fingerprint was the only request, or the only suspect,
	// on the upstream.
	Alone bool
}

// CrashID returns the ID of the crash of one incarnation of an upstream.
func CrashID(upstreamID, boot string) uint64 {
	return xxhash.Sum64String(upstreamID + "\x00" + boot)
}

// suspect is the record of a fingerprint that was in flight in crashes.
type suspect struct {
	crashes   []Crash
	lastCrash time.Time
	// own reports whether this table confirmed one of the crashes.
	own bool
}

// loss is a lost attempt that a crash may have caused.
type loss struct {
	fingerprint uint64
	alone       bool
	// abandoned reports whether the attempt ended by the caller's patience or deadline.
	abandoned bool
}

// pendingLosses are the losses on one upstream that are neither confirmed as a crash
// nor dismissed.
type pendingLosses struct {
	boot string
	// lastAt is the time of the last loss.
	lastAt time.Time
	losses []loss
}

// Table holds the suspects and pending losses of one instance. It is not safe for
// concurrent use.
type Table struct {
	suspects *simplelru.LRU[uint64, *suspect]
	pending  map[string]*pendingLosses
	// pendingCounts holds the number of pending losses of each fingerprint that has any.
	pendingCounts map[uint64]int
	// early holds, by upstream and in order of time, the attempts whose callers left early and that a
	// crash may still explain.
	early map[string][]earlyLoss
	// dismissed holds the times of the last maxDismissed losses of a fingerprint that were
	// dismissed since it last completed, the earliest first.
	dismissed *simplelru.LRU[uint64, []time.Time]
	outage    outage
}

// NewTable returns an empty table.
func NewTable() *Table {
	suspects, err := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	dismissed, err := simplelru.NewLRU[uint64, []time.Time](maxSuspects, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &Table{suspects: suspects, pending: map[string]*pendingLosses{}, pendingCounts: map[uint64]int{}, early: map[string][]earlyLoss{}, dismissed: dismissed, outage: newOutage()}
}

// Lost records an attempt whose connection to an upstream was lost. boot identifies
// the upstream's incarnation at that time; it is empty if unknown.
func (t *Table) Lost(upstreamID, boot string, fingerprint uint64, alone bool, now time.Time) {
	t.lost(upstreamID, boot, loss{fingerprint: fingerprint, alone: alone}, now)
}

// Abandoned records an attempt that was given up while its upstream had sent nothing for
// MinSilence or longer, which may have crashed without a sign. It is a loss like any other,
// except that it is not held against the request that its callers often leave.
func (t *Table) Abandoned(upstreamID, boot string, fingerprint uint64, alone bool, now time.Time) {
	t.lost(upstreamID, boot, loss{fingerprint: fingerprint, alone: alone, abandoned: true}, now)
}

func (t *Table) lost(upstreamID, boot string, l loss, now time.Time) {
	t.expire(now)
	p := t.pending[upstreamID]
	if p == nil {
		if len(t.pending) >= maxPendingUpstreams {
			return
		}
		p = &pendingLosses{boot: boot}
		t.pending[upstreamID] = p
	}
	p.lastAt = now
	if len(p.losses) < maxPendingLosses {
		p.losses = append(p.losses, l)
		t.pendingCounts[l.fingerprint]++
	}
}

// Confirm records that the upstream crashed: it has another boot or does not answer
// probes. The requests that were lost there become suspects. While many upstreams
// crash together, as when a data centre is lost, this applies only to fingerprints
// that were lost more than once or are suspects already. Confirm returns the notices
// for the other instances.
func (t *Table) Confirm(upstreamID string, now time.Time) []Notice {
	t.confirmEarly(upstreamID, now)
	p := t.pending[upstreamID]
	if p == nil {
		return nil
	}
	t.dropPending(upstreamID)
	id := CrashID(upstreamID, p.boot)
	isOutage := t.outage.crashed(upstreamID, now)
	notices := make([]Notice, 0, len(p.losses))
	for _, l := range p.losses {
		earlier, repeated := t.outage.recordLoss(l.fingerprint, id, now)
		if isOutage && !repeated && !t.suspects.Contains(l.fingerprint) {
			continue
		}
		if repeated {
			t.addCrash(l.fingerprint, Crash{ID: earlier}, now)
		}
		s := t.addCrash(l.fingerprint, Crash{ID: id, Alone: l.alone}, now)
		s.own = true
		notices = append(notices, Notice{Fingerprint: l.fingerprint, Crashes: s.crashes})
	}
	return notices
}

// Dismiss records that the upstream was alive at the time seen, with the same boot.
// Losses before that time were broken connections, or callers who left, and are dropped. dark
// reports whether the upstream answered no probe for a time after the losses, so that it may
// have crashed and restarted without a new entry.
func (t *Table) Dismiss(upstreamID string, seen time.Time, dark bool) {
	t.Alive(upstreamID, seen)
	p := t.pending[upstreamID]
	if p == nil || !seen.After(p.lastAt) {
		return
	}
	for _, l := range p.losses {
		if l.abandoned && !dark {
			continue
		}
		times, _ := t.dismissed.Peek(l.fingerprint)
		times = append(slices.Clip(times), p.lastAt)
		t.dismissed.Add(l.fingerprint, times[max(0, len(times)-maxDismissed):])
	}
	t.dropPending(upstreamID)
}

// oftenDismissed reports whether maxDismissed losses of the fingerprint within
// PendingTimeout were dismissed.
func (t *Table) oftenDismissed(fingerprint uint64, now time.Time) bool {
	times, known := t.dismissed.Peek(fingerprint)
	return known && len(times) >= maxDismissed && now.Sub(times[0]) <= PendingTimeout
}

// Explain records that the crashes have another cause than a request as a whole. Requests
// without other crashes are no suspects any more. It returns the records that no longer
// apply.
func (t *Table) Explain(crashes []uint64) (released []Record) {
	if len(crashes) == 0 {
		return nil
	}
	for _, fingerprint := range t.suspects.Keys() {
		s, _ := t.suspects.Peek(fingerprint)
		record, recorded := t.Record(fingerprint)
		s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return slices.Contains(crashes, c.ID) })
		if len(s.crashes) == 0 {
			t.suspects.Remove(fingerprint)
		}
		if recorded && !s.recorded() {
			released = append(released, record)
		}
	}
	return released
}

// DropLosses drops the pending losses on an upstream whose crash has another cause.
func (t *Table) DropLosses(upstreamID string) {
	delete(t.early, upstreamID)
	if t.pending[upstreamID] != nil {
		t.dropPending(upstreamID)
	}
}

// Completed clears a fingerprint whose request completed, pending losses included. It
// returns the notice for the other instances, and false if the fingerprint was no
// suspect.
func (t *Table) Completed(fingerprint uint64) (Notice, bool) {
	t.dropPendingLosses(fingerprint)
	t.dropEarly(fingerprint)
	t.dismissed.Remove(fingerprint)
	if _, known := t.suspects.Peek(fingerprint); !known {
		return Notice{}, false
	}
	t.suspects.Remove(fingerprint)
	return Notice{Fingerprint: fingerprint, Cleared: true}, true
}

// Verdict returns the verdict on a fingerprint and, if it is quarantined, the
// remaining time of the quarantine.
func (t *Table) Verdict(fingerprint uint64, now time.Time) (Verdict, time.Duration) {
	pending := t.pendingCount(fingerprint, now)
	s, known := t.suspects.Peek(fingerprint)
	if known && now.Sub(s.lastCrash) > suspectTime {
		t.suspects.Remove(fingerprint)
		known = false
	}
	switch {
	case known && s.quarantined():
		return Quarantined, s.lastCrash.Add(quarantineTime).Sub(now)
	case known && (pending > 0 || t.mayHaveCrashed(fingerprint, now)) || pending >= quarantineCrashes || t.oftenDismissed(fingerprint, now):
		return Pending, 0
	case known || pending > 0:
		return Suspect, 0
	}
	return Clear, 0
}

// Observe applies the notice of another instance. A notice that clears a
// fingerprint does not end a quarantine. Observe reports whether the notice gave a record
// to a fingerprint of which this table confirmed a crash, or quarantined it; the table of
// the sender may then not know it.
func (t *Table) Observe(n Notice, now time.Time) (recorded bool) {
	s, known := t.suspects.Peek(n.Fingerprint)
	had, was := known && s.recorded(), known && s.quarantined()
	if n.Cleared {
		if known && !was {
			t.suspects.Remove(n.Fingerprint)
		}
		return false
	}
	for _, c := range n.Crashes {
		s = t.addCrash(n.Fingerprint, c, now)
	}
	return s != nil && s.own && (!had && s.recorded() || !was && s.quarantined())
}

// Size returns the numbers of suspects and of upstreams with pending losses.
func (t *Table) Size() (suspects, pending int) { return t.suspects.Len(), len(t.pending) }

// addCrash adds a crash to the record of a fingerprint; each crash counts once.
func (t *Table) addCrash(fingerprint uint64, c Crash, now time.Time) *suspect {
	s, known := t.suspects.Get(fingerprint)
	if !known {
		s = &suspect{}
		t.suspects.Add(fingerprint, s)
	}
	for i := range s.crashes {
		if s.crashes[i].ID == c.ID {
			s.crashes[i].Alone = s.crashes[i].Alone || c.Alone
			return s
		}
	}
	if len(s.crashes) < maxCrashes {
		s.crashes = append(s.crashes, c)
	}
	s.lastCrash = now
	return s
}

// quarantined reports whether the crashes are enough for a quarantine.
func (s *suspect) quarantined() bool {
	if len(s.crashes) >= maxCrashes {
		return true
	}
	if len(s.crashes) < quarantineCrashes {
		return false
	}
	for _, c := range s.crashes {
		if c.Alone {
			return true
		}
	}
	return false
}

// pendingCount returns the number of upstreams on which a loss of the fingerprint is
// pending.
func (t *Table) pendingCount(fingerprint uint64, now time.Time) int {
	n := 0
	if t.pendingCounts[fingerprint] == 0 {
		return n
	}
	for _, p := range t.pending {
		if now.Sub(p.lastAt) <= PendingTimeout && p.has(fingerprint) {
			n++
		}
	}
	return n
}

// has reports whether a loss of the fingerprint is pending.
func (p *pendingLosses) has(fingerprint uint64) bool {
	for _, l := range p.losses {
		if l.fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// dropPending drops the pending losses on an upstream.
func (t *Table) dropPending(upstreamID string) {
	for _, l := range t.pending[upstreamID].losses {
		t.uncountPending(l.fingerprint)
	}
	delete(t.pending, upstreamID)
}

// dropPendingLosses drops the pending losses of a fingerprint.
func (t *Table) dropPendingLosses(fingerprint uint64) {
	if t.pendingCounts[fingerprint] == 0 {
		return
	}
	for _, p := range t.pending {
		p.losses = slices.DeleteFunc(p.losses, func(l loss) bool { return l.fingerprint == fingerprint })
	}
	delete(t.pendingCounts, fingerprint)
}

// uncountPending counts one pending loss of a fingerprint less.
func (t *Table) uncountPending(fingerprint uint64) {
	if t.pendingCounts[fingerprint]--; t.pendingCounts[fingerprint] <= 0 {
		delete(t.pendingCounts, fingerprint)
	}
}

// expire drops the losses that were pending for longer than PendingTimeout.
func (t *Table) expire(now time.Time) {
	for id, p := range t.pending {
		if now.Sub(p.lastAt) > PendingTimeout {
			t.dropPending(id)
		}
	}
}
