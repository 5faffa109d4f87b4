package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

const (
	// maxDirectLinks bounds the number of accepted direct links.
	maxDirectLinks = 2048
	// defaultCallTimeout applies to calls without a deadline.
	defaultCallTimeout = 30 * time.Second
	// redialDelay is how long an attempt to open a direct link may be pending before a call starts
	// another one. The first packet to an instance that is not up yet is lost without an error and
	// repeated after a second only.
	redialDelay = 200 * time.Millisecond
)

// Call implements peer.Bus.
func (o *Overlay) Call(ctx context.Context, to string, topic peer.Topic, payload []byte) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if to == o.self.ID {
		return o.callSelf(ctx, topic, payload)
	}
	l, err := o.linkTo(ctx, to)
	if err != nil {
		return nil, err
	}
	id := o.lastCallID.Add(1)
	answers := l.registerCall(id)
	defer l.unregisterCall(id)
	sentAt := time.Now()
	deadline, _ := ctx.Deadline()
	request := callRequest{
		ID:            id,
		Topic:         topic,
		Payload:       payload,
		TimeoutMillis: uint64(max(0, time.Until(deadline).Milliseconds())),
	}
	o.sendOn(l, message{Call: &request})
	l.lastCall.Store(sentAt.UnixNano())
	select {
	case a := <-answers:
		return callResult(a)
	case <-l.closed:
		return nil, peer.ErrUnreachable
	case <-ctx.Done():
		closeIfSilent(l, sentAt)
		return nil, ctx.Err()
	}
}

