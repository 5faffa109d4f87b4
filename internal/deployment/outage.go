package deployment

import (
	"slices"
	"time"
)

// Entries of live upstreams expire while the store is unavailable, and are written again
// once it is back. An entry that is missing after an outage may therefore belong to an
// upstream that works.
const (
	// reappearTimeout is how long entries that expired during an outage of the store may
	// be missing after it. The users promise about two seconds; an upstream that left
	// during the outage must get no work after two seconds either.
	reappearTimeout = 1800 * time.Millisecond
	// maxOrdinaryLoss is the share of a service's upstreams that may be missing together
	// without an outage. Entries that expire do so at the same time.
	maxOrdinaryLoss = 0.5
)

// outage judges from the calls of one instance whether entries may have expired while the
// store was unavailable. A call that fails alone proves nothing: its connection may have
// been the cause, and one missed heartbeat makes no entry expire.
type outage struct {
	// heartbeat returns the interval at which upstreams renew their entries. They expire after
	// several intervals.
	heartbeat func() time.Duration
	// answeredAt is when the store last answered a call.
	answeredAt time.Time
	// failingSince and failedAt are when the first and the last call failed after that; zero
	// if none has.
	failingSince, failedAt time.Time
	// provenUntil is the time until which all missing entries may have expired, since new
	// calls had failed for a heartbeat or longer.
	provenUntil time.Time
	// possibleUntil is the time until which entries may have expired if many are missing
	// together: there was no answer for a heartbeat or longer, but hardly a new call.
	possibleUntil time.Time
	// listed holds the upstreams of each service at the beginning of that time.
	listed map[string][]Upstream
}

// failed records a failed call. It reports whether it is the first one.
func (o *outage) failed(now time.Time) bool {
	o.failedAt = now
	if !o.failingSince.IsZero() {
		return false
	}
	o.failingSince = now
	return true
}

// answered records that the store answered a call while v was known. It reports whether
// calls had failed before.
func (o *outage) answered(v *View, now time.Time) bool {
	failed, failing, silent := !o.failingSince.IsZero(), o.failedAt.Sub(o.failingSince), now.Sub(o.answeredAt)
	o.answeredAt, o.failingSince, o.failedAt = now, time.Time{}, time.Time{}
	switch {
	case !failed:
		return false
	case failing >= o.heartbeat():
		o.provenUntil = now.Add(reappearTimeout)
	case silent >= o.heartbeat():
		o.possibleUntil, o.listed = now.Add(reappearTimeout), v.listed
	}
	return true
}

// relayed records that the store answered another instance, which judges by itself which
// entries may have expired.
func (o *outage) relayed(now time.Time) {
	o.answeredAt, o.failingSince, o.failedAt = now, time.Time{}, time.Time{}
}

// returned records that the store came back without some of its entries.
func (o *outage) returned(now time.Time) { o.provenUntil = now.Add(reappearTimeout) }

// mayReappear returns those of the missing upstreams whose entries may only have expired,
// and until when they may be written again.
func (o *outage) mayReappear(v *View, missing []string, now time.Time) ([]string, time.Time) {
	if now.Before(o.provenUntil) {
		return missing, o.provenUntil
	}
	if !now.Before(o.possibleUntil) {
		return nil, time.Time{}
	}
	var expired []string
	for _, before := range o.listed {
		var lost []string
		left := 0
		for _, u := range before {
			switch current, known := v.Upstream(u.ID); {
			case slices.Contains(missing, u.ID):
				lost = append(lost, u.ID)
			case known && !current.Leaving:
				left++
			}
		}
		if float64(left) < (1-maxOrdinaryLoss)*float64(len(before)) {
			expired = append(expired, lost...)
		}
	}
	return expired, o.possibleUntil
}
