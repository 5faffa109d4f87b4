package admit

import (
	"math"
	"time"

	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/route"
)

// refusalPause is how long an upstream that refused a request gets no other.
const refusalPause = 200 * time.Millisecond

// lossPause is how long an upstream that was lost gets no request, so that one
// request does not use up its attempts while all upstreams are restarting.
const lossPause = 500 * time.Millisecond

// state is what the scheduler knows of one upstream.
type state struct {
	upstream  Upstream
	key       load.Key
	candidate route.Candidate
	// single is a view of this upstream alone.
	single route.View
	load   *load.Tracker
	health *health.Tracker
	// boot is the upstream's incarnation, and crashes counts its crashes.
	boot    string
	crashes int
	// listedLeaving is what the list of instances says, reportedLeaving what
	// the upstream itself says; either is believed.
	listedLeaving   bool
	reportedLeaving bool
	// reportedAt is when the last load report came, and reportInterval the
	// longest time between two of late.
	reportedAt     time.Time
	reportInterval time.Duration
	// owner is the request for which the upstream is kept free, or nil.
	owner *waiter
	// gang says that the upstream is kept free for a prompt of several parts.
	gang        bool
	pausedUntil time.Time
	// probeFailedAt is when the last probe failed; zero if it succeeded.
	probeFailedAt time.Time
}

const (
	// silentReports is how many of the longest intervals without a load report make an
	// upstream silent, and leastSilence the least such time.
	silentReports = 4
	leastSilence  = 750 * time.Millisecond
	// silentShare is the part of its share that a silent upstream keeps. It
	// may be frozen, which probes show only after their time-outs.
	silentShare = 0.1
	// intervalHalfLife is how fast a long interval between two reports is
	// forgotten; reports come often while answers carry them.
	intervalHalfLife = 30 * time.Second
)

// reported notes the time of a load report.
func (st *state) reported(now time.Time) {
	if !st.reportedAt.IsZero() {
		elapsed := now.Sub(st.reportedAt)
		decay := math.Exp2(-elapsed.Seconds() / intervalHalfLife.Seconds())
		longest := time.Duration(decay * float64(st.reportInterval))
		limit := silentReports * max(st.reportInterval, leastSilence)
		st.reportInterval = max(longest, min(elapsed, limit))
	}
	st.reportedAt = now
}

// silent states whether load reports have stopped.
func (st *state) silent(now time.Time) bool {
	limit := max(silentReports*st.reportInterval, leastSilence)
	return st.reportInterval > 0 && now.Sub(st.reportedAt) > limit
}

// share returns the part of normal traffic by health and reports.
func (st *state) share(now time.Time, panicking bool) float64 {
	share := st.health.Share(now, panicking)
	if st.silent(now) {
		share *= silentShare
	}
	return share
}

// setLeaving applies both sources of news on leaving.
func (st *state) setLeaving(now time.Time) {
	st.health.Leaving(st.listedLeaving || st.reportedLeaving, now)
}

// refresh brings the candidate up to date with the judgement of its pool.
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
	c.Exclusive = st.owner != nil || st.gang || e.PeerExclusive
}

// usable states whether health lets the upstream take requests.
func (st *state) usable() bool {
	s := st.health.State()
	return s != health.StateFailed && s != health.StateLeaving
}

// hint returns what the peers must know of this instance's use of the upstream.
func (st *state) hint() load.Outstanding {
	o := st.load.Outstanding()
	o.Exclusive = st.owner != nil || st.gang
	return o
}