// closeIfSilent closes a direct link on which nothing was received since sentAt,
// so that the next call opens a new one.
func closeIfSilent(l *link, sentAt time.Time) {
	if l.kind == linkDirect && l.lastReceived.Load() <= sentAt.UnixNano() {
		l.close()
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// callResult returns the payload or the error of a call's answer.
func callResult(a callAnswer) ([]byte, error) {
	if a.Error != "" {
		return nil, errors.New(a.Error)
	}
	return a.Payload, nil
}

// callSelf runs the local handler for a call of this instance to itself.
func (o *Overlay) callSelf(ctx context.Context, topic peer.Topic, payload []byte) ([]byte, error) {
	h := o.callHandlers[topic]
	if h == nil {
		return nil, errors.New("no handler for topic " + string(topic))
	}
	return h(ctx, o.self.ID, payload)
}

// linkTo returns an open link to a member: the overlay link if there is one, else
// a direct link.
func (o *Overlay) linkTo(ctx context.Context, id string) (*link, error) {
	if l := o.links.Load().byID[id]; l != nil && !l.isClosed() {
		return l, nil
	}
	m, ok := o.members.Load().byID[id]
	if !ok {
		return nil, peer.ErrUnreachable
	}
	return o.direct.open(ctx, m)
}

// receiveCall runs the handler of a call in its own goroutine.
func (o *Overlay) receiveCall(l *link, request callRequest) {
	l.lastCall.Store(time.Now().UnixNano())
	h := o.callHandlers[request.Topic]
	if h == nil {
		wire.CountUnknownKind(l.peer.ID, "call")
		o.sendAnswer(l, request.ID, nil, errors.New("no handler for topic "+string(request.Topic)))
		return
	}
	select {
	case o.callSlots <- struct{}{}:
	default:
		o.sendAnswer(l, request.ID, nil, errors.New("too many calls"))
		return
	}
	l.activeCalls.Add(1)
	done := func() {
		l.activeCalls.Add(-1)
		<-o.callSlots
	}
	started := o.spawn(func(ctx context.Context) {
		defer done()
		ctx, cancel := context.WithTimeout(ctx, request.timeout())
		defer cancel()
		payload, err := h(ctx, l.peer.ID, request.Payload)
		o.sendAnswer(l, request.ID, payload, err)
	})
	if !started { // the overlay has stopped
		done()
	}
}

func (r callRequest) timeout() time.Duration {
	return min(time.Duration(min(r.TimeoutMillis, 1<<31))*time.Millisecond, time.Hour)
}

func (o *Overlay) sendAnswer(l *link, id uint64, payload []byte, err error) {
	a := callAnswer{ID: id, Payload: payload}
	if err != nil {
		a.Payload, a.Error = nil, err.Error()
	}
	o.sendOn(l, message{Answer: &a})
}

// directLinks holds the links that carry only calls. dialled is keyed by member
// ID.
type directLinks struct {
	overlay  *Overlay
	mu       sync.Mutex
	dialled  map[string]*directEntry
	accepted map[*link]bool
}

// directEntry is one member's dialled link, or the pending attempt to open it.
// ready is closed when the attempt has ended.
type directEntry struct {
	ready     chan struct{}
	link      *link
	startedAt time.Time
}

func newDirectLinks(o *Overlay) *directLinks {
	return &directLinks{overlay: o, dialled: map[string]*directEntry{}, accepted: map[*link]bool{}}
}

// open returns the direct link to m. Concurrent calls share one attempt.
func (d *directLinks) open(ctx context.Context, m peer.Member) (*link, error) {
	entry := d.entryFor(m)
	if entry == nil {
		return nil, peer.ErrUnreachable
	}
	select {
	case <-entry.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if entry.link == nil || entry.link.isClosed() {
		return nil, peer.ErrUnreachable
	}
	return entry.link, nil
}

// entryFor returns the current entry of m, or starts a new dial attempt if there is none or it has
// been pending for redialDelay. It returns nil if the overlay is not running.
func (d *directLinks) entryFor(m peer.Member) *directEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if e, ok := d.dialled[m.ID]; ok && !e.failed() && (e.isReady() || now.Sub(e.startedAt) < redialDelay) {
		return e
	}
	e := &directEntry{ready: make(chan struct{}), startedAt: now}
	if !d.overlay.spawn(func(ctx context.Context) { d.dial(ctx, m, e) }) {
		return nil
	}
	d.dialled[m.ID] = e
	return e
}

// failed reports whether the attempt ended without a usable link.
func (e *directEntry) failed() bool {
	select {
	case <-e.ready:
		return e.link == nil || e.link.isClosed()
	default:
		return false
	}
}

// dial opens the link of an entry and serves it.
func (d *directLinks) dial(ctx context.Context, m peer.Member, e *directEntry) {
	d.openEntry(ctx, m, e)
	if e.link != nil && d.keep(m.ID, e) {
		d.overlay.serveLink(ctx, e.link)
	}
}

// keep makes an entry whose attempt has succeeded the current one of its member. It closes the link
// and returns false if a later attempt has succeeded before.
func (d *directLinks) keep(id string, e *directEntry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.dialled[id]; current != nil && current != e && current.isReady() && !current.failed() {
		e.link.close()
		return false
	}
	d.dialled[id] = e
	return true
}

// openEntry opens the link of an entry. Calls wait for ready, so it is closed in any case.
func (d *directLinks) openEntry(ctx context.Context, m peer.Member, e *directEntry) {
	defer close(e.ready)
	l, err := d.overlay.openLink(ctx, m, linkDirect)
	if err != nil {
		log.WithError(err).WithField("peer", m.ID).Debug("opening direct link failed")
		return
	}
	e.link = l
}

func (d *directLinks) addAccepted(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) >= maxDirectLinks {
		l.close()
		return
	}
	d.accepted[l] = true
}

func (d *directLinks) remove(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.accepted, l)
}

// closeIdle closes links that have carried no call for longer than idle. The
// acceptor waits twice as long, so that the dialler closes first.
func (d *directLinks) closeIdle(now time.Time, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.dialled {
		if e.failed() {
			delete(d.dialled, id)
		} else if e.isReady() && e.link.idleFor(now) > idle {
			e.link.close()
			delete(d.dialled, id)
		}
	}
	for l := range d.accepted {
		if l.idleFor(now) > 2*idle {
			l.close()
		}
	}
}

func (e *directEntry) isReady() bool {
	select {
	case <-e.ready:
		return true
	default:
		return false
	}
}

// count returns the numbers of dialled and accepted direct links.
func (d *directLinks) count() (dialled, accepted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.dialled), len(d.accepted)
}

func (d *directLinks) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.dialled {
		if e.isReady() && e.link != nil {
			e.link.close()
		}
	}
	for l := range d.accepted {
		l.close()
	}
}
