// Package control runs the instance's one control goroutine: it follows the
// catalogue, the live list and the upstreams' own reports, and tells the
// scheduler and the limiter what changed. Traffic never waits for it.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Topics of the messages between instances.
const (
	// topicLeaving carries the ID of an upstream that said it is leaving.
	topicLeaving peer.Topic = "upstream-leaving"
	// topicHint carries admit.Scheduler.PeerHint.
	topicHint peer.Topic = "load-hint"
	// topicPoison carries admit.Options.OnPoison.
	topicPoison peer.Topic = "poison"
)

// Scheduler is what control tells about upstreams. admit.Scheduler implements
// it.
type Scheduler interface {
	SetUpstreams(list []admit.Upstream)
	SetPolicy(p catalogue.PolicySpec)
	ObserveLoad(id string, r upstream.LoadReport)
	ObserveCache(id string, e upstream.CacheEvents)
	ObserveProbe(id string, ok bool, latency time.Duration)
	SetLeaving(id string, leaving bool)
	PeerHint() []byte
	ObservePeerHint(from string, payload []byte)
	ObservePoison(from string, payload []byte)
}

// Limiter is what control tells about limits.
type Limiter interface {
	SetLimits(limits map[string]catalogue.Limits)
}

// Upstreams is the part of the upstream client that control needs.
type Upstreams interface {
	Health(ctx context.Context, baseURL string) (upstream.Health, error)
	Load(ctx context.Context, baseURL string) (upstream.LoadReport, error)
	Events(ctx context.Context, baseURL string, after uint64) (upstream.CacheEvents, error)
}

// Options configures a Controller.
type Options struct {
	Bus       peer.Bus
	Scheduler Scheduler
	Limiter   Limiter
	Upstreams Upstreams
	LiveList  platform.LiveList
	// OnUpstreams, if set, is told of each new set of upstreams.
	OnUpstreams func([]admit.Upstream)
}

// Intervals of the control goroutine.
const (
	// tickInterval is the resolution of polls.
	tickInterval = 50 * time.Millisecond
	// hintInterval is the shortest interval of load hints to peers.
	hintInterval = 250 * time.Millisecond
	// maxHintInterval is the interval from which a hint would be too old to
	// correct anything; fleets so large that the budget asks for more send
	// none, since each instance's own share of the load is small there.
	maxHintInterval = 3 * time.Second
	// hintOverhead is what a broadcast costs an instance beside its payload, in
	// bytes: headers and announcements; see docs/CAPACITY.md.
	hintOverhead = 300
	// hintBytesPerSecond bounds the traffic of hints that an instance receives.
	hintBytesPerSecond = 8000
	// listInterval is the shortest interval of reads of the live list; it
	// grows with the fleet, so that the list's load does not.
	listInterval = time.Second
	// listIntervalPerMember is what each member adds to it.
	listIntervalPerMember = 20 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// Controller owns the instance's view of upstreams.
type Controller struct {
	opts Options
	log  logger
	// snapshot is the latest catalogue, installed the one in force.
	snapshot  atomic.Pointer[catalogue.Snapshot]
	installed atomic.Pointer[catalogue.Snapshot]
	// changed wakes the goroutine for a new snapshot.
	changed chan struct{}
	reports chan pollResult
	offers  chan offer
	listed  chan []platform.Listed
	news    chan string
	dumps   chan chan State
	loads   chan chan []EngineLoad
	// instances holds the IDs of the instances on the live list.
	instances atomic.Pointer[map[string]bool]

	// The fields below belong to the control goroutine.
	revision catalogue.Revision
	polls    map[string]*poll
	leaving  map[string]leave
	nextHint time.Time
	nextList time.Time
	listing  bool
}

// logger is the part of logrus that the package uses.
type logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// New returns a controller and registers its topics on the bus.
func New(opts Options) *Controller {
	c := &Controller{
		opts:    opts,
		log:     logging.For("control"),
		changed: make(chan struct{}, 1),
		reports: make(chan pollResult, maxPolls),
		offers:  make(chan offer, maxPolls),
		listed:  make(chan []platform.Listed, 1),
		news:    make(chan string, maxPolls),
		dumps:   make(chan chan State),
		loads:   make(chan chan []EngineLoad),
		polls:   map[string]*poll{},
		leaving: map[string]leave{},
	}
	opts.Bus.HandleBroadcast(topicHint, opts.Scheduler.ObservePeerHint)
	opts.Bus.HandleBroadcast(topicPoison, opts.Scheduler.ObservePoison)
	opts.Bus.HandleBroadcast(topicLeaving, c.onLeavingNews)
	return c
}

// SetCatalogue hands over a new snapshot; the latest one wins.
func (c *Controller) SetCatalogue(s *catalogue.Snapshot) {
	c.snapshot.Store(s)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Installed returns the catalogue in force, or nil: the scheduler and the limits
// follow it.
func (c *Controller) Installed() *catalogue.Snapshot { return c.installed.Load() }

// BroadcastPoison spreads a payload of admit.Options.OnPoison.
func (c *Controller) BroadcastPoison(payload []byte) { c.opts.Bus.Broadcast(topicPoison, payload) }

// onLeavingNews takes a peer's news about a leaving upstream.
func (c *Controller) onLeavingNews(_ string, payload []byte) {
	var id string
	if cbor.Unmarshal(payload, &id) != nil {
		return
	}
	select {
	case c.news <- id:
	default:
	}
}

// Run is the control goroutine. It ends with ctx.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
			c.install(c.snapshot.Load())
		case now := <-ticker.C:
			c.tick(ctx, now)
		case r := <-c.reports:
			c.report(r)
		case o := <-c.offers:
			c.takeOffer(o)
		case list := <-c.listed:
			c.applyList(list)
		case id := <-c.news:
			c.markLeaving(id, leavesByPeer)
		case answer := <-c.loads:
			answer <- c.engineLoads()
		case answer := <-c.dumps:
			answer <- c.state()
		}
	}
}

