package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of a PartTable.
const (
	// suspectPartCrashes is the number of crashes after which a part is a suspect.
	suspectPartCrashes = 2
	// provingTrials is the number of full trials of a part that must crash their upstreams
	// for a proof, or twice as many partial ones. One may have been beside the first
	// request with another crashing part.
	provingTrials   = 2
	provingEvidence = provingTrials * int(FullTrial)
	// excessAnswers is by how many the requests with a part that were answered since
	// its first crash must exceed its crashes for it to be no suspect. A part that
	// crashes each upstream has no more answers than crashes and requests in flight.
	excessAnswers = 3
	// partSuspectTime is how long a part remains a suspect after its last crash. It is
	// longer than a quarantine, so that one request at a time is sent after that.
	partSuspectTime = 2 * quarantineTime
	// maxPartCrashes bounds the crashes that are recorded of one part.
	maxPartCrashes = 16
	// maxProofs bounds the proofs; the oldest are dropped first.
	maxProofs = 1024
	// MaxParts bounds the parts of one request.
	MaxParts = 64
	// TrialTime is how long a request must have been answered to show that its parts do
	// not crash upstreams. A part that does crashes them as their answer begins.
	TrialTime = time.Second
)

// Trial is whether a request was sent as a trial of its suspect parts, and how much its crash
// then proves.
type Trial int

// Kinds of trials.
const (
	NoTrial Trial = 0
	// PartialTrial: it is not known which requests of other instances ran beside it.
	PartialTrial Trial = 1
	// FullTrial: all requests that ran beside it are known.
	FullTrial Trial = 2
)

// trialOf is the trial of a request with the parts.
type trialOf struct {
	parts []uint64
	kind  Trial
}

// PartTable finds prompt parts that crash the upstreams on which a request with them
// begins to be answered. Many sound requests share their other parts with such requests
// or run beside them, so being in flight in crashes makes a part only a suspect. Requests
// with a suspect part run one at a time, as trials, on different upstreams. A request that
// is answered clears its parts. Trials that crash their upstreams prove that one of the
// suspect parts of the last one is a cause, and requests that contain all of these are
// refused; as soon as another request clears some of them, those that contain the remaining
// ones.
//
// A PartTable is not safe for concurrent use.
type PartTable struct {
	records *simplelru.LRU[uint64, *partRecord]
	// pending holds the losses that are neither confirmed as a crash nor dismissed, by
	// upstream.
	pending map[string]*partLosses
	proofs  []*proof
	// trials counts the trials in flight, by suspect part.
	trials map[uint64]int
}

// partRecord holds the crashes of a part since it was last cleared, the earliest first.
type partRecord struct {
	crashes []partCrash
	// answered counts the requests with the part whose first answer arrived since the
	// first crash.
	answered int
	// evidence sums up the trials of the part that crashed their upstreams.
	evidence int
}

// partCrash is one crash in which a request with the part was in flight, or a loss that
// may be one.
type partCrash struct {
	id        uint64
	at        time.Time
	confirmed bool
}

// partLosses are the parts of the requests that were lost on one incarnation of an
// upstream.
type partLosses struct {
	crash  uint64
	lastAt time.Time
	// parts holds whether the loss of a part counts already, or only if the upstream is
	// found to have crashed.
	parts map[uint64]bool
	// trials lists the trials among the requests.
	trials []trialOf
}

// Effects are the consequences of a change of a PartTable.
type Effects struct {
	// Notices are for the other instances.
	Notices []Notice
	// Saved and Released are the records that must be stored and removed.
	Saved, Released []Record
	// Explained lists crashes of which a single part is known to be the cause.
	Explained []uint64
}

