package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures planning and completing a step with 200 streams in
// memory and 50 in the queue.
func BenchmarkStep(b *testing.B) {
	s := Default()
	s.Models = []string{"m"}
	s.MemoryTokens = 200 * 3000
	e := New(s, noThrottle{})
	for i := range 250 {
		if _, err := e.Submit(request(fmt.Sprint(i), 2000, 1000)); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		now := time.Now()
		e.mu.Lock()
		st := e.plan(now)
		st.decodes = nil // Keeps streams from finishing during the benchmark.
		e.complete(now, st)
		e.mu.Unlock()
	}
}
