package reclaim

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Reason says why a hold was released.
type Reason string

// Reasons to release a hold.
const (
	ReasonDeadline  Reason = "past its deadline"
	ReasonRestarted Reason = "owner has restarted"
	ReasonOwnerGone Reason = "owner is gone"
	ReasonNotNeeded Reason = "owner does not need it"
	ReasonUnnamed   Reason = "no owner named"
)

// doubt is why a hold might be released after a grace period.
type doubt int

const (
	noDoubt doubt = iota
	// ownerMissing: the owner is not among the members.
	ownerMissing
	// endless: the owner is a member and the hold has no deadline.
	endless
	// unnamed: the name gives no owner.
	unnamed
)

// grace returns how long a doubt must last.
func (d doubt) grace() time.Duration {
	if d == unnamed {
		return unnamedGrace
	}
	return ownerGrace
}

// judge returns a reason to release a hold at once, or the doubt about it.
func judge(hold upstream.Hold, members []peer.Member, now time.Time) (Reason, doubt) {
	if hold.DeadlineUnixMs != 0 && now.After(time.UnixMilli(hold.DeadlineUnixMs).Add(deadlineMargin)) {
		return ReasonDeadline, noDoubt
	}
	name, ok := parseName(hold.Name)
	if !ok {
		return "", unnamed
	}
	for _, m := range members {
		if m.ID != name.owner {
			continue
		}
		switch {
		case m.Incarnation > name.incarnation:
			return ReasonRestarted, noDoubt
		case m.Incarnation < name.incarnation:
			// Our view of the owner is from before its restart.
			return "", ownerMissing
		case hold.DeadlineUnixMs == 0:
			return "", endless
		}
		return "", noDoubt
	}
	return "", ownerMissing
}
