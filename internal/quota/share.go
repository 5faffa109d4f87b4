package quota

import (
	"math"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// share is a part of a workspace's limits. A dimension that the catalogue does
// not limit is zero and ignored.
type share struct {
	_ struct{} `cbor:",toarray"`
	// Requests and Tokens are per second.
	Requests float64
	Tokens   float64
	// Slots is a number of requests in flight.
	Slots float64
}

func limitShare(l catalogue.Limits) share {
	return share{Requests: l.RequestsPerSecond, Tokens: l.TokensPerSecond, Slots: float64(l.Concurrent)}
}

// limited reports whether any dimension is limited.
func (s share) limited() bool { return s.Requests > 0 || s.Tokens > 0 || s.Slots > 0 }

// zip combines two shares by dimension.
func (s share) zip(o share, f func(a, b float64) float64) share {
	return share{Requests: f(s.Requests, o.Requests), Tokens: f(s.Tokens, o.Tokens), Slots: f(s.Slots, o.Slots)}
}

func (s share) plus(o share) share {
	return s.zip(o, func(a, b float64) float64 { return a + b })
}

// minus subtracts by dimension, with zero as the lower bound.
func (s share) minus(o share) share {
	return s.zip(o, func(a, b float64) float64 { return max(0, a-b) })
}

func (s share) atMost(o share) share { return s.zip(o, math.Min) }

func (s share) times(f float64) share {
	return share{Requests: s.Requests * f, Tokens: s.Tokens * f, Slots: s.Slots * f}
}

// limitedBy drops the dimensions that limit does not limit.
func (s share) limitedBy(limit share) share {
	return s.zip(limit, func(a, l float64) float64 {
		if l == 0 {
			return 0
		}
		return a
	})
}

// fits reports whether s is at most o in each dimension.
func (s share) fits(o share) bool {
	return s.Requests <= o.Requests && s.Tokens <= o.Tokens && s.Slots <= o.Slots
}

// finite replaces the values that a peer must not send, negative and non-finite
// numbers, by zero.
func (s share) finite() share {
	return s.zip(s, func(a, _ float64) float64 {
		if math.IsNaN(a) || math.IsInf(a, 0) || a < 0 {
			return 0
		}
		return a
	})
}

// bucket is a token bucket whose balance one request may make negative.
type bucket struct {
	rate    float64 // per second
	burst   float64
	balance float64
	filled  time.Time
}

// setRate changes the rate; the balance stays, capped at the new burst.
func (b *bucket) setRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.balance = min(b.balance, burst)
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.balance = min(b.burst, b.balance+b.rate*elapsed.Seconds())
	}
	b.filled = now
}

// wait returns the time until cost can be taken, or zero if it can be taken now.
// A cost above the burst needs a full bucket.
func (b *bucket) wait(cost float64) time.Duration {
	missing := min(cost, b.burst) - b.balance
	if missing <= balanceTolerance {
		return 0
	}
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(missing/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// refund returns cost to the bucket, to correct an estimate; cost may be negative.
func (b *bucket) refund(cost float64) { b.balance = min(b.burst, b.balance+cost) }

// meter limits requests and tokens to their rates.
type meter struct{ requests, tokens bucket }

func newMeter(rates share, now time.Time) meter {
	m := meter{
		requests: bucket{filled: now, balance: minRequestBurst},
		tokens:   bucket{filled: now, balance: rates.Tokens},
	}
	m.setRates(rates, now)
	return m
}

func (m *meter) setRates(rates share, now time.Time) {
	m.requests.setRate(rates.Requests, max(minRequestBurst, rates.Requests*burstWindow.Seconds()), now)
	m.tokens.setRate(rates.Tokens, max(1, rates.Tokens*burstWindow.Seconds()), now)
}

// take admits one request if all limited dimensions have room for it.
func (m *meter) take(limit share, tokens float64, now time.Time) bool {
	m.requests.fill(now)
	m.tokens.fill(now)
	if limit.Requests > 0 && m.requests.wait(1) > 0 || limit.Tokens > 0 && m.tokens.wait(tokens) > 0 {
		return false
	}
	m.requests.balance--
	m.tokens.balance -= tokens
	return true
}

// balanceTolerance absorbs rounding errors of balances.
const balanceTolerance = 1e-9
