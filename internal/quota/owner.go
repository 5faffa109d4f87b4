package quota

import (
	"math"
	"time"
)

const (
	// shortLeaseTTL and shortRenewInterval apply where the limit is nearly
	// used, so that shares follow demand within seconds.
	shortLeaseTTL      = 6 * time.Second
	shortRenewInterval = 2 * time.Second
	// longLeaseTTL and longRenewInterval apply while the demand is below
	// longLeaseFraction of the limit, to save messages.
	longLeaseTTL      = time.Minute
	longRenewInterval = 25 * time.Second
	// longLeaseFraction is the part of a limit that may be granted as long
	// leases. A new owner grants no more than the rest until all long leases
	// of the previous owner have expired.
	longLeaseFraction = 0.5
	// spareFraction of a limit is held back for instances whose demand is new.
	spareFraction = 0.05
	// maxViewSkew is the maximum time by which one instance sees a change of
	// the membership later than another.
	maxViewSkew = 2 * time.Second
)

// holder is one instance's lease in the owner's account.
type holder struct {
	share  share
	long   bool
	demand share
	until  time.Time
	// inUse is the number of requests that were in flight at the holder; a
	// smaller share takes effect as they end.
	inUse float64
}

// reserved is the share that no other holder may get.
func (h *holder) reserved() share {
	s := h.share
	s.Slots = max(s.Slots, h.inUse)
	return s
}

// account is the owner's record of the leases on one workspace's limit. It does no
// I/O and reads no clock; only the control goroutine uses it.
type account struct {
	// since is when this instance became the owner.
	since   time.Time
	holders map[string]*holder
}

func newAccount(since time.Time) *account {
	return &account{since: since, holders: map[string]*holder{}}
}

// leaseRequest is one instance's request for a share of a workspace's limit.
type leaseRequest struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Demand is what the instance could use.
	Demand share
	// Held is the share of its current lease, LeftMillis its remaining
	// lifetime.
	Held       share
	LeftMillis int64
	// InUse is the number of requests in flight that the allowance does not
	// cover.
	InUse int
	// Release reports whether the instance releases its lease.
	Release bool
}

// grant is the owner's answer to a leaseRequest.
type grant struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string
	Share       share
	TTLMillis   int64
	RenewMillis int64
}

// budget is what an owner may grant as leases.
type budget struct {
	// total is the part of the limit for the instances that the owner sees.
	total share
	// fallback is what each instance may use without a lease, apart from its
	// allowance.
	fallback share
}

// grantLease answers one lease request. The sum of all unexpired leases stays
// within b.total.
func (a *account) grantLease(from string, req leaseRequest, b budget, now time.Time) grant {
	a.expire(now)
	if req.Release {
		delete(a.holders, from)
		return grant{Workspace: req.Workspace}
	}
	h, known := a.holders[from]
	if !known {
		h = &holder{}
		a.holders[from] = h
		if req.LeftMillis > 0 {
			h.share = req.Held.finite() // a lease granted by the previous owner
		}
	}
	h.demand, h.inUse = req.Demand.finite().limitedBy(b.total), float64(max(0, req.InUse))
	total := a.demand()
	available := a.available(from, h, b, now)
	h.long = total.times(1+spareFraction).fits(b.total.times(longLeaseFraction)) && now.Sub(a.since) > longLeaseTTL+maxViewSkew
	if h.long {
		pool := b.total.times(longLeaseFraction)
		available = available.atMost(pool.minus(a.granted(from)))
		h.share = proportionalShare(h.demand, total, pool, len(a.holders)).atMost(available)
	} else {
		pool := b.total.times(1 - spareFraction)
		h.share = proportionalShare(h.demand, total, pool, len(a.holders)).atMost(available)
	}
	h.share.Slots = wholeSlots(h.share.Slots, h.demand.Slots, available.Slots)
	if now.Sub(a.since) <= shortLeaseTTL+maxViewSkew && !b.fallback.fits(h.share) {
		delete(a.holders, from) // the instance stays on its fallback
		return grant{Workspace: req.Workspace, RenewMillis: shortRenewInterval.Milliseconds()}
	}
	ttl, renew := shortLeaseTTL, shortRenewInterval
	if h.long {
		ttl, renew = longLeaseTTL, longRenewInterval
	}
	h.until = now.Add(ttl)
	return grant{
		Workspace:   req.Workspace,
		Share:       h.share,
		TTLMillis:   ttl.Milliseconds(),
		RenewMillis: renew.Milliseconds(),
	}
}

// available is what may be granted to one holder now. A new owner at first only
// renews: leases granted by the previous owner may still be in use.
func (a *account) available(from string, h *holder, b budget, now time.Time) share {
	free := b.total.minus(a.granted(from))
	age := now.Sub(a.since)
	switch {
	case age <= shortLeaseTTL+maxViewSkew:
		return free.atMost(h.share)
	case age <= longLeaseTTL+maxViewSkew:
		rest := b.total.times(1 - longLeaseFraction).minus(a.granted(from))
		return free.atMost(rest.zip(h.share, math.Max).zip(b.fallback, math.Max))
	}
	return free
}

// granted is the sum of the unexpired leases of all but one holder.
func (a *account) granted(except string) share {
	var sum share
	for id, h := range a.holders {
		if id != except {
			sum = sum.plus(h.reserved())
		}
	}
	return sum
}

func (a *account) demand() share {
	var sum share
	for _, h := range a.holders {
		sum = sum.plus(h.demand)
	}
	return sum
}

func (a *account) expire(now time.Time) {
	for id, h := range a.holders {
		if !now.Before(h.until) && !h.until.IsZero() {
			delete(a.holders, id)
		}
	}
}

// proportionalShare is one holder's share of the pool, in proportion to demand; a
// twentieth of the pool is split evenly, so that a holder whose demand rises does
// not start from zero.
func proportionalShare(demand, total, pool share, holders int) share {
	const evenFraction = 0.05
	portion := demand.zip(total, func(d, t float64) float64 {
		if t <= 0 {
			return 1 / float64(holders)
		}
		return (1-evenFraction)*d/t + evenFraction/float64(holders)
	})
	return portion.zip(pool, func(p, all float64) float64 { return p * all })
}

// wholeSlots rounds the portion down to whole slots, or up to one if there is
// demand and a slot is available.
func wholeSlots(portion, demand, available float64) float64 {
	if portion < 1 && demand > 0 && available >= 1 {
		return 1
	}
	return math.Floor(portion)
}