// install applies a new catalogue.
func (c *Controller) install(s *catalogue.Snapshot) {
	if s == nil || s.Revision() < c.revision {
		return
	}
	c.revision = s.Revision()
	limits := map[string]catalogue.Limits{}
	for _, e := range s.Entries(catalogue.KindWorkspace) {
		limits[e.Name] = e.Limits
	}
	c.opts.Limiter.SetLimits(limits)
	c.opts.Scheduler.SetPolicy(s.Policy())
	c.setUpstreams(s.Entries(catalogue.KindUpstream))
	c.installed.Store(s)
	c.log.Infof("installed catalogue revision %d with %d entries", s.Revision(), s.Len())
}

// setUpstreams replaces the set of upstreams; known ones keep their polls.
func (c *Controller) setUpstreams(entries []*catalogue.Entry) {
	entries = subset(entries, c.opts.Bus.Self(), len(c.opts.Bus.Members()))
	list := make([]admit.Upstream, 0, len(entries))
	polls := make(map[string]*poll, len(entries))
	for _, e := range entries {
		up := admit.Upstream{
			ID:           e.Name,
			URL:          e.Upstream.URL,
			DataCentre:   e.Upstream.DataCentre,
			Models:       e.Upstream.Models,
			Service:      e.Upstream.Service,
			MemoryTokens: e.Upstream.MemoryTokens,
		}
		list = append(list, up)
		polls[up.ID] = c.poll(up)
	}
	c.polls = polls
	for id := range c.leaving {
		if polls[id] == nil {
			delete(c.leaving, id)
		}
	}
	c.opts.Scheduler.SetUpstreams(list)
	if c.opts.OnUpstreams != nil {
		c.opts.OnUpstreams(list)
	}
}

// tick starts what is due.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.startPolls(ctx, now)
	c.sendHint(now)
	c.readList(ctx, now)
}

// sendHint broadcasts what this instance sent, as often as the fleet's size
// allows.
func (c *Controller) sendHint(now time.Time) {
	if now.Before(c.nextHint) {
		return
	}
	payload := c.opts.Scheduler.PeerHint()
	members := len(c.opts.Bus.Members())
	perRound := time.Duration((len(payload)+hintOverhead)*members) * time.Second / hintBytesPerSecond
	c.nextHint = now.Add(max(hintInterval, min(perRound, maxHintInterval)))
	if len(payload) > 0 && members > 1 && perRound <= maxHintInterval {
		c.opts.Bus.Broadcast(topicHint, payload)
	}
}

