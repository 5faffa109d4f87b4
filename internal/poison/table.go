// Package poison finds requests that crash the upstreams which run them. Each
// request that is in flight when an upstream crashes becomes a suspect and is
// run alone from then on. A suspect that completes is cleared; one that crashes
// a second upstream while alone there, or maxCrashes upstreams in any way, is
// refused for a while. Instances exchange the crashes that they saw.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of a Table.
const (
	// condemnCrashes is the number of crashes, one of them alone, after which
	// a fingerprint is refused.
	condemnCrashes = 2
	// maxCrashes is the number of crashes after which it is refused anyhow.
	maxCrashes = 4
	// suspectTime is how long a suspect is remembered after its last crash.
	suspectTime = 10 * time.Minute
	// refuseTime is how long a condemned fingerprint is refused.
	refuseTime = 10 * time.Minute
	// verdictTime is how long a loss waits to be told from a cut connection.
	verdictTime = 5 * time.Second
	// maxSuspects bounds the fingerprints remembered; the oldest are dropped.
	maxSuspects = 8192
	// maxPendingUpstreams and maxPendingLosses bound the losses that wait.
	maxPendingUpstreams = 1024
	maxPendingLosses    = 512
)

// Verdict is what is known of a fingerprint.
type Verdict int

// Verdicts in ascending severity.
const (
	// Clear: nothing is known against the request.
	Clear Verdict = iota
	// Suspect: the request must run alone.
	Suspect
	// Pending: the request was lost again and it is not known yet whether
	// the upstreams crashed; it must wait.
	Pending
	// Condemned: the request is refused.
	Condemned
)

// Crash is one crash of one upstream.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ID is the same in each instance that saw the crash.
	ID uint64
	// Alone says that the fingerprint was the only request on the upstream.
	Alone bool
}

// CrashID names the crash of one incarnation of an upstream.
func CrashID(upstreamID, boot string) uint64 {
	return xxhash.Sum64String(upstreamID + "\x00" + boot)
}

type suspect struct {
	crashes   []Crash
	lastCrash time.Time
}

// loss is a lost attempt that may have been a crash.
type loss struct {
	fingerprint uint64
	alone       bool
}

type pendingLosses struct {
	boot   string
	at     time.Time
	losses []loss
}

// Table keeps the suspects of one instance. It is not safe for concurrent use.
type Table struct {
	suspects *simplelru.LRU[uint64, *suspect]
	pending  map[string]*pendingLosses
	outage   outage
}

// NewTable returns an empty table.
func NewTable() *Table {
	suspects, err := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &Table{suspects: suspects, pending: map[string]*pendingLosses{}, outage: newOutage()}
}

// Lost takes an attempt whose connection was lost on an upstream. boot is the
// upstream's incarnation at that time, and may be empty if unknown.
func (t *Table) Lost(upstreamID, boot string, fingerprint uint64, alone bool, now time.Time) {
	t.expire(now)
	p := t.pending[upstreamID]
	if p == nil {
		if len(t.pending) >= maxPendingUpstreams {
			return
		}
		p = &pendingLosses{boot: boot}
		t.pending[upstreamID] = p
	}
	p.at = now
	if len(p.losses) < maxPendingLosses {
		p.losses = append(p.losses, loss{fingerprint: fingerprint, alone: alone})
	}
}

// Confirm says that the upstream did crash: it has another boot or does not
// answer probes. It returns what the other instances must be told. While many
// upstreams crash at once, as when a data centre is lost, only fingerprints that
// were lost more than once are blamed.
func (t *Table) Confirm(upstreamID string, now time.Time) []Notice {
	p := t.pending[upstreamID]
	if p == nil {
		return nil
	}
	delete(t.pending, upstreamID)
	id := CrashID(upstreamID, p.boot)
	wide := t.outage.crashed(upstreamID, now)
	notices := make([]Notice, 0, len(p.losses))
	for _, l := range p.losses {
		earlier, repeated := t.outage.lostBefore(l.fingerprint, id, now)
		if wide && !repeated && !t.suspects.Contains(l.fingerprint) {
			continue
		}
		if repeated {
			t.blame(l.fingerprint, Crash{ID: earlier}, now)
		}
		s := t.blame(l.fingerprint, Crash{ID: id, Alone: l.alone}, now)
		notices = append(notices, Notice{Fingerprint: l.fingerprint, Crashes: s.crashes})
	}
	return notices
}

// Dismiss says that the upstream was seen alive with the same boot at a time
// after the losses there, so that they were cut connections.
func (t *Table) Dismiss(upstreamID string, seen time.Time) {
	if p := t.pending[upstreamID]; p != nil && seen.After(p.at) {
		delete(t.pending, upstreamID)
	}
}

// HasPending states whether losses on the upstream wait to be judged.
func (t *Table) HasPending(upstreamID string) bool { return t.pending[upstreamID] != nil }

// Completed clears a fingerprint that ran to its end. It returns what the other
// instances must be told, and false if there is nothing to tell.
func (t *Table) Completed(fingerprint uint64) (Notice, bool) {
	if _, known := t.suspects.Peek(fingerprint); !known {
		return Notice{}, false
	}
	t.suspects.Remove(fingerprint)
	return Notice{Fingerprint: fingerprint, Cleared: true}, true
}

// Verdict returns what is known of a fingerprint and, if it is condemned, for
// how long it is refused.
func (t *Table) Verdict(fingerprint uint64, now time.Time) (Verdict, time.Duration) {
	waiting := t.lossesNow(fingerprint, now)
	s, known := t.suspects.Peek(fingerprint)
	if known && now.Sub(s.lastCrash) > suspectTime {
		t.suspects.Remove(fingerprint)
		known = false
	}
	switch {
	case known && s.condemned():
		return Condemned, s.lastCrash.Add(refuseTime).Sub(now)
	case known && waiting > 0 || waiting >= condemnCrashes:
		return Pending, 0
	case known || waiting > 0:
		return Suspect, 0
	}
	return Clear, 0
}

// Observe takes another instance's notice.
func (t *Table) Observe(n Notice, now time.Time) {
	if n.Cleared {
		if s, known := t.suspects.Peek(n.Fingerprint); known && !s.condemned() {
			t.suspects.Remove(n.Fingerprint)
		}
		return
	}
	for _, c := range n.Crashes {
		t.blame(n.Fingerprint, c, now)
	}
}

// Size returns the numbers of suspects and of upstreams with pending losses.
func (t *Table) Size() (suspects, pending int) { return t.suspects.Len(), len(t.pending) }

// blame adds a crash to a fingerprint; each crash counts once.
func (t *Table) blame(fingerprint uint64, c Crash, now time.Time) *suspect {
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

// condemned applies the rule to the crashes seen.
func (s *suspect) condemned() bool {
	if len(s.crashes) >= maxCrashes {
		return true
	}
	if len(s.crashes) < condemnCrashes {
		return false
	}
	for _, c := range s.crashes {
		if c.Alone {
			return true
		}
	}
	return false
}

// lossesNow returns on how many upstreams a loss of the fingerprint waits to be
// judged.
func (t *Table) lossesNow(fingerprint uint64, now time.Time) int {
	n := 0
	for _, p := range t.pending {
		if now.Sub(p.at) <= verdictTime && p.has(fingerprint) {
			n++
		}
	}
	return n
}

func (p *pendingLosses) has(fingerprint uint64) bool {
	for _, l := range p.losses {
		if l.fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// expire drops losses that were never judged.
func (t *Table) expire(now time.Time) {
	for id, p := range t.pending {
		if now.Sub(p.at) > verdictTime {
			delete(t.pending, id)
		}
	}
}
