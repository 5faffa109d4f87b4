package member

import (
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// Broadcast implements peer.Bus.
func (o *Overlay) Broadcast(topic peer.Topic, payload []byte) {
	b := &broadcast{
		Origin:      o.self.ID,
		Incarnation: o.self.Incarnation,
		Seq:         o.lastBroadcastSeq.Add(1),
		Topic:       topic,
		Payload:     payload,
	}
	frame := encode(message{Broadcast: b})
	o.filter.check(b, frame)
	o.forward(b, frame, nil)
}

// forward sends a broadcast on all overlay links except the one it came from.
// Lazy links get an announcement with the next heartbeat instead, unless the
// frame is too large to be kept for peers that request it.
func (o *Overlay) forward(b *broadcast, frame []byte, from *link) {
	for _, l := range o.links.Load().links {
		if l == from || l.peer.ID == b.Origin {
			continue
		}
		if l.lazy.Load() && len(frame) <= maxRecentFrameBytes {
			l.announce(b.key())
			continue
		}
		o.sendFrame(l, frame, "broadcast/"+string(b.Topic))
	}
}

// sendFrame queues an encoded broadcast, or drops it if the link's queue is full.
func (o *Overlay) sendFrame(l *link, frame []byte, topic string) {
	if l.send(frame) {
		o.counters.sent(topic, len(frame))
	} else {
		o.counters.countDropped("queue")
	}
}

// receiveBroadcast handles and forwards a new broadcast. A duplicate makes its
// link lazy on both sides, so that the eager links converge to a spanning tree.
func (o *Overlay) receiveBroadcast(l *link, b *broadcast, frame []byte) {
	switch o.filter.check(b, frame) {
	case classDuplicate:
		o.counters.countDropped("duplicate")
		if len(frame) <= maxRecentFrameBytes && !l.lazy.Swap(true) {
			o.sendOn(l, message{Prune: true})
		}
		return
	case classOverRate:
		o.counters.countDropped("rate")
		return
	}
	o.forward(b, frame, l)
	h := o.broadcastHandlers[b.Topic]
	if h == nil {
		wire.CountUnknownKind(b.Origin, "broadcast")
		return
	}
	h(b.Origin, b.Payload)
}

// receiveAnnounced requests the announced broadcasts that were missed and makes
// the link eager again.
func (o *Overlay) receiveAnnounced(l *link, announced []broadcastKey) {
	keys := o.filter.missing(announced)
	if len(keys) == 0 {
		return
	}
	l.lazy.Store(false)
	o.sendOn(l, message{Graft: keys})
}

// receiveGraft sends the broadcasts that the peer missed and makes the link
// eager again.
func (o *Overlay) receiveGraft(l *link, keys []broadcastKey) {
	l.lazy.Store(false)
	for _, frame := range o.filter.frames(keys) {
		o.sendFrame(l, frame, "graft")
	}
}
