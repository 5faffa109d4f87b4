// Package retry decides whether a failed request may be retried. It bounds retries to
// an initial budget plus a fraction of the successes, so that they cannot multiply the
// load of a failing or overloaded fleet.
package retry

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	// retriesPerSuccess is the fraction of a retry that each success earns.
	retriesPerSuccess = 0.1
	// maxWorkspaceRetries is the initial and the largest budget of a workspace.
	maxWorkspaceRetries = 50.0
	// maxUpstreamRetries is the initial and the largest budget of an upstream.
	// It is enough to retry elsewhere all requests that one instance has in
	// flight on an upstream when that crashes.
	maxUpstreamRetries = 100.0
	// MaxKeys bounds the keys of one Budgets; the least recently used are
	// evicted.
	MaxKeys = 4096
)

// Budgets holds one retry budget per key, for example per workspace. It is not
// safe for concurrent use.
type Budgets struct {
	limit   float64
	retries *simplelru.LRU[string, float64]
}

// NewBudgets returns budgets that start with limit retries and never exceed it.
func NewBudgets(limit float64) *Budgets {
	retries, err := simplelru.NewLRU[string, float64](MaxKeys, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &Budgets{limit: limit, retries: retries}
}

// Success adds retriesPerSuccess to key's budget.
func (b *Budgets) Success(key string) {
	b.retries.Add(key, min(b.Left(key)+retriesPerSuccess, b.limit))
}

// Left returns the remaining budget of key.
func (b *Budgets) Left(key string) float64 {
	if left, known := b.retries.Get(key); known {
		return left
	}
	return b.limit
}

// Spend subtracts one retry from key's budget.
func (b *Budgets) Spend(key string) { b.retries.Add(key, max(b.Left(key)-1, 0)) }
