package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Pauses that upstreams want. From pauseGrace after an upstream first refused a request and named
// a time until that time, the users allow maxSendsInPause requests from each instance. One that
// has restarted meanwhile is excused, which the check doesn't need.
const (
	pauseGrace        = 500 * time.Millisecond
	maxSendsInPause   = 2
	pauseTime         = 2500 * time.Millisecond
	maxBetweenPauses  = 4 * time.Second
	untilFirstRefusal = 2 * time.Second
)

// pauseUpstreams has one upstream after the other refuse requests for some time, until ctx ends,
// and checks that the instances leave it alone.
func (s *soakRun) pauseUpstreams(ctx context.Context, r *rand.Rand) {
	for sleep.For(ctx, time.Duration(r.Int64N(int64(maxBetweenPauses)))) {
		u := s.randomUpstream(r)
		s.report.fault(fmt.Sprintf("%s refuses requests for %s", u.ID, pauseTime))
		u.RefuseFor(untilFirstRefusal+pauseTime, strconv.FormatFloat(pauseTime.Seconds(), 'f', -1, 64))
		complete := sleep.For(ctx, untilFirstRefusal+pauseTime)
		first := u.PausedAt()
		if !complete || first.IsZero() || time.Since(first) < pauseTime {
			continue // the load had nothing for it in time
		}
		n := 0
		for _, at := range u.Received() {
			if since := at.Sub(first); since > pauseGrace && since < pauseTime {
				n++
			}
		}
		allowed := maxSendsInPause * len(s.instances)
		s.report.check(pausesKept, problemIf(n > allowed, "%s wanted no requests for %s and got %d, allowed %d", u.ID, pauseTime, n, allowed))
	}
}
