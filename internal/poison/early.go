package poison

import (
	"slices"
	"time"
)

// maxEarlyUpstreams bounds the upstreams, and maxEarlyLosses the attempts on each, that are remembered
// after their callers have left early.
const (
	maxEarlyUpstreams = 1024
	maxEarlyLosses    = 128
)

// earlyLoss is an attempt whose caller left before its upstream had been silent for MinSilence. boot is
// the upstream's incarnation, as in pendingLosses.
type earlyLoss struct {
	loss
	boot string
	at   time.Time
}

// LeftEarly records an attempt whose caller left before the upstream had been silent for MinSilence.
// Callers of sound upstreams do so all the time, so the attempt is no loss yet: it counts only if the
// upstream is found to have crashed (Confirm) before it is seen alive (Alive). boot is as in Lost.
func (t *Table) LeftEarly(upstreamID, boot string, fingerprint uint64, alone bool, now time.Time) {
	t.expireEarly(now)
	losses, known := t.early[upstreamID]
	if !known && len(t.early) >= maxEarlyUpstreams || len(losses) >= maxEarlyLosses {
		return
	}
	t.early[upstreamID] = append(losses, earlyLoss{loss{fingerprint: fingerprint, alone: alone, abandoned: true}, boot, now})
}

// HasEarly reports whether attempts are remembered whose callers left early.
func (t *Table) HasEarly() bool { return len(t.early) > 0 }

// EarlySince returns when the last caller left early whose attempt may have crashed the upstream, and
// false if there is none.
func (t *Table) EarlySince(upstreamID string, now time.Time) (time.Time, bool) {
	losses := t.early[upstreamID]
	if len(losses) == 0 || now.Sub(losses[len(losses)-1].at) > PendingTimeout {
		return time.Time{}, false
	}
	return losses[len(losses)-1].at, true
}

// Alive records that the upstream was alive, with the same boot, at the time seen: the attempts that
// were left early before did not crash it.
func (t *Table) Alive(upstreamID string, seen time.Time) {
	losses, known := t.early[upstreamID]
	if !known {
		return
	}
	t.setEarly(upstreamID, slices.DeleteFunc(losses, func(l earlyLoss) bool { return l.at.Before(seen) }))
}

// confirmEarly makes the attempts that were left early on an upstream that has crashed losses.
func (t *Table) confirmEarly(upstreamID string, now time.Time) {
	losses := t.early[upstreamID]
	delete(t.early, upstreamID)
	for _, l := range losses {
		if now.Sub(l.at) <= PendingTimeout {
			t.lost(upstreamID, l.boot, l.loss, now)
		}
	}
}

// mayHaveCrashed reports whether an attempt of the fingerprint was left early on an upstream whose fate
// is open.
func (t *Table) mayHaveCrashed(fingerprint uint64, now time.Time) bool {
	for _, losses := range t.early {
		if slices.ContainsFunc(losses, func(l earlyLoss) bool {
			return l.fingerprint == fingerprint && now.Sub(l.at) <= PendingTimeout
		}) {
			return true
		}
	}
	return false
}

// dropEarly drops the attempts of a fingerprint.
func (t *Table) dropEarly(fingerprint uint64) {
	for id, losses := range t.early {
		t.setEarly(id, slices.DeleteFunc(losses, func(l earlyLoss) bool { return l.fingerprint == fingerprint }))
	}
}

// expireEarly drops the attempts that are older than PendingTimeout.
func (t *Table) expireEarly(now time.Time) {
	for id, losses := range t.early {
		t.setEarly(id, slices.DeleteFunc(losses, func(l earlyLoss) bool { return now.Sub(l.at) > PendingTimeout }))
	}
}

func (t *Table) setEarly(upstreamID string, losses []earlyLoss) {
	if len(losses) == 0 {
		delete(t.early, upstreamID)
		return
	}
	t.early[upstreamID] = losses
}