// add appends the effects of another change.
func (e *Effects) add(more Effects) {
	e.Notices = append(e.Notices, more.Notices...)
	e.Saved = append(e.Saved, more.Saved...)
	e.Released = append(e.Released, more.Released...)
	e.Explained = append(e.Explained, more.Explained...)
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	records, err := simplelru.NewLRU[uint64, *partRecord](maxSuspects, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &PartTable{records: records, pending: map[string]*partLosses{}, trials: map[uint64]int{}}
}

// Assessment is how a request must be treated, given its parts.
type Assessment struct {
	// Verdict is Clear, Suspect, Pending or Quarantined. A Suspect must be sent as a
	// trial; a Pending one waits for the result of another trial,
	// in flight or lost.
	Verdict Verdict
	// Suspects are the suspect parts, if the verdict is Suspect or Pending.
	Suspects []uint64
	// Remaining is the remaining time of the quarantine.
	Remaining time.Duration
}

// Assess returns how a request with the parts must be treated. unrecorded is the number
// of losses of the request that are not recorded yet.
func (t *PartTable) Assess(parts []uint64, unrecorded int, now time.Time) Assessment {
	if t.records.Len() == 0 && len(t.proofs) == 0 {
		return Assessment{}
	}
	t.expire(now)
	var a Assessment
	for _, p := range t.proofs {
		if containsAll(parts, p.parts) {
			a.Verdict, a.Remaining = Quarantined, max(a.Remaining, p.since.Add(quarantineTime).Sub(now))
		}
	}
	if a.Verdict == Quarantined {
		return a
	}
	for _, part := range parts {
		if !t.isSuspect(part, unrecorded, now) || slices.Contains(a.Suspects, part) {
			continue
		}
		a.Suspects = append(a.Suspects, part)
		a.Verdict = max(a.Verdict, Suspect)
		if t.trials[part] > 0 || t.trialPending(part) {
			a.Verdict = Pending
		}
	}
	return a
}

// BeginTrial records that a request is sent as a trial of its suspect parts. EndTrial must
// be called with the same parts when the request ends.
func (t *PartTable) BeginTrial(suspects []uint64) {
	for _, part := range suspects {
		t.trials[part]++
	}
}

// EndTrial records the end of a trial.
func (t *PartTable) EndTrial(suspects []uint64) {
	for _, part := range suspects {
		if t.trials[part]--; t.trials[part] <= 0 {
			delete(t.trials, part)
		}
	}
}

// isSuspect reports whether a part was in flight in enough crashes or losses.
func (t *PartTable) isSuspect(part uint64, unrecorded int, now time.Time) bool {
	r, known := t.records.Peek(part)
	if !known {
		return false
	}
	if now.Sub(r.crashes[len(r.crashes)-1].at) > partSuspectTime {
		t.records.Remove(part)
		return false
	}
	n := len(r.crashes)
	return n+unrecorded >= suspectPartCrashes && r.answered < n+excessAnswers
}

// trialPending reports whether a trial of the part was lost and it is not known yet
// whether its upstream crashed.
func (t *PartTable) trialPending(part uint64) bool {
	for _, l := range t.pending {
		for _, trial := range l.trials {
			if slices.Contains(trial.parts, part) {
				return true
			}
		}
	}
	return false
}

// Lost records the parts of a request that was lost on an upstream, and whether it was a
// trial of them. boot identifies the upstream's incarnation at that time; it is empty if unknown.
func (t *PartTable) Lost(upstreamID, boot string, parts []uint64, trial Trial, now time.Time) {
	l := t.losses(upstreamID, boot, now)
	if l == nil {
		return
	}
	for _, part := range parts {
		l.parts[part] = true
		t.addCrash(part, partCrash{id: l.crash, at: now})
	}
	if trial != NoTrial {
		l.trials = append(l.trials, trialOf{parts: parts, kind: trial})
	}
}

// Stalled records the parts of a request that got no answer from an upstream that answered
// others meanwhile. They count as lost only once the upstream is found to have crashed, since an
// overload makes many requests stall at once.
func (t *PartTable) Stalled(upstreamID, boot string, parts []uint64, now time.Time) {
	l := t.losses(upstreamID, boot, now)
	if l == nil {
		return
	}
	for _, part := range parts {
		if _, lost := l.parts[part]; !lost {
			l.parts[part] = false
		}
	}
}

// losses returns the pending losses on an upstream, to which those of one more request are
// added now; nil if there are too many.
func (t *PartTable) losses(upstreamID, boot string, now time.Time) *partLosses {
	t.expire(now)
	l := t.pending[upstreamID]
	if l == nil {
		if len(t.pending) >= maxPendingUpstreams {
			return nil
		}
		l = &partLosses{crash: CrashID(upstreamID, boot), parts: map[uint64]bool{}}
		t.pending[upstreamID] = l
	}
	l.lastAt = now
	if len(l.parts) >= maxPendingLosses {
		return nil
	}
	return l
}

// addCrash adds a crash to the record of a part; each crash counts once.
func (t *PartTable) addCrash(part uint64, c partCrash) {
	r, known := t.records.Get(part)
	if !known {
		r = &partRecord{}
		t.records.Add(part, r)
	}
	for i := range r.crashes {
		if r.crashes[i].id == c.id {
			r.crashes[i].confirmed = r.crashes[i].confirmed || c.confirmed
			return
		}
	}
	if len(r.crashes) >= maxPartCrashes {
		r.crashes = slices.Delete(r.crashes, 1, 2) // the first says since when, the last ones prove
	}
	r.crashes = append(r.crashes, c)
}

// removeCrash removes a crash from the record of a part.
func (t *PartTable) removeCrash(part, id uint64) {
	r, known := t.records.Peek(part)
	if !known {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return c.id == id })
	if len(r.crashes) == 0 {
		t.records.Remove(part)
	}
}

