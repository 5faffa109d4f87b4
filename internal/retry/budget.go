// Package retry bounds retries to a share of successes, so that retries cannot
// multiply the load of a failing or full fleet.
package retry

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	// share is the part of a retry that each success earns.
	share = 0.1
	// workspaceRetries is what a workspace has before any success, and the
	// most that it can save up.
	workspaceRetries = 50.0
	// upstreamRetries is the same for an upstream: when it crashes, all that
	// one instance has in flight there may be tried elsewhere.
	upstreamRetries = 100.0
	// MaxKeys bounds the workspaces or upstreams of one Budgets.
	MaxKeys = 4096
)

// Budgets holds one retry budget per key, for example per workspace. It is not
// safe for concurrent use.
type Budgets struct {
	most   float64
	tokens *simplelru.LRU[string, float64]
}

// NewBudgets returns budgets that all start with most retries and never save up
// more.
func NewBudgets(most float64) *Budgets {
	tokens, err := simplelru.NewLRU[string, float64](MaxKeys, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &Budgets{most: most, tokens: tokens}
}

// Success earns a part of a retry for key.
func (b *Budgets) Success(key string) {
	b.tokens.Add(key, min(b.Left(key)+share, b.most))
}

// Left returns the retries that key may make now.
func (b *Budgets) Left(key string) float64 {
	if left, known := b.tokens.Get(key); known {
		return left
	}
	return b.most
}

// Spend takes one retry from key's budget.
func (b *Budgets) Spend(key string) { b.tokens.Add(key, max(b.Left(key)-1, 0)) }
