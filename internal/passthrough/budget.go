package passthrough

import (
	"sync"
	"time"
)

// RetryBudget bounds the sends beyond the first of each request, of all
// instances together: in each window a ratio of the requests plus a fixed number.
type RetryBudget struct {
	// Ratio is the retries that one request earns.
	Ratio float64
	// Extra is what all instances together may spend beyond that in a window.
	Extra float64
	// Window is the span that the users count in.
	Window time.Duration
}

const (
	// budgetUse is the part of the budget that is used, since requests are
	// counted at other moments than retries.
	budgetUse = 0.85
	// extraUse is the part of the fixed number that is dealt out. A process that
	// starts again has a new share, so much of it is kept back.
	extraUse = 0.5
)

// budgets holds this instance's share of the retry budget of each service.
type budgets struct {
	limit RetryBudget
	// instances returns the number of live instances.
	instances func() int

	mu     sync.Mutex
	tokens map[string]*bucket
}

type bucket struct {
	tokens float64
	// at is when the fixed part was last refilled.
	at time.Time
}

func newBudgets(limit RetryBudget, instances func() int) *budgets {
	return &budgets{limit: limit, instances: instances, tokens: map[string]*bucket{}}
}

// most is the largest number of retries that can be saved up.
func (b *budgets) most() float64 {
	return max(extraUse*b.limit.Extra/float64(max(b.instances(), 1)), 1)
}

// of returns the service's bucket, with the fixed part refilled over a window.
func (b *budgets) of(service string, now time.Time) *bucket {
	k := b.tokens[service]
	if k == nil {
		k = &bucket{tokens: b.most() / 2, at: now}
		b.tokens[service] = k
	}
	if b.limit.Window > 0 {
		k.tokens += b.most() / 2 * float64(now.Sub(k.at)) / float64(b.limit.Window)
	}
	k.at = now
	k.tokens = min(k.tokens, b.most())
	return k
}

// request counts a caller's request for the service.
func (b *budgets) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(service, now)
	k.tokens = min(k.tokens+budgetUse*b.limit.Ratio, b.most())
}

// has states whether a retry could be made now.
func (b *budgets) has(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service, now).tokens >= 1
}

// spend takes one retry if there is one.
func (b *budgets) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(service, now)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
