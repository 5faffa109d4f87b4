package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// Returns of the store from an older copy.
const (
	maxReturnInterval = 8 * time.Second
	maxCopyAge        = 4 * time.Second
	// maxStoreGap is how long the store is away before it returns.
	maxStoreGap = 500 * time.Millisecond
	// maxRewriteDelay is how long after the return the operator and the upstreams write
	// again.
	maxRewriteDelay = time.Second
)

// returnStore has the store come back from an older copy now and then, until ctx ends.
// While its effects last, checks of timeouts are suspended.
func (s *soakRun) returnStore(ctx context.Context, r *rand.Rand) {
	for sleep.For(ctx, time.Duration(r.Int64N(int64(maxReturnInterval)))) {
		older := s.store.Copy()
		age := time.Duration(r.Int64N(int64(maxCopyAge)))
		sleep.For(ctx, age)
		gap, rewrite := time.Duration(r.Int64N(int64(maxStoreGap))), time.Duration(r.Int64N(int64(maxRewriteDelay)))
		s.report.fault(fmt.Sprintf("store returns from a copy that is %s old", age.Round(time.Millisecond)))
		s.suspendChecks(time.Now().Add(gap + rewrite + settleTime))
		s.store.SetFault(platformtest.Unavailable, 0)
		sleep.For(ctx, gap)
		s.store.ReturnFrom(older)
		s.store.SetFault(platformtest.Healthy, 0)
		sleep.For(ctx, rewrite)
		s.writeAgain()
	}
}

// writeAgain has the operator and the upstreams write what they had written.
func (s *soakRun) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put("op", "config", s.configuration)
	s.evacuateAgain()
	for _, u := range s.upstreams {
		s.writeEntry(u)
	}
}
