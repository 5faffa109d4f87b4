// Package control runs the instance's control goroutine: it follows the catalogue,
// the live list and the load reports of upstreams, and applies changes to the
// scheduler and the limiter. Request handling never waits for it.
//
// It exchanges broadcasts with the other instances: which upstreams are leaving,
// the work that an instance has outstanding on its busiest upstreams (hints), and
// the scheduler's notices of poison requests, which are suspected of crashing
// upstreams. With many upstreams an instance follows and uses only a subset.
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
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/upstream"
	"github.com/banyanroute/banyanroute/internal/wire"
)

var log = logging.For("control")

// Topics of the broadcasts between instances.
const (
	// topicLeaving carries the ID of an upstream that is leaving.
	topicLeaving peer.Topic = "upstream-leaving"
	// topicHint carries the payload of admit.Scheduler.PeerHint.
	topicHint peer.Topic = "load-hint"
	// topicPoison carries the payload of admit.Options.OnPoison.
	topicPoison peer.Topic = "poison"
)

// Scheduler receives updates about upstreams. admit.Scheduler implements it.
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

// Limiter receives the limits of workspaces.
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
	// OnUpstreamsChanged, if set, is called with each new set of upstreams.
	OnUpstreamsChanged func([]admit.Upstream)
}

// Intervals of the control goroutine.
const (
	// tickInterval is the resolution of the control goroutine's timers.
	tickInterval = 50 * time.Millisecond
	// minHintInterval is the shortest interval of load hints to peers.
	minHintInterval = 250 * time.Millisecond
	// maxHintInterval is the interval above which a hint would be too old to
	// correct anything. Fleets so large that the traffic budget requires a
	// longer one send no hints, since each instance's own share of the load is
	// small there.
	maxHintInterval = 3 * time.Second
	// hintOverheadBytes is the traffic of a broadcast per instance besides its
	// payload: headers and announcements; see docs/CAPACITY.md.
	hintOverheadBytes = 300
	// maxHintBytesPerSecond bounds the traffic of hints that an instance
	// receives.
	maxHintBytesPerSecond = 8000
	// listInterval is the interval of reads of the live list, to which each
	// member adds listIntervalPerMember, so that the load on the list does not
	// grow with the fleet.
	listInterval          = time.Second
	listIntervalPerMember = 20 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// Controller owns the instance's view of the upstreams.
type Controller struct {
	opts Options
	// snapshot is the latest catalogue received, active the one in use.
	snapshot atomic.Pointer[catalogue.Snapshot]
	active   atomic.Pointer[catalogue.Snapshot]
	// changed signals a new snapshot to the control goroutine.
	changed          chan struct{}
	pollResults      chan pollResult
	piggybackedLoads chan piggybackedLoad
	listed           chan []platform.LiveListEntry
	leavingNotices   chan string
	dumpRequests     chan chan State
	loadRequests     chan chan []EngineLoad
	// instances holds the IDs of the instances on the live list.
	instances atomic.Pointer[map[string]bool]

	// The fields below belong to the control goroutine.
	revision        catalogue.Revision
	polls           map[string]*poll
	leaving         map[string]leavingNotice
	nextHint        time.Time
	nextList        time.Time
	listReadRunning bool
}

// New returns a controller and registers its topics on the bus.
func New(opts Options) *Controller {
	c := &Controller{
		opts:             opts,
		changed:          make(chan struct{}, 1),
		pollResults:      make(chan pollResult, maxQueued),
		piggybackedLoads: make(chan piggybackedLoad, maxQueued),
		listed:           make(chan []platform.LiveListEntry, 1),
		leavingNotices:   make(chan string, maxQueued),
		dumpRequests:     make(chan chan State),
		loadRequests:     make(chan chan []EngineLoad),
		polls:            map[string]*poll{},
		leaving:          map[string]leavingNotice{},
	}
	opts.Bus.HandleBroadcast(topicHint, opts.Scheduler.ObservePeerHint)
	opts.Bus.HandleBroadcast(topicPoison, opts.Scheduler.ObservePoison)
	opts.Bus.HandleBroadcast(topicLeaving, c.onLeavingNotice)
	return c
}

// SetCatalogue passes a new snapshot to the control goroutine; the latest one
// replaces those not yet applied.
func (c *Controller) SetCatalogue(s *catalogue.Snapshot) {
	c.snapshot.Store(s)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// ActiveCatalogue returns the active catalogue, which the scheduler and the limiter
// use, or nil before the first one.
func (c *Controller) ActiveCatalogue() *catalogue.Snapshot { return c.active.Load() }

// BroadcastPoison broadcasts a payload of admit.Options.OnPoison.
func (c *Controller) BroadcastPoison(payload []byte) { c.opts.Bus.Broadcast(topicPoison, payload) }

// onLeavingNotice handles a peer's notice that an upstream is leaving. The
// notice is dropped if the queue is full.
func (c *Controller) onLeavingNotice(from string, payload []byte) {
	var id string
	if wire.Unmarshal(payload, &id, from) != nil {
		return
	}
	select {
	case c.leavingNotices <- id:
	default:
	}
}

// Run is the control goroutine. It ends with ctx.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		panics.Run(log, func() { c.handleNext(ctx, ticker.C) })
	}
	return nil
}

// handleNext waits for the next event and handles it.
func (c *Controller) handleNext(ctx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-c.changed:
		c.install(c.snapshot.Load())
	case now := <-ticks:
		c.tick(ctx, now)
	case r := <-c.pollResults:
		c.applyPoll(r)
	case l := <-c.piggybackedLoads:
		c.applyPiggybackedLoad(l)
	case list := <-c.listed:
		c.applyList(list)
	case id := <-c.leavingNotices:
		c.markLeaving(id, leavingByPeer)
	case reply := <-c.loadRequests:
		reply <- c.engineLoads()
	case reply := <-c.dumpRequests:
		reply <- c.state()
	}
}

