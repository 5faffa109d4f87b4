package member

import (
	"context"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// OpenStream implements peer.StreamBus.
func (o *Overlay) OpenStream(ctx context.Context, to string) (peer.Stream, error) {
	m, known := o.members.Load().byID[to]
	if !known {
		return nil, peer.ErrUnreachable
	}
	conn, _, err := o.connect(ctx, m, linkStream)
	return conn, err
}

// HandleStreams implements peer.StreamBus.
func (o *Overlay) HandleStreams(h peer.StreamHandler) {
	o.streamHandler = func(ctx context.Context, from string, s peer.Stream) {
		panics.Run(log.WithField("peer", from), func() { h(ctx, from, s) })
	}
}
