package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// maxDirectLinks bounds the accepted direct links.
	maxDirectLinks = 2048
	// defaultCallTimeout applies to calls without a deadline.
	defaultCallTimeout = 30 * time.Second
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
	id := o.calls.Add(1)
	answers := l.expect(id)
	defer l.forget(id)
	sentAt := time.Now()
	deadline, _ := ctx.Deadline()
	request := callRequest{
		ID:            id,
		Topic:         topic,
		Payload:       payload,
		TimeoutMillis: uint64(max(0, time.Until(deadline).Milliseconds())),
	}
	o.sendOn(l, message{Call: &request})
	l.used.Store(sentAt.UnixNano())
	select {
	case a := <-answers:
		return outcome(a)
	case <-l.closed:
		return nil, peer.ErrUnreachable
	case <-ctx.Done():
		closeIfSilent(l, sentAt)
		return nil, ctx.Err()
	}
}

// closeIfSilent drops a direct link on which nothing came back since sentAt,
// so that the next call opens a new one.
func closeIfSilent(l *link, sentAt time.Time) {
	if l.kind == linkDirect && l.heard.Load() <= sentAt.UnixNano() {
		l.close()
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

func outcome(a callAnswer) ([]byte, error) {
	if a.Error != "" {
		return nil, errors.New(a.Error)
	}
	return a.Payload, nil
}

// callSelf answers a call of this instance to itself.
func (o *Overlay) callSelf(ctx context.Context, topic peer.Topic, payload []byte) ([]byte, error) {
	h := o.callHandlers[topic]
	if h == nil {
		return nil, errors.New("no handler for topic " + string(topic))
	}
	return h(ctx, o.self.ID, payload)
}

// linkTo returns an open link to a member, opening a direct one if needed.
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

// receiveCall answers a call in a goroutine of its own.
func (o *Overlay) receiveCall(l *link, request callRequest) {
	l.used.Store(time.Now().UnixNano())
	h := o.callHandlers[request.Topic]
	if h == nil {
		o.answer(l, request.ID, nil, errors.New("no handler for topic "+string(request.Topic)))
		return
	}
	select {
	case o.slots <- struct{}{}:
	default:
		o.answer(l, request.ID, nil, errors.New("too many calls"))
		return
	}
	l.active.Add(1)
	o.spawn(func(ctx context.Context) {
		defer l.active.Add(-1)
		defer func() { <-o.slots }()
		ctx, cancel := context.WithTimeout(ctx, request.timeout())
		defer cancel()
		payload, err := h(ctx, l.peer.ID, request.Payload)
		o.answer(l, request.ID, payload, err)
	})
}

func (r callRequest) timeout() time.Duration {
	return min(time.Duration(min(r.TimeoutMillis, 1<<31))*time.Millisecond, time.Hour)
}

func (o *Overlay) answer(l *link, id uint64, payload []byte, err error) {
	a := callAnswer{ID: id, Payload: payload}
	if err != nil {
		a.Payload, a.Error = nil, err.Error()
	}
	o.sendOn(l, message{Answer: &a})
}

// directLinks holds the links that carry only calls.
type directLinks struct {
	overlay *Overlay
	mu      sync.Mutex
	dialled map[string]*directSlot
	inbound map[*link]bool
}

// directSlot is one member's dialled link, or the attempt to open it.
type directSlot struct {
	ready chan struct{}
	link  *link
}

func newDirectLinks(o *Overlay) *directLinks {
	return &directLinks{overlay: o, dialled: map[string]*directSlot{}, inbound: map[*link]bool{}}
}

// open returns the direct link to m. Concurrent calls share one attempt.
func (d *directLinks) open(ctx context.Context, m peer.Member) (*link, error) {
	slot := d.slot(m)
	if slot == nil {
		return nil, peer.ErrUnreachable
	}
	select {
	case <-slot.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if slot.link == nil || slot.link.isClosed() {
		return nil, peer.ErrUnreachable
	}
	return slot.link, nil
}

// slot returns the present slot of m, or starts a new attempt. It returns nil
// if the overlay is not running.
func (d *directLinks) slot(m peer.Member) *directSlot {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.dialled[m.ID]; ok && !s.failed() {
		return s
	}
	s := &directSlot{ready: make(chan struct{})}
	if !d.overlay.spawn(func(ctx context.Context) { d.dial(ctx, m, s) }) {
		return nil
	}
	d.dialled[m.ID] = s
	return s
}

// failed states whether the attempt ended without a usable link.
func (s *directSlot) failed() bool {
	select {
	case <-s.ready:
		return s.link == nil || s.link.isClosed()
	default:
		return false
	}
}

func (d *directLinks) dial(ctx context.Context, m peer.Member, s *directSlot) {
	l, err := d.overlay.openLink(ctx, m, linkDirect)
	if err != nil {
		log.WithError(err).WithField("peer", m.ID).Debug("A direct link could not be opened.")
		close(s.ready)
		return
	}
	s.link = l
	close(s.ready)
	d.overlay.serveLink(ctx, l)
}

func (d *directLinks) accepted(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.inbound) >= maxDirectLinks {
		l.close()
	}
	d.inbound[l] = true
}

func (d *directLinks) remove(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inbound, l)
}

// closeIdle closes links that carried no call for a while. The acceptor waits
// twice as long, so that the dialler closes first.
func (d *directLinks) closeIdle(now time.Time, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.dialled {
		if s.failed() {
			delete(d.dialled, id)
		} else if s.isReady() && s.link.idleFor(now) > idle {
			s.link.close()
			delete(d.dialled, id)
		}
	}
	for l := range d.inbound {
		if l.idleFor(now) > 2*idle {
			l.close()
		}
	}
}

func (s *directSlot) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// count returns the numbers of dialled and accepted direct links.
func (d *directLinks) count() (dialled, inbound int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.dialled), len(d.inbound)
}

func (d *directLinks) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.dialled {
		if s.isReady() && s.link != nil {
			s.link.close()
		}
	}
	for l := range d.inbound {
		l.close()
	}
}
