package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits of polling.
const (
	// pollInterval is the shortest interval of polls of one upstream.
	pollInterval = 500 * time.Millisecond
	// pollBytes is the estimated traffic of one poll, headers included.
	pollBytes = 700
	// eventsEvery is the number of load polls per poll of cache events.
	eventsEvery = 4
	// maxPolls bounds the polls under way.
	maxPolls = 1024
)

// Traffic of polls. In a small fleet an instance polls often; in a large one
// each upstream is polled by many instances, who tell the others what matters,
// and an upstream that is in use reports with its answers.
const (
	// largeFleet is the number of instances from which the lower budget holds.
	largeFleet = 64
	// smallFleetBytesPerSecond and largeFleetBytesPerSecond bound the traffic
	// of one instance's polls.
	smallFleetBytesPerSecond = 64 << 10
	largeFleetBytesPerSecond = 1000
)

// poll is the polling state of one upstream.
type poll struct {
	up      admit.Upstream
	next    time.Time
	running bool
	round   int
	// boot and after follow the engine's cache events.
	boot  string
	after uint64
	// fails counts failed polls in a row.
	fails int
	load  upstream.LoadReport
}

// pollResult is what one poll brought.
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

// UpstreamState is one upstream's part of a dump.
type UpstreamState struct {
	ID    string              `json:"id"`
	URL   string              `json:"url"`
	Fails int                 `json:"fails"`
	Load  upstream.LoadReport `json:"load"`
}

func (p *poll) state() UpstreamState {
	return UpstreamState{ID: p.up.ID, URL: p.up.URL, Fails: p.fails, Load: p.load}
}

// poll returns the polling state of up, kept if its address is the same.
func (c *Controller) poll(up admit.Upstream) *poll {
	if p := c.polls[up.ID]; p != nil && p.up.URL == up.URL {
		p.up = up
		return p
	}
	return &poll{up: up, next: time.Now().Add(rand.N(c.firstPollWithin()))}
}

// firstPollWithin spreads the first polls of upstreams in a large fleet.
func (c *Controller) firstPollWithin() time.Duration {
	return max(1, c.interval()-pollInterval)
}

// interval spreads the polls within the traffic budget.
func (c *Controller) interval() time.Duration {
	budget := smallFleetBytesPerSecond
	if len(c.opts.Bus.Members()) >= largeFleet {
		budget = largeFleetBytesPerSecond
	}
	perRound := time.Duration(len(c.polls)*pollBytes) * time.Second / time.Duration(budget)
	return max(pollInterval, perRound)
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
		withEvents := p.up.Service == "" && p.round%eventsEvery == 0
		go c.pollOnce(ctx, p.up, p.after, withEvents)
	}
}

// pollOnce asks one upstream and hands the result to the control goroutine.
func (c *Controller) pollOnce(ctx context.Context, up admit.Upstream, after uint64, withEvents bool) {
	r := pollResult{id: up.ID, url: up.URL}
	start := time.Now()
	if up.Service != "" {
		var health upstream.Health
		health, r.err = c.opts.Upstreams.Health(ctx, up.URL)
		r.health = &health
	} else {
		var load upstream.LoadReport
		load, r.err = c.opts.Upstreams.Load(ctx, up.URL)
		r.load = &load
	}
	r.latency = time.Since(start)
	if r.err == nil && withEvents {
		if events, err := c.opts.Upstreams.Events(ctx, up.URL, after); err == nil {
			r.events = &events
		}
	}
	select {
	case c.reports <- r:
	case <-ctx.Done():
	}
}

// offer is a load report that came with an answer.
type offer struct {
	id   string
	load upstream.LoadReport
}

// OfferLoad takes a load report that came with an answer, and thus spares a
// poll. It never blocks; a report that finds the queue full is dropped.
func (c *Controller) OfferLoad(id string, load upstream.LoadReport) {
	select {
	case c.offers <- offer{id: id, load: load}:
	default:
	}
}

// takeOffer handles a report that came with an answer.
func (c *Controller) takeOffer(o offer) {
	p := c.polls[o.id]
	if p == nil {
		return
	}
	p.next = time.Now().Add(c.interval())
	c.takeLoad(p, o.load)
}

// report takes the result of a poll.
func (c *Controller) report(r pollResult) {
	p := c.polls[r.id]
	if p == nil || p.up.URL != r.url {
		return
	}
	p.running = false
	c.opts.Scheduler.ObserveProbe(r.id, r.err == nil, r.latency)
	if r.err != nil {
		p.fails++
		return
	}
	p.fails = 0
	if r.health != nil {
		c.takeLeaving(p, r.health.Leaving, false)
	}
	if r.load != nil {
		c.takeLoad(p, *r.load)
	}
	if r.events != nil {
		c.takeEvents(p, *r.events)
	}
}

// takeLoad passes a load report on.
func (c *Controller) takeLoad(p *poll, load upstream.LoadReport) {
	restarted := p.load.Boot != "" && p.load.Boot != load.Boot
	p.load = load
	p.load.Requests = nil
	c.takeLeaving(p, load.Leaving, restarted)
	_, load.Leaving = c.leaving[p.up.ID]
	c.opts.Scheduler.ObserveLoad(p.up.ID, load)
}

// takeLeaving hears from an upstream itself whether it leaves, which is
// believed; one that was said to leave but has restarted is taken back.
func (c *Controller) takeLeaving(p *poll, leaving, restarted bool) {
	switch {
	case leaving:
		c.markLeaving(p.up.ID, leavesByReport)
	case restarted || c.unconfirmed(p.up.ID):
		c.clearLeaving(p.up.ID)
	}
}

// unconfirmed states whether an upstream that says that it stays is marked as
// leaving only by its own earlier report or by old news of a peer.
func (c *Controller) unconfirmed(id string) bool {
	l := c.leaving[id]
	oldNews := l.source == leavesByPeer && time.Since(l.since) > peerNewsTime
	return l.source == leavesByReport || oldNews
}

// takeEvents passes cache events on and follows their sequence.
func (c *Controller) takeEvents(p *poll, events upstream.CacheEvents) {
	if events.Boot != p.boot {
		p.boot, p.after = events.Boot, 0
	}
	for _, e := range events.Events {
		p.after = max(p.after, e.Sequence)
	}
	c.opts.Scheduler.ObserveCache(p.up.ID, events)
}