// readList reads the live list in the background, one read at a time.
func (c *Controller) readList(ctx context.Context, now time.Time) {
	if c.listing || now.Before(c.nextList) {
		return
	}
	c.listing = true
	c.nextList = now.Add(listInterval + time.Duration(len(c.opts.Bus.Members()))*listIntervalPerMember)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := c.opts.LiveList.List(ctx)
		if err != nil {
			list = nil
		}
		c.listed <- list
	}()
}

// applyList believes the list when it says that an upstream leaves.
func (c *Controller) applyList(list []platform.Listed) {
	c.listing = false
	if list == nil {
		return
	}
	instances := map[string]bool{}
	for _, l := range list {
		if l.Role == "instance" {
			instances[l.ID] = true
		}
		if l.Role != "upstream" {
			continue
		}
		if l.Phase == platform.Leaving {
			c.markLeaving(l.ID, leavesByList)
		} else if c.leaving[l.ID].source == leavesByList {
			c.clearLeaving(l.ID)
		}
	}
	c.instances.Store(&instances)
}

// ListedInstances returns the number of instances on the platform's list, or
// zero if it was never read.
func (c *Controller) ListedInstances() int {
	if listed := c.instances.Load(); listed != nil {
		return len(*listed)
	}
	return 0
}

// IsListed states whether the platform's list shows an instance.
func (c *Controller) IsListed(id string) bool {
	listed := c.instances.Load()
	return listed != nil && (*listed)[id]
}

// leaveSource says who told that an upstream is leaving.
type leaveSource string

// Sources of the news that an upstream is leaving.
const (
	leavesByList   leaveSource = "list"
	leavesByPeer   leaveSource = "peer"
	leavesByReport leaveSource = "report"
)

// leave is the news that an upstream is leaving.
type leave struct {
	source leaveSource
	since  time.Time
}

// peerNewsTime is how long a peer's news is believed without confirmation by
// the upstream itself or the list.
const peerNewsTime = 15 * time.Second

// markLeaving stops new work to an upstream at once. The first news from the
// upstream itself or from the list goes to the peers.
func (c *Controller) markLeaving(id string, source leaveSource) {
	if c.polls[id] == nil {
		return
	}
	before, known := c.leaving[id]
	if !known || before.source == leavesByPeer {
		c.leaving[id] = leave{source: source, since: time.Now()}
	}
	if known {
		return
	}
	c.log.Infof("upstream %s is leaving (%s)", id, source)
	c.opts.Scheduler.SetLeaving(id, true)
	if source != leavesByPeer {
		payload, _ := cbor.Marshal(id) // a string always encodes
		c.opts.Bus.Broadcast(topicLeaving, payload)
	}
}

func (c *Controller) clearLeaving(id string) {
	if _, ok := c.leaving[id]; !ok {
		return
	}
	delete(c.leaving, id)
	c.log.Infof("upstream %s is back", id)
	c.opts.Scheduler.SetLeaving(id, false)
}

// State is the controller's part of a dump.
type State struct {
	Revision  catalogue.Revision     `json:"revision"`
	Upstreams []UpstreamState        `json:"upstreams"`
	Leaving   map[string]leaveSource `json:"leaving,omitempty"`
}

// Dump returns the present state, or nil if the goroutine does not run.
func (c *Controller) Dump() any {
	answer := make(chan State, 1)
	select {
	case c.dumps <- answer:
		return <-answer
	case <-time.After(dumpTimeout):
		return nil
	}
}

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = time.Second

func (c *Controller) state() State {
	s := State{Revision: c.revision, Leaving: make(map[string]leaveSource, len(c.leaving))}
	for id, l := range c.leaving {
		s.Leaving[id] = l.source
	}
	for _, p := range c.polls {
		s.Upstreams = append(s.Upstreams, p.state())
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s
}
