// Package naive is the simplest router that works when nothing fails: round
// robin over all upstreams, one attempt, no queue, no health. It is the baseline
// for differential tests and measurements.
package naive

import "sync"

// Balancer hands out upstream IDs in turn. It is safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	ids  []string
	turn int
}

// New returns a balancer over ids.
func New(ids []string) *Balancer { return &Balancer{ids: append([]string(nil), ids...)} }

// Next returns the next upstream, or "" if there is none.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ids) == 0 {
		return ""
	}
	id := b.ids[b.turn%len(b.ids)]
	b.turn++
	return id
}
