package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Limits that upstreams name. From limitKnownAfter after an upstream first named one, the
// users allow it limitFactor times what the limit allows in limitWindow, and limitExtra
// requests.
const (
	limitKnownAfter = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
	maxLimitPause   = 3 * time.Second
	maxLimit        = 5.0
)

// limitUpstreams has one upstream after the other name a limit, until ctx ends, and checks
// that the limit is kept.
func (s *soakRun) limitUpstreams(ctx context.Context, r *rand.Rand) {
	for sleep.For(ctx, time.Duration(r.Int64N(int64(maxLimitPause)))) {
		u := s.randomUpstream(r)
		limit := 0.5 + r.Float64()*(maxLimit-0.5)
		s.report.fault(fmt.Sprintf("%s names a limit of %.1f requests a second", u.ID, limit))
		u.NameLimit(strconv.FormatFloat(limit, 'f', 1, 64))
		sleep.For(ctx, limitKnownAfter)
		from := time.Now()
		complete := sleep.For(ctx, limitWindow)
		if complete {
			n := 0
			for _, at := range u.Received() {
				if at.After(from) {
					n++
				}
			}
			allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
			s.report.check(limitsKept, problemIf(float64(n) > allowed, "%s named %.1f requests a second and got %d in %s, allowed %.0f", u.ID, limit, n, limitWindow, allowed))
		}
		u.NameLimit("")
	}
}
