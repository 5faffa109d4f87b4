package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits of polling.
const (
	// minPollInterval is the shortest interval of polls of one upstream.
	minPollInterval = 500 * time.Millisecond
	// pollBytes is the estimated traffic of one poll, headers included.
	pollBytes = 700
	// pollsPerEventPoll is the number of load polls per poll of cache events.
	pollsPerEventPoll = 4
	// maxQueued is the capacity of each queue to the control goroutine: of poll
	// results, of load reports and of notices.
	maxQueued = 1024
)

// Traffic of polls. In a small fleet an instance polls often. In a large one each
// upstream is polled by many instances, which notify the others of what matters,
// and an upstream that is in use sends load reports with its answers.
const (
	// minLargeFleet is the number of instances from which the lower budget
	// applies.
	minLargeFleet = 64
	// smallFleetBytesPerSecond and largeFleetBytesPerSecond bound the polling
	// traffic of one instance.
	smallFleetBytesPerSecond = 64 << 10
	largeFleetBytesPerSecond = 1000
)

// poll is the polling state of one upstream.
type poll struct {
	up      admit.Upstream
	next    time.Time
	running bool
	round   int
	// boot and after are the position in the engine's cache events: the engine's
	// start, and the highest sequence number received since.
	boot  string
	after uint64
	// failures counts failed polls in a row.
	failures int
	load     upstream.LoadReport
}

// pollResult is the result of one poll.
type pollResult struct {
	id      string
	url     string
	latency time.Duration
	// health is set for a plain service, load for an engine.
	health *upstream.Health
	load   *upstream.LoadReport
	events *upstream.CacheEvents
	err    error
}

// UpstreamState is one upstream's part of a state dump.
type UpstreamState struct {
	ID       string              `json:"id"`
	URL      string              `json:"url"`
	Failures int                 `json:"fails"`
	Load     upstream.LoadReport `json:"load"`
}

func (p *poll) state() UpstreamState {
	return UpstreamState{ID: p.up.ID, URL: p.up.URL, Failures: p.failures, Load: p.load}
}

// pollState returns the polling state of up: the existing one if its URL is
// unchanged, else a new one.
func (c *Controller) pollState(up admit.Upstream) *poll {
	if p := c.polls[up.ID]; p != nil && p.up.URL == up.URL {
		p.up = up
		return p
	}
	return &poll{up: up, next: time.Now().Add(rand.N(c.maxFirstPollDelay()))}
}

// maxFirstPollDelay returns the time within which a new upstream is polled
// first. It spreads the first polls in a large fleet.
func (c *Controller) maxFirstPollDelay() time.Duration {
	return max(1, c.interval()-minPollInterval)
}

// interval returns the interval of polls of one upstream that the traffic budget
// allows.
func (c *Controller) interval() time.Duration {
	budget := smallFleetBytesPerSecond
	if len(c.opts.Bus.Members()) >= minLargeFleet {
		budget = largeFleetBytesPerSecond
	}
	perRound := time.Duration(len(c.polls)*pollBytes) * time.Second / time.Duration(budget)
	return max(minPollInterval, perRound)
}

// startPolls starts the polls that are due, each in its own goroutine.
func (c *Controller) startPolls(ctx context.Context, now time.Time) {
	interval := c.interval()
	for _, p := range c.polls {
		if p.running || now.Before(p.next) {
			continue
		}
		p.running = true
		p.next = now.Add(interval)
		p.round++
		withEvents := p.up.Service == "" && p.round%pollsPerEventPoll == 0
		go panics.Run(log, func() { c.pollOnce(ctx, p.up, p.after, withEvents) })
	}
}

// pollOnce polls one upstream and passes the result to the control goroutine.
func (c *Controller) pollOnce(ctx context.Context, up admit.Upstream, after uint64, withEvents bool) {
	r := pollResult{id: up.ID, url: up.URL}
	c.query(ctx, up, after, withEvents, &r)
	select {
	case c.pollResults <- r:
	case <-ctx.Done():
	}
}

