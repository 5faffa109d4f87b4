package reclaim

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Reason is why a hold was released.
type Reason string

// Reasons to release a hold.
const (
	ReasonDeadline  Reason = "past its deadline"
	ReasonRestarted Reason = "owner has restarted"
	ReasonOwnerGone Reason = "owner is gone"
	ReasonNotNeeded Reason = "owner does not need it"
	ReasonNoOwner   Reason = "no owner named"
)

// suspicion is why a hold may have to be released after a grace period.
type suspicion int

const (
	notSuspected suspicion = iota
	// ownerMissing: the owner is not among the members, or only with an earlier
	// incarnation.
	ownerMissing
	// noDeadline: the owner is a member and the hold has no deadline.
	noDeadline
	// noOwner: the name of the hold contains no owner.
	noOwner
)

// gracePeriodLength returns how long a suspicion must last before the hold may be
// released.
func (s suspicion) gracePeriodLength() time.Duration {
	if s == noOwner {
		return noOwnerGracePeriod
	}
	return ownerGracePeriod
}

// classify returns a reason to release a hold immediately, or the suspicion that
// starts a grace period.
func classify(hold upstream.Hold, members []peer.Member, now time.Time) (Reason, suspicion) {
	if hold.DeadlineUnixMs != 0 && now.After(time.UnixMilli(hold.DeadlineUnixMs).Add(maxClockSkew)) {
		return ReasonDeadline, notSuspected
	}
	name, ok := parseName(hold.Name)
	if !ok {
		return "", noOwner
	}
	for _, m := range members {
		if m.ID != name.owner {
			continue
		}
		switch {
		case m.Incarnation > name.incarnation:
			return ReasonRestarted, notSuspected
		case m.Incarnation < name.incarnation:
			// The member list shows the owner's previous incarnation.
			return "", ownerMissing
		case hold.DeadlineUnixMs == 0:
			return "", noDeadline
		}
		return "", notSuspected
	}
	return "", ownerMissing
}
