package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

var log = logging.For("member")

const (
	// maxOverlayLinks is the number of open overlay links at which an instance
	// accepts no more. Links that it dials itself are not limited.
	maxOverlayLinks = 64
	// maxConcurrentCalls bounds the calls of other instances that run at a time.
	maxConcurrentCalls = 1024
	// maxQueuedEvents bounds the events that wait for the control goroutine.
	maxQueuedEvents = 1024
)

// Options configures an Overlay.
type Options struct {
	// Self is this instance; its Address is where others dial it.
	Self peer.Member
	// Secret is shared by all instances of the deployment.
	Secret []byte
	// LiveList provides the first instances to dial.
	LiveList platform.LiveList
	// Dialer opens links; nil means WebSocket without TLS.
	Dialer Dialer
	// Timing overrides the default intervals and timeouts.
	Timing Timing
}

// Overlay connects this instance to the others. It implements peer.Bus.
type Overlay struct {
	self peer.Member
	// refreshList has the list read before its interval has passed.
	refreshList chan struct{}
	// secret authenticates new links.
	secret   atomic.Pointer[[]byte]
	liveList platform.LiveList
	dialer   Dialer
	timing   Timing
	counters *counters
	// build names the build of this instance.
	build            string
	builds           *builds
	filter           *filter
	direct           *directLinks
	lastCallID       atomic.Uint64
	callSlots        chan struct{}
	lastBroadcastSeq atomic.Uint64
	listedCount      atomic.Int64

	broadcastHandlers map[peer.Topic]peer.BroadcastHandler
	callHandlers      map[peer.Topic]peer.CallHandler
	streamHandler     peer.StreamHandler

	events  chan event
	members atomic.Pointer[memberView]
	links   atomic.Pointer[linkView]

	// mu guards runContext and additions to the wait group.
	mu         sync.Mutex
	runContext context.Context
	workers    sync.WaitGroup
}

var _ peer.StreamBus = (*Overlay)(nil)

// memberView is an immutable list of members.
type memberView struct {
	members []peer.Member
	byID    map[string]peer.Member
}

// linkView is an immutable set of open overlay links.
type linkView struct {
	links []*link
	byID  map[string]*link
	ids   []string
}

// New returns an overlay that is not yet running.
func New(opts Options) (*Overlay, error) {
	if opts.Self.ID == "" || opts.Self.Address == "" || len(opts.Secret) == 0 {
		return nil, trace.BadParameter("overlay options require Self.ID, Self.Address and Secret")
	}
	if opts.Dialer == nil {
		opts.Dialer = NewWebSocketDialer(nil)
	}
	o := &Overlay{
		self:              opts.Self,
		liveList:          opts.LiveList,
		dialer:            opts.Dialer,
		timing:            opts.Timing.withDefaults(),
		counters:          newCounters(),
		build:             build.ID(),
		builds:            newBuilds(opts.Self, build.ID(), time.Now()),
		filter:            newFilter(),
		callSlots:         make(chan struct{}, maxConcurrentCalls),
		broadcastHandlers: map[peer.Topic]peer.BroadcastHandler{},
		callHandlers:      map[peer.Topic]peer.CallHandler{},
		events:            make(chan event, maxQueuedEvents),
		refreshList:       make(chan struct{}, 1),
	}
	o.secret.Store(&opts.Secret)
	o.direct = newDirectLinks(o)
	o.publishMembers([]peer.Member{opts.Self})
	o.links.Store(&linkView{})
	o.counters.registerGauges(o)
	return o, nil
}

// SetSecret replaces the secret. Open links stay.
func (o *Overlay) SetSecret(secret []byte) { o.secret.Store(&secret) }

// Run runs the overlay until ctx ends, then notifies the others that this
// instance has left. It must be called once.
func (o *Overlay) Run(ctx context.Context) error {
	c, err := newControl(o, time.Now())
	if err != nil {
		return trace.Wrap(err, "starting the overlay")
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	o.mu.Lock()
	o.runContext = running
	o.mu.Unlock()
	o.spawn(func(run context.Context) { panics.Restart(run, log, o.pollList) })
	c.loop(ctx)
	c.sendLeave()
	o.mu.Lock()
	stop()
	o.mu.Unlock()
	c.closeAll()
	o.direct.closeAll()
	o.workers.Wait()
	return ctx.Err()
}

// spawn starts a goroutine that Run waits for. It returns false if the
// overlay is not running.
func (o *Overlay) spawn(f func(ctx context.Context)) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runContext == nil || o.runContext.Err() != nil {
		return false
	}
	ctx := o.runContext
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		panics.Run(log, func() { f(ctx) })
	}()
	return true
}

// post passes an event to the control goroutine.
func (o *Overlay) post(ctx context.Context, e event) {
	select {
	case o.events <- e:
	case <-ctx.Done():
	}
}

// SetLeaving notifies all instances that this one takes no new work.
func (o *Overlay) SetLeaving() {
	o.spawn(func(ctx context.Context) { o.post(ctx, leaveRequested{}) })
}

// Self implements peer.Bus.
func (o *Overlay) Self() peer.Member { return o.members.Load().byID[o.self.ID] }

// Members implements peer.Bus.
func (o *Overlay) Members() []peer.Member { return o.members.Load().members }

// Neighbours implements peer.Bus.
func (o *Overlay) Neighbours() []string { return o.links.Load().ids }

// Listed returns the number of instances on the platform's list, this one
// included, or zero before the first read of the list.
func (o *Overlay) Listed() int { return int(o.listedCount.Load()) }

// HandleBroadcast implements peer.Bus.
func (o *Overlay) HandleBroadcast(topic peer.Topic, h peer.BroadcastHandler) {
	o.broadcastHandlers[topic] = func(from string, payload []byte) {
		panics.Run(log.WithField("topic", topic).WithField("peer", from), func() { h(from, payload) })
	}
}

// HandleCall implements peer.Bus.
func (o *Overlay) HandleCall(topic peer.Topic, h peer.CallHandler) {
	o.callHandlers[topic] = func(ctx context.Context, from string, payload []byte) (answer []byte, err error) {
		defer panics.RecoverError(log.WithField("topic", topic).WithField("peer", from), &err)
		return h(ctx, from, payload)
	}
}

func (o *Overlay) publishMembers(members []peer.Member) {
	view := &memberView{members: members, byID: make(map[string]peer.Member, len(members))}
	for _, m := range members {
		view.byID[m.ID] = m
	}
	o.members.Store(view)
}

// pollList polls the platform's list of live instances.
func (o *Overlay) pollList(ctx context.Context) {
	if o.liveList == nil {
		return
	}
	for {
		listed, err := o.liveList.List(ctx)
		if err != nil {
			log.WithError(err).Debug("reading live list failed")
		} else {
			o.post(ctx, listRead{listed})
		}
		timer := time.NewTimer(o.listInterval())
		select {
		case <-timer.C:
		case <-o.refreshList:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// RefreshList has the platform's list read again soon. It does not block.
func (o *Overlay) RefreshList() {
	select {
	case o.refreshList <- struct{}{}:
	default: // it is about to be read
	}
}

// listInterval returns the time until the next read of the list. It grows with
// the fleet and has a jitter of up to a quarter.
func (o *Overlay) listInterval() time.Duration {
	interval := time.Duration(len(o.Members())) * listIntervalPerMember
	interval = max(interval, o.timing.ListInterval)
	return interval + rand.N(interval/4)
}