// install applies a new catalogue, unless its revision is lower than that of the
// active one.
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
	c.active.Store(s)
	log.Infof("catalogue installed: revision %d with %d entries", s.Revision(), s.Len())
}

// setUpstreams replaces the set of upstreams; known ones keep their polling state.
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
		polls[up.ID] = c.pollState(up)
	}
	c.polls = polls
	for id := range c.leaving {
		if polls[id] == nil {
			delete(c.leaving, id)
		}
	}
	c.opts.Scheduler.SetUpstreams(list)
	if c.opts.OnUpstreamsChanged != nil {
		c.opts.OnUpstreamsChanged(list)
	}
}

// tick starts polls, hints and reads of the live list that are due.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.startPolls(ctx, now)
	c.sendHint(now)
	c.readList(ctx, now)
}

// sendHint broadcasts the load that this instance sent to upstreams, as often as
// the traffic budget allows at the fleet's size.
func (c *Controller) sendHint(now time.Time) {
	if now.Before(c.nextHint) {
		return
	}
	payload := c.opts.Scheduler.PeerHint()
	members := len(c.opts.Bus.Members())
	perRound := time.Duration((len(payload)+hintOverheadBytes)*members) * time.Second / maxHintBytesPerSecond
	c.nextHint = now.Add(max(minHintInterval, min(perRound, maxHintInterval)))
	if len(payload) > 0 && members > 1 && perRound <= maxHintInterval {
		c.opts.Bus.Broadcast(topicHint, payload)
	}
}

// readList reads the live list in the background, one read at a time.
func (c *Controller) readList(ctx context.Context, now time.Time) {
	if c.listReadRunning || now.Before(c.nextList) {
		return
	}
	c.listReadRunning = true
	c.nextList = now.Add(listInterval + time.Duration(len(c.opts.Bus.Members()))*listIntervalPerMember)
	go panics.Run(log, func() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := c.list(ctx)
		if err != nil {
			log.WithError(err).Debug("reading live list failed")
			list = nil
		}
		c.listed <- list
	})
}

// list reads the live list.
func (c *Controller) list(ctx context.Context) (list []platform.LiveListEntry, err error) {
	defer panics.RecoverError(log, &err)
	return c.opts.LiveList.List(ctx)
}

// applyList applies the phases of upstreams on the live list and stores the IDs
// of the listed instances.
func (c *Controller) applyList(list []platform.LiveListEntry) {
	c.listReadRunning = false
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
			c.markLeaving(l.ID, leavingByList)
		} else if c.leaving[l.ID].source == leavingByList {
			c.clearLeaving(l.ID)
		}
	}
	c.instances.Store(&instances)
}

// ListedInstances returns the number of instances on the platform's list, or
// zero if it was never read successfully.
func (c *Controller) ListedInstances() int {
	if listed := c.instances.Load(); listed != nil {
		return len(*listed)
	}
	return 0
}

// IsListed reports whether an instance is on the platform's list.
func (c *Controller) IsListed(id string) bool {
	listed := c.instances.Load()
	return listed != nil && (*listed)[id]
}

// leavingSource is the source of a notice that an upstream is leaving.
type leavingSource string

// Sources of a leavingNotice: the platform's list, another instance, and the
// upstream's own report.
const (
	leavingByList   leavingSource = "list"
	leavingByPeer   leavingSource = "peer"
	leavingByReport leavingSource = "report"
)

// leavingNotice is a notice that an upstream is leaving, received at since.
type leavingNotice struct {
	source leavingSource
	since  time.Time
}

// peerNoticeTimeout is the time after which a peer's notice expires if neither the
// upstream itself nor the list confirms it.
const peerNoticeTimeout = 15 * time.Second

// markLeaving stops new work to an upstream immediately. The first notice is
// broadcast to the peers if it comes from the upstream itself or from the list.
func (c *Controller) markLeaving(id string, source leavingSource) {
	if c.polls[id] == nil {
		return
	}
	before, known := c.leaving[id]
	if !known || before.source == leavingByPeer {
		c.leaving[id] = leavingNotice{source: source, since: time.Now()}
	}
	if known {
		return
	}
	log.Infof("upstream %s is leaving (%s)", id, source)
	c.opts.Scheduler.SetLeaving(id, true)
	if source != leavingByPeer {
		payload, _ := cbor.Marshal(id) // encoding a string cannot fail
		c.opts.Bus.Broadcast(topicLeaving, payload)
	}
}

// clearLeaving resumes work to an upstream that is no longer leaving.
func (c *Controller) clearLeaving(id string) {
	if _, ok := c.leaving[id]; !ok {
		return
	}
	delete(c.leaving, id)
	log.Infof("upstream %s is no longer leaving", id)
	c.opts.Scheduler.SetLeaving(id, false)
}

// State is the controller's part of a state dump.
type State struct {
	Revision  catalogue.Revision       `json:"revision"`
	Upstreams []UpstreamState          `json:"upstreams"`
	Leaving   map[string]leavingSource `json:"leaving,omitempty"`
}

// Dump returns the current State, or nil if the control goroutine does not answer.
func (c *Controller) Dump() any {
	reply := make(chan State, 1)
	select {
	case c.dumpRequests <- reply:
		return <-reply
	case <-time.After(dumpTimeout):
		return nil
	}
}

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = time.Second

func (c *Controller) state() State {
	s := State{Revision: c.revision, Leaving: make(map[string]leavingSource, len(c.leaving))}
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
