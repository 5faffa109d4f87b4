// Package naive implements the simplest router that works while nothing fails:
// round robin over all upstreams, one attempt, no queue, no health checks. It is
// the baseline for differential tests and measurements.
package naive

import "sync"

// Balancer selects upstreams round robin. It is safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	ids  []string
	next int
}

// New returns a balancer over upstream IDs.
func New(ids []string) *Balancer { return &Balancer{ids: append([]string(nil), ids...)} }

// Next returns the ID of the next upstream, or "" if there is none.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ids) == 0 {
		return ""
	}
	id := b.ids[b.next%len(b.ids)]
	b.next++
	return id
}