// query sends the calls of a poll and sets its result.
func (c *Controller) query(ctx context.Context, up admit.Upstream, after uint64, withEvents bool, r *pollResult) {
	defer panics.RecoverError(log.WithField("upstream", up.ID), &r.err)
	start := time.Now()
	if up.Service != "" {
		var health upstream.Health
		health, r.err = c.opts.Upstreams.Health(ctx, up.URL)
		r.health, r.latency = &health, time.Since(start)
		return
	}
	var load upstream.LoadReport
	load, r.err = c.opts.Upstreams.Load(ctx, up.URL)
	r.load, r.latency = &load, time.Since(start)
	if r.err == nil && withEvents {
		if events, err := c.opts.Upstreams.Events(ctx, up.URL, after); err == nil {
			r.events = &events
		}
	}
}

// piggybackedLoad is a load report that an upstream sent with an answer.
type piggybackedLoad struct {
	id   string
	load upstream.LoadReport
}

// ObservePiggybackedLoad passes to the control goroutine a load report that an
// upstream sent with an answer, which saves a poll. It never blocks; the report is
// dropped if the queue is full.
func (c *Controller) ObservePiggybackedLoad(id string, load upstream.LoadReport) {
	select {
	case c.piggybackedLoads <- piggybackedLoad{id: id, load: load}:
	default:
	}
}

// applyPiggybackedLoad applies a load report that an upstream sent with an
// answer, and defers the next poll.
func (c *Controller) applyPiggybackedLoad(l piggybackedLoad) {
	p := c.polls[l.id]
	if p == nil {
		return
	}
	p.next = time.Now().Add(c.interval())
	c.applyLoad(p, l.load)
}

// applyPoll applies the result of a poll.
func (c *Controller) applyPoll(r pollResult) {
	p := c.polls[r.id]
	if p == nil || p.up.URL != r.url {
		return
	}
	p.running = false
	c.opts.Scheduler.ObserveProbe(r.id, r.err == nil, r.latency)
	if r.err != nil {
		p.failures++
		return
	}
	p.failures = 0
	if r.health != nil {
		c.applyLeaving(p, r.health.Leaving, false)
	}
	if r.load != nil {
		c.applyLoad(p, *r.load)
	}
	if r.events != nil {
		c.applyEvents(p, *r.events)
	}
}

// applyLoad stores a load report and passes it to the scheduler.
func (c *Controller) applyLoad(p *poll, load upstream.LoadReport) {
	restarted := p.load.Boot != "" && p.load.Boot != load.Boot
	p.load = load
	p.load.Requests = nil
	c.applyLeaving(p, load.Leaving, restarted)
	_, load.Leaving = c.leaving[p.up.ID]
	c.opts.Scheduler.ObserveLoad(p.up.ID, load)
}

// applyLeaving applies an upstream's own report of whether it is leaving. An
// upstream that is marked as leaving and reports that it is not is cleared if it
// has restarted or if the mark is unconfirmed.
func (c *Controller) applyLeaving(p *poll, leaving, restarted bool) {
	switch {
	case leaving:
		c.markLeaving(p.up.ID, leavingByReport)
	case restarted || c.unconfirmed(p.up.ID):
		c.clearLeaving(p.up.ID)
	}
}

// unconfirmed reports whether an upstream is marked as leaving only by its own
// earlier report or by an expired notice of a peer.
func (c *Controller) unconfirmed(id string) bool {
	l := c.leaving[id]
	expiredNotice := l.source == leavingByPeer && time.Since(l.since) > peerNoticeTimeout
	return l.source == leavingByReport || expiredNotice
}

// applyEvents passes cache events to the scheduler and advances the position in
// their sequence.
func (c *Controller) applyEvents(p *poll, events upstream.CacheEvents) {
	if events.Boot != p.boot {
		p.boot, p.after = events.Boot, 0
	}
	for _, e := range events.Events {
		p.after = max(p.after, e.Sequence)
	}
	c.opts.Scheduler.ObserveCache(p.up.ID, events)
}
