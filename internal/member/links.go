package member

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// Accept runs the acceptor's side of a link on conn and serves it until it is
// closed.
func (o *Overlay) Accept(conn Conn) {
	done := make(chan struct{})
	started := o.spawn(func(ctx context.Context) {
		defer close(done)
		o.acceptLink(ctx, conn)
	})
	if !started {
		conn.Close()
		return
	}
	<-done
}

func (o *Overlay) acceptLink(ctx context.Context, conn Conn) {
	defer conn.Close()
	handshakeCtx, cancel := context.WithTimeout(ctx, o.timing.DialTimeout)
	defer cancel()
	first, err := acceptHandshake(handshakeCtx, conn, *o.secret.Load(), recordOf(o.Self()), o.refusal)
	if err != nil {
		log.WithError(err).Debug("link rejected")
		return
	}
	o.builds.noteConn(first.From.member(), conn, time.Now())
	if first.Kind == linkStream {
		o.streamHandler(ctx, first.From.ID, conn)
		return
	}
	o.serveLink(ctx, newLink(conn, first.Kind, false, first.From.member()))
}

// refusal returns the reason for refusing a link, or "".
func (o *Overlay) refusal(first hello) string {
	switch {
	case first.Version < lowestVersion || first.Version > highestVersion:
		return fmt.Sprintf("protocol version %d is unknown to instance %s, which knows %d to %d", first.Version, o.self.ID, lowestVersion, highestVersion)
	case first.To != "" && first.To != o.self.ID:
		return "this is instance " + o.self.ID
	case first.From.ID == o.self.ID:
		return "the same instance ID"
	case first.Kind == linkOverlay && len(o.links.Load().links) >= maxOverlayLinks:
		return "too many links"
	case first.Kind == linkStream && o.streamHandler == nil:
		return "no streams are served"
	case first.Kind < linkOverlay || first.Kind > linkStream:
		return fmt.Sprintf("kind of link %d is unknown to instance %s, which knows %d to %d", first.Kind, o.self.ID, linkOverlay, linkStream)
	}
	return ""
}

// openLink opens a link to m.
func (o *Overlay) openLink(ctx context.Context, m peer.Member, kind linkKind) (*link, error) {
	conn, other, err := o.connect(ctx, m, kind)
	if err != nil {
		return nil, err
	}
	return newLink(conn, kind, true, other.member()), nil
}

// connect dials m and runs the handshake. It returns m's record.
func (o *Overlay) connect(ctx context.Context, m peer.Member, kind linkKind) (Conn, record, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timing.DialTimeout)
	defer cancel()
	conn, err := o.dialer.Dial(ctx, m.Address)
	if err != nil {
		return nil, record{}, err
	}
	first := hello{Kind: kind, To: m.ID, From: recordOf(o.Self())}
	other, err := dialHandshake(ctx, conn, *o.secret.Load(), first)
	if err != nil {
		conn.Close()
		return nil, record{}, err
	}
	o.builds.noteConn(other.member(), conn, time.Now())
	return conn, other, nil
}

// serveLink runs a link until it is closed.
func (o *Overlay) serveLink(ctx context.Context, l *link) {
	defer l.close()
	if !o.spawn(func(ctx context.Context) { l.write(ctx) }) {
		return
	}
	if l.kind == linkOverlay {
		o.post(ctx, linkOpened{l})
		defer o.post(ctx, linkClosed{l})
	} else if !l.dialled {
		o.direct.addAccepted(l)
		defer o.direct.remove(l)
	}
	for {
		frame, err := l.conn.Read(ctx)
		if err != nil {
			return
		}
		if err := o.receive(ctx, l, frame); err != nil {
			log.WithError(err).WithField("peer", l.peer.ID).Warn("link closed: message cannot be decoded")
			return
		}
	}
}

// receive decodes and handles one message.
func (o *Overlay) receive(ctx context.Context, l *link, frame []byte) error {
	started := time.Now()
	var m message
	if err := decoding.Unmarshal(frame, &m, l.peer.ID); err != nil {
		return trace.Wrap(err, "decoding message")
	}
	l.markReceived()
	topic := m.topic()
	switch {
	case m.Broadcast != nil:
		o.receiveBroadcast(l, m.Broadcast, frame)
	case m.Prune:
		l.lazy.Store(true)
	case m.Graft != nil:
		o.receiveGraft(l, m.Graft)
	case m.Call != nil:
		o.receiveCall(l, *m.Call)
	case m.Answer != nil:
		l.deliver(*m.Answer)
	case l.kind == linkOverlay:
		if m.Heartbeat != nil {
			o.receiveAnnounced(l, m.Heartbeat.Announced)
		}
		o.post(ctx, received{l, m})
	}
	o.counters.received(topic, len(frame), time.Since(started))
	return nil
}

// topic returns the name of the message's kind in metrics.
func (m *message) topic() string {
	switch {
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.Gossip != nil:
		return "gossip"
	case m.Broadcast != nil:
		return "broadcast/" + string(m.Broadcast.Topic)
	case m.Call != nil:
		return "call/" + string(m.Call.Topic)
	case m.Answer != nil:
		return "answer"
	case m.Sync != nil:
		return "sync"
	case m.Prune:
		return "prune"
	case m.Graft != nil:
		return "graft"
	case m.Bye:
		return "bye"
	}
	return "unknown"
}

// sendOn encodes and queues a message; a full queue closes the link.
func (o *Overlay) sendOn(l *link, m message) {
	frame := encode(m)
	if !l.send(frame) {
		l.close()
		return
	}
	o.counters.sent(m.topic(), len(frame))
}
