package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// proof is a set of parts one of which crashes upstreams.
type proof struct {
	parts []uint64
	since time.Time
	// own reports whether this table found the proof, and so has it stored.
	own bool
}

// provedBy returns the suspect parts of a trial, one of which is proved to be the cause of a
// crash. There are none if a part of another request on the upstream may be the cause as
// well, or if no earlier trial of one of them has failed.
func (t *PartTable) provedBy(trial trialOf, l *partLosses, now time.Time) []uint64 {
	// Parts that were cleared since the trial began are not the cause.
	suspects := slices.DeleteFunc(slices.Clone(trial.parts), func(part uint64) bool {
		r, known := t.records.Peek(part)
		return !known || len(r.crashes) < suspectPartCrashes || !r.wasIn(l.crash)
	})
	for part := range l.parts {
		if !slices.Contains(trial.parts, part) && t.isSuspect(part, 0, now) && !t.explainedBy(part, suspects) {
			return nil
		}
	}
	evidence := 0
	for _, part := range suspects {
		r, _ := t.records.Peek(part)
		r.evidence += int(trial.kind)
		evidence = max(evidence, r.evidence)
	}
	if evidence < provingEvidence {
		return nil
	}
	return suspects
}

// explainedBy reports whether one of the suspects was in all crashes of the part, and in
// others.
func (t *PartTable) explainedBy(part uint64, suspects []uint64) bool {
	r, known := t.records.Peek(part)
	return known && slices.ContainsFunc(suspects, func(one uint64) bool {
		s, known := t.records.Peek(one)
		return known && len(s.crashes) > len(r.crashes) &&
			!slices.ContainsFunc(r.crashes, func(c partCrash) bool { return !s.wasIn(c.id) })
	})
}

// wasIn reports whether the part was in flight in a crash.
func (r *partRecord) wasIn(id uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c partCrash) bool { return c.id == id })
}

// isProved reports whether the part alone is known to crash upstreams.
func (t *PartTable) isProved(part uint64) bool {
	return slices.ContainsFunc(t.proofs, func(p *proof) bool { return len(p.parts) == 1 && p.parts[0] == part })
}

// prove records that one of the parts crashes upstreams.
func (t *PartTable) prove(parts []uint64, now time.Time, own bool) Effects {
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	for _, known := range t.proofs {
		if slices.Equal(known.parts, parts) {
			known.own = known.own || own
			return Effects{}
		}
	}
	if len(t.proofs) >= maxProofs {
		t.proofs = slices.Delete(t.proofs, 0, 1)
	}
	p := &proof{parts: parts, since: now, own: own}
	t.proofs = append(t.proofs, p)
	var e Effects
	if own {
		e.Saved, e.Notices = []Record{t.recordOf(p)}, []Notice{t.noticeOf(p)}
	}
	e.Explained = t.explain(p)
	return e
}

// explain removes the crashes of a part that is known to crash upstreams from the records
// of all others, and returns them.
func (t *PartTable) explain(p *proof) []uint64 {
	if len(p.parts) != 1 {
		return nil
	}
	cause, known := t.records.Peek(p.parts[0])
	if !known {
		return nil
	}
	var ids []uint64
	for _, c := range cause.crashes {
		ids = append(ids, c.id)
	}
	for _, part := range t.records.Keys() {
		if part == p.parts[0] || t.isProved(part) {
			continue
		}
		for _, id := range ids {
			t.removeCrash(part, id)
		}
	}
	return ids
}

// Notices returns notices of all proofs and of all parts that were in enough crashes to be
// suspects.
func (t *PartTable) Notices() []Notice {
	var list []Notice
	for _, p := range t.proofs {
		list = append(list, t.noticeOf(p))
	}
	for _, part := range t.records.Keys() {
		r, _ := t.records.Peek(part)
		if crashes := r.confirmedCrashes(); len(crashes) >= suspectPartCrashes && !t.isProved(part) {
			list = append(list, Notice{Fingerprint: part, Crashes: crashes, IsPart: true})
		}
	}
	return list
}

// noticeOf returns the notice of a proof.
func (t *PartTable) noticeOf(p *proof) Notice {
	record := t.recordOf(p)
	return Notice{Fingerprint: record.Fingerprint, Crashes: record.Crashes, Parts: record.Parts}
}

// Records returns the records of all proofs.
func (t *PartTable) Records() []Record {
	list := make([]Record, 0, len(t.proofs))
	for _, p := range t.proofs {
		list = append(list, t.recordOf(p))
	}
	return list
}

// recordOf returns what is stored of a proof. Its fingerprint identifies the set of parts.
func (t *PartTable) recordOf(p *proof) Record {
	d := xxhash.New()
	for _, part := range p.parts {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, part)) // never fails
	}
	r := Record{Fingerprint: d.Sum64(), Parts: p.parts, Since: p.since}
	if len(p.parts) == 1 {
		if known, ok := t.records.Peek(p.parts[0]); ok {
			r.Crashes = known.confirmedCrashes()
		}
	}
	return r
}

// Restore adds a record that an instance has kept.
func (t *PartTable) Restore(r Record, now time.Time) {
	since := r.sinceBy(now)
	if len(r.Parts) == 1 {
		t.addCrashes(r.Parts[0], r.Crashes, since)
	}
	t.prove(r.Parts, since, true)
}

// containsAll reports whether list contains all values.
func containsAll(list, values []uint64) bool {
	for _, v := range values {
		if !slices.Contains(list, v) {
			return false
		}
	}
	return true
}
