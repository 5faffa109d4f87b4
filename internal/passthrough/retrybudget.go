package passthrough

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries of all instances together: in each window a ratio of
// the requests plus a fixed number.
type RetryBudget struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Extra is the number of further retries that all instances together may make in a
	// window.
	Extra float64
	// Window is the time over which the users count retries.
	Window time.Duration
}

const (
	// ratioUsedShare is the fraction of the ratio that is used: requests are counted at
	// other times than retries, so a margin is needed.
	ratioUsedShare = 0.85
	// extraUsedShare is the fraction of the fixed number that is distributed among the
	// instances. A restarted process gets a new share, so the rest is held in
	// reserve.
	extraUsedShare = 0.5
)

// retryBudgets holds this instance's share of the retry budget of each service as
// token buckets.
type retryBudgets struct {
	// limit returns the budget in force.
	limit func() RetryBudget
	// instances returns the number of live instances.
	instances func() int

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds one token for each retry that may be made now.
type tokenBucket struct {
	tokens float64
	// refilledAt is when the fixed part was last refilled.
	refilledAt time.Time
}

func newRetryBudgets(limit func() RetryBudget, instances func() int) *retryBudgets {
	return &retryBudgets{limit: limit, instances: instances, buckets: map[string]*tokenBucket{}}
}

// capacity returns the maximum number of tokens in a bucket.
func (b *retryBudgets) capacity() float64 {
	return max(extraUsedShare*b.limit().Extra/float64(max(b.instances(), 1)), 1)
}

// bucket returns the service's bucket, after adding the fixed part for the time since
// the last refill.
func (b *retryBudgets) bucket(service string, now time.Time) *tokenBucket {
	k := b.buckets[service]
	if k == nil {
		k = &tokenBucket{tokens: b.capacity() / 2, refilledAt: now}
		b.buckets[service] = k
	}
	if window := b.limit().Window; window > 0 {
		k.tokens += b.capacity() / 2 * float64(now.Sub(k.refilledAt)) / float64(window)
	}
	k.refilledAt = now
	k.tokens = min(k.tokens, b.capacity())
	return k
}

// addRequest adds the tokens for one request of a caller.
func (b *retryBudgets) addRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, now)
	k.tokens = min(k.tokens+ratioUsedShare*b.limit().Ratio, b.capacity())
}

// allows reports whether a retry could be made now.
func (b *retryBudgets) allows(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service, now).tokens >= 1
}

// spend takes one token and reports whether there was one.
func (b *retryBudgets) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, now)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
