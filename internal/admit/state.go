package admit

import (
	"math"
	"time"

	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/route"
)

// refusalPause is how long an upstream that refused a request gets no further
// one.
const refusalPause = 200 * time.Millisecond

// lossPause is how long an upstream that was lost gets no request, so that a
// request does not use up its attempts while all upstreams restart.
const lossPause = 500 * time.Millisecond

// state is the scheduler's view of one upstream.
type state struct {
	upstream  Upstream
	key       load.Key
	candidate route.Candidate
	// single is a view that holds only this upstream.
	single route.View
	load   *load.Tracker
	health *health.Tracker
	// boot identifies the upstream's incarnation; crashes counts its crashes.
	boot    string
	crashes int
	// listedLeaving comes from the list of instances, reportedLeaving from the
	// upstream's load reports; either of them makes the upstream leaving.
	listedLeaving   bool
	reportedLeaving bool
	// reportedAt is when the last load report arrived; reportInterval is the
	// longest recent time between two reports.
	reportedAt     time.Time
	reportInterval time.Duration
	// exclusiveFor is the request for which the upstream is kept free, or nil.
	exclusiveFor *waiter
	// gangPlans counts the gangs for which the upstream is kept free.
	gangPlans int
	// pausedUntil is when the upstream may get requests again after a refusal
	// or loss.
	pausedUntil time.Time
	// probeFailedAt is when the last probe failed; zero if it succeeded.
	probeFailedAt time.Time
}

const (
	// An upstream without a load report for overdueIntervals times its longest
	// recent interval, but at least minOverdue, is overdue.
	overdueIntervals = 4
	minOverdue       = 750 * time.Millisecond
	// overdueShare is the fraction of its share that an overdue upstream gets.
	// Such an upstream may be frozen, which probes detect only after their
	// timeout.
	overdueShare = 0.1
	// intervalHalfLife is the half-life with which reportInterval decays. It is
	// long, because answers that carry reports shorten the intervals for a
	// while.
	intervalHalfLife = 30 * time.Second
)

// reported records the arrival of a load report.
func (st *state) reported(now time.Time) {
	if !st.reportedAt.IsZero() {
		elapsed := now.Sub(st.reportedAt)
		decay := math.Exp2(-elapsed.Seconds() / intervalHalfLife.Seconds())
		longest := time.Duration(decay * float64(st.reportInterval))
		limit := overdueIntervals * max(st.reportInterval, minOverdue)
		st.reportInterval = max(longest, min(elapsed, limit))
	}
	st.reportedAt = now
}

// overdue reports whether the upstream's load reports have stopped.
func (st *state) overdue(now time.Time) bool {
	limit := max(overdueIntervals*st.reportInterval, minOverdue)
	return st.reportInterval > 0 && now.Sub(st.reportedAt) > limit
}

// share returns the fraction of normal traffic that the upstream should get. It
// depends on the upstream's health and on whether its reports are overdue.
func (st *state) share(now time.Time, panicking bool) float64 {
	share := st.health.Share(now, panicking)
	if st.overdue(now) {
		share *= overdueShare
	}
	return share
}

// setLeaving passes listedLeaving and reportedLeaving to the health tracker.
func (st *state) setLeaving(now time.Time) {
	st.health.SetLeaving(st.listedLeaving || st.reportedLeaving, now)
}

// refresh updates the candidate with the latest load estimate and the evaluation
// of its pool.
func (st *state) refresh(now time.Time, p *pool, maxRunning int) {
	e := st.load.Estimate(now)
	c := &st.candidate
	c.Queued = e.Queued
	c.Work = e.Work
	c.Streams = e.Streams
	c.LongStreams = e.LongStreams
	c.MemoryTokens = st.upstream.MemoryTokens
	if e.MemoryTokens > 0 {
		c.MemoryTokens = e.MemoryTokens
	}
	c.FreeTokens = max(c.MemoryTokens-e.UsedTokens, 0)
	c.Rate, _ = st.load.Rate()
	c.Share = min(st.share(now, p.panicking)*p.shareScale, 1)
	if now.Before(st.pausedUntil) || st.load.InFlight() >= maxRunning {
		c.Share = 0
	}
	c.Exclusive = st.exclusiveFor != nil || st.gangPlans > 0 || e.PeerExclusive
}

// usable reports whether the upstream's health allows it to take requests.
func (st *state) usable() bool {
	s := st.health.State()
	return s != health.StateFailed && s != health.StateLeaving
}

// hint returns the work that this instance has outstanding on the upstream, for
// its peers.
func (st *state) hint() load.Outstanding {
	o := st.load.Outstanding()
	o.Exclusive = st.exclusiveFor != nil || st.gangPlans > 0
	return o
}
