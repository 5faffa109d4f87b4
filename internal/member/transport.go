package member

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// Conn is a connection between two instances.
type Conn = peer.Stream

// Dialer opens connections to the link listeners of other instances.
type Dialer interface {
	// Dial connects to a host:port.
	Dial(ctx context.Context, address string) (Conn, error)
}

const (
	// LinkPath is the path of the link endpoint.
	LinkPath = "/link"
	// maxMessageBytes is the largest message that a link accepts.
	maxMessageBytes = 16 << 20
)

// linkSockets is the options of links. Heartbeats detect a lost link sooner; the timeouts
// matter for streams, which have none.
var linkSockets = sockets.Options{UserTimeout: 6 * time.Second, KeepAliveProbes: 5}

// webSocketDialer dials over WebSocket.
type webSocketDialer struct {
	scheme string
	client *http.Client
	// build names the build of this instance.
	build string
}

// NewWebSocketDialer returns the production Dialer. With a nil config links
// are plain TCP, authenticated but not encrypted.
func NewWebSocketDialer(config *tls.Config) Dialer {
	scheme := "ws"
	if config != nil {
		scheme = "wss"
	}
	transport := &http.Transport{DialContext: sockets.NewDialer(linkSockets).DialContext, TLSClientConfig: config, DisableKeepAlives: true}
	return &webSocketDialer{scheme: scheme, client: &http.Client{Transport: transport}, build: build.ID()}
}

// Dial implements Dialer.
func (d *webSocketDialer) Dial(ctx context.Context, address string) (Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: d.client, HTTPHeader: http.Header{buildHeader: {d.build}}}
	conn, resp, err := websocket.Dial(ctx, d.scheme+"://"+address+LinkPath, opts)
	if err != nil {
		return nil, trace.Wrap(err, "dialling %s", address)
	}
	conn.SetReadLimit(maxMessageBytes)
	return webSocketConn{conn, resp.Header.Get(buildHeader)}, nil
}

// webSocketConn adapts a WebSocket connection to Conn.
type webSocketConn struct {
	ws *websocket.Conn
	// build is what the other end named in buildHeader.
	build string
}

func (c webSocketConn) peerBuild() string { return c.build }

func (c webSocketConn) Read(ctx context.Context) ([]byte, error) {
	kind, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, trace.BadParameter("message is not binary")
	}
	return data, nil
}

func (c webSocketConn) Write(ctx context.Context, data []byte) error {
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c webSocketConn) Close() { _ = c.ws.CloseNow() }

// Handler returns the link endpoint, to be mounted at LinkPath.
func (o *Overlay) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(buildHeader, o.build)
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return // Accept has sent the error response
		}
		ws.SetReadLimit(maxMessageBytes)
		o.Accept(webSocketConn{ws, r.Header.Get(buildHeader)})
	})
}
