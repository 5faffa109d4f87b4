package admit

import (
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
	// owner is the request for which the upstream is kept free, or nil.
	owner *waiter
	// gang says that the upstream is kept free for a prompt of several parts.
	gang        bool
	pausedUntil time.Time
	// probeFailedAt is when the last probe failed; zero if it succeeded.
	probeFailedAt time.Time
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
	c.Share = min(st.health.Share(now, p.panicking)*p.shareScale, 1)
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
