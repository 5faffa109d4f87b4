package quota

import (
	"math"
	"time"
)

const (
	// shortTTL and shortRenew apply where the limit is nearly used, so that
	// shares follow demand within seconds.
	shortTTL   = 6 * time.Second
	shortRenew = 2 * time.Second
	// longTTL and longRenew apply while the demand is below relaxedPart of
	// the limit, to save messages.
	longTTL   = time.Minute
	longRenew = 25 * time.Second
	// relaxedPart is the part of a limit that may be lent as long leases. A
	// new keeper lends no more than the rest until all long leases of the
	// one before it have expired.
	relaxedPart = 0.5
	// sparePart of a limit is kept for instances whose demand is new.
	sparePart = 0.05
	// viewMargin is the time by which views of the membership may differ.
	viewMargin = 2 * time.Second
)

// holder is one instance's lease at the keeper.
type holder struct {
	share  share
	long   bool
	demand share
	until  time.Time
	// inUse is the number of requests that were in flight at the holder; a
	// smaller share takes effect as they end.
	inUse float64
}

// booked is what nobody else may get.
func (h *holder) booked() share {
	s := h.share
	s.Slots = max(s.Slots, h.inUse)
	return s
}

// account is the keeper's book on one workspace. It does no I/O and has no
// clock; only the control goroutine uses it.
type account struct {
	// since is when this instance became the keeper.
	since   time.Time
	holders map[string]*holder
}

func newAccount(since time.Time) *account {
	return &account{since: since, holders: map[string]*holder{}}
}

// ask is one instance's request for a share.
type ask struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Demand is what the instance could use.
	Demand share
	// Held is the share of its present lease, LeftMillis its remaining time.
	Held       share
	LeftMillis int64
	// InUse is the number of requests in flight.
	InUse int
	// Release gives the lease back.
	Release bool
}

// grant is the keeper's answer.
type grant struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string
	Share       share
	TTLMillis   int64
	RenewMillis int64
}

// capital is what a keeper may lend.
type capital struct {
	// all is the part of the limit that belongs to the instances it sees.
	all share
	// fallback is what each instance may use without a lease.
	fallback share
}

// lend answers one ask. The sum of all unexpired leases stays within c.all.
func (a *account) lend(from string, q ask, c capital, now time.Time) grant {
	a.expire(now)
	if q.Release {
		delete(a.holders, from)
		return grant{Workspace: q.Workspace}
	}
	h, known := a.holders[from]
	if !known {
		h = &holder{}
		a.holders[from] = h
		if q.LeftMillis > 0 {
			h.share = q.Held.finite() // a lease of the keeper before
		}
	}
	h.demand, h.inUse = q.Demand.finite().limitedBy(c.all), float64(max(0, q.InUse))
	total := a.demand()
	available := a.available(from, h, c, now)
	h.long = total.times(1+sparePart).fits(c.all.times(relaxedPart)) && now.Sub(a.since) > longTTL+viewMargin
	if h.long {
		pool := c.all.times(relaxedPart)
		available = available.atMost(pool.less(a.lent(from)))
		h.share = portions(h.demand, total, pool, len(a.holders)).atMost(available)
	} else {
		pool := c.all.times(1 - sparePart)
		h.share = portions(h.demand, total, pool, len(a.holders)).atMost(available)
	}
	h.share.Slots = wholeSlots(h.share.Slots, h.demand.Slots, available.Slots)
	if now.Sub(a.since) <= shortTTL+viewMargin && !c.fallback.fits(h.share) {
		delete(a.holders, from) // the instance stays on its fallback
		return grant{Workspace: q.Workspace, RenewMillis: shortRenew.Milliseconds()}
	}
	ttl, renew := shortTTL, shortRenew
	if h.long {
		ttl, renew = longTTL, longRenew
	}
	h.until = now.Add(ttl)
	return grant{
		Workspace:   q.Workspace,
		Share:       h.share,
		TTLMillis:   ttl.Milliseconds(),
		RenewMillis: renew.Milliseconds(),
	}
}

// available is what may be lent to one holder now. A new keeper first only
// renews: leases of the keeper before it may still be in use.
func (a *account) available(from string, h *holder, c capital, now time.Time) share {
	free := c.all.less(a.lent(from))
	age := now.Sub(a.since)
	switch {
	case age <= shortTTL+viewMargin:
		return free.atMost(h.share)
	case age <= longTTL+viewMargin:
		rest := c.all.times(1 - relaxedPart).less(a.lent(from))
		return free.atMost(rest.zip(h.share, math.Max).zip(c.fallback, math.Max))
	}
	return free
}

// lent is the sum of the unexpired leases of all but one holder.
func (a *account) lent(except string) share {
	var sum share
	for id, h := range a.holders {
		if id != except {
			sum = sum.plus(h.booked())
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

// portions divides the pool in proportion to demand; a twentieth of the pool is
// divided evenly, so that a holder whose demand rises has something to start.
func portions(demand, total, pool share, holders int) share {
	const even = 0.05
	portion := demand.zip(total, func(d, t float64) float64 {
		if t <= 0 {
			return 1 / float64(holders)
		}
		return (1-even)*d/t + even/float64(holders)
	})
	return portion.zip(pool, func(p, all float64) float64 { return p * all })
}

// wholeSlots rounds down, but gives one slot to who has demand if one is free.
func wholeSlots(portion, demand, available float64) float64 {
	if portion < 1 && demand > 0 && available >= 1 {
		return 1
	}
	return math.Floor(portion)
}