// Confirm records that an upstream crashed. It reports whether a part that is known to crash
// upstreams was in flight and so explains the crash.
func (t *PartTable) Confirm(upstreamID string, now time.Time) (e Effects, explained bool) {
	l := t.pending[upstreamID]
	if l == nil {
		return Effects{}, false
	}
	delete(t.pending, upstreamID)
	id := l.crash
	for part, counts := range l.parts {
		if !counts {
			t.addCrash(part, partCrash{id: id, at: l.lastAt})
		}
		if t.isProved(part) {
			explained = true
		}
	}
	if explained {
		for part := range l.parts {
			if !t.isProved(part) {
				t.removeCrash(part, id)
			}
		}
		return Effects{Explained: []uint64{id}}, true
	}
	for part := range l.parts {
		if r, known := t.records.Peek(part); known {
			for i := range r.crashes {
				r.crashes[i].confirmed = r.crashes[i].confirmed || r.crashes[i].id == id
			}
			e.Notices = append(e.Notices, Notice{Fingerprint: part, Crashes: r.confirmedCrashes(), IsPart: true})
		}
	}
	for _, trial := range l.trials {
		if suspects := t.provedBy(trial, l, now); len(suspects) > 0 {
			e.add(t.prove(suspects, now, true))
		}
	}
	return e, false
}

// confirmedCrashes returns the crashes of the part in the form of notices and records.
func (r *partRecord) confirmedCrashes() []Crash {
	var list []Crash
	for _, c := range r.crashes {
		if c.confirmed {
			list = append(list, Crash{ID: c.id})
		}
	}
	return list
}

// Dismiss records that the upstream was alive at the time seen, with the same boot. Losses
// before that time were broken connections and are dropped.
func (t *PartTable) Dismiss(upstreamID string, seen time.Time) {
	if l := t.pending[upstreamID]; l != nil && seen.After(l.lastAt) {
		t.drop(upstreamID, l)
	}
}

// drop drops the losses on an upstream.
func (t *PartTable) drop(upstreamID string, l *partLosses) {
	delete(t.pending, upstreamID)
	for part := range l.parts {
		t.removeCrash(part, l.crash)
	}
}

// expire drops the losses that were pending for longer than PendingTimeout, and the
// proofs whose quarantine has ended.
func (t *PartTable) expire(now time.Time) {
	for id, l := range t.pending {
		if now.Sub(l.lastAt) > PendingTimeout {
			t.drop(id, l)
		}
	}
	t.proofs = slices.DeleteFunc(t.proofs, func(p *proof) bool { return now.Sub(p.since) > quarantineTime })
}

// Answered records that the first answer to a request with the parts arrived.
func (t *PartTable) Answered(parts []uint64) {
	for _, part := range parts {
		if r, known := t.records.Peek(part); known {
			r.answered++
		}
	}
}

// Served clears the parts of a request that began to be answered at the given time and
// did not crash its upstream, if their crashes began earlier.
func (t *PartTable) Served(parts []uint64, began time.Time) Effects {
	var e Effects
	for _, part := range parts {
		blamed, since := t.blamed(part)
		if !blamed || !began.After(since) {
			continue
		}
		// The other instances see for themselves that a part in one crash is sound.
		if r, known := t.records.Peek(part); !known || len(r.crashes) >= suspectPartCrashes {
			e.Notices = append(e.Notices, Notice{Fingerprint: part, Cleared: true, IsPart: true})
		}
		e.add(t.clear(part))
	}
	return e
}

// blamed reports whether a part was in flight in crashes, or is in a proof although they
// have another cause or are not known here, and since when.
func (t *PartTable) blamed(part uint64) (blamed bool, since time.Time) {
	if r, known := t.records.Peek(part); known {
		return true, r.crashes[0].at
	}
	for _, p := range t.proofs {
		if slices.Contains(p.parts, part) {
			return true, p.since
		}
	}
	return false, time.Time{}
}

// clear removes a part's record, and the part from all proofs.
func (t *PartTable) clear(part uint64) Effects {
	var e Effects
	t.records.Remove(part)
	list := t.proofs
	t.proofs = nil
	for _, p := range list {
		if !slices.Contains(p.parts, part) {
			t.proofs = append(t.proofs, p)
			continue
		}
		if p.own {
			e.Released = append(e.Released, t.recordOf(p))
		}
		rest := slices.DeleteFunc(slices.Clone(p.parts), func(one uint64) bool { return one == part })
		if len(rest) > 0 {
			e.add(t.prove(rest, p.since, p.own))
		}
	}
	return e
}

// Observe applies a notice of another instance about a part or a proof.
func (t *PartTable) Observe(n Notice, now time.Time) Effects {
	switch {
	case len(n.Parts) > 0:
		if len(n.Parts) == 1 {
			t.addCrashes(n.Parts[0], n.Crashes, now)
		}
		return t.prove(n.Parts, now, false)
	case n.Cleared:
		e := t.clear(n.Fingerprint)
		e.Notices = nil // the sender's notice has the same effect on all instances
		return e
	}
	t.addCrashes(n.Fingerprint, n.Crashes, now)
	return Effects{}
}

// addCrashes adds confirmed crashes that another instance reported or that were stored.
func (t *PartTable) addCrashes(part uint64, crashes []Crash, at time.Time) {
	for _, c := range crashes {
		t.addCrash(part, partCrash{id: c.ID, at: at, confirmed: true})
	}
}
