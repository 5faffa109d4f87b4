package passthrough

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// reserverFunc is a Reserver that calls a function for each reservation.
type reserverFunc func()

func (f reserverFunc) Reserve(context.Context, deployment.Upstream, string, int, time.Duration) error {
	f()
	return nil
}

func (reserverFunc) Release(context.Context, deployment.Upstream, string) error { return nil }

// TestUpstreamThatLeavesBeforeTheSendGetsNothing checks that a request goes elsewhere if its
// upstream leaves after it was chosen and before the first byte is sent: while memory is
// reserved, and while the connection opens.
func TestUpstreamThatLeavesBeforeTheSendGetsNothing(t *testing.T) {
	for _, kind := range []deployment.Kind{deployment.Idempotent, deployment.AtMostOnce, deployment.Stream} {
		for name, removed := range map[string]bool{"leaving": false, "removed": true} {
			for _, duringDial := range []bool{false, true} {
				var arrived atomic.Int32
				first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
				second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
				}))
				var h *Handler
				leave := func() {
					if removed {
						h.opts.State.RemoveUpstreams([]string{"u0"}, time.Now())
						return
					}
					u, _ := h.opts.State.View().Upstream("u0")
					u.Leaving = true
					h.opts.State.AddUpstreams([]deployment.Upstream{u}, time.Now())
				}
				placer := &scriptedPlacer{helpers: []placement.Part{{Upstream: "u2", ReservedTokens: 1}}}
				reserver := reserverFunc(leave)
				if duringDial {
					placer, reserver = &scriptedPlacer{}, nil
				}
				h = newTestHandler(kind, plainCodec{}, placer, reserver, first.URL, second.URL, second.URL)
				if duringDial {
					transport := sockets.NewTransport(sockets.NewDialer(sockets.Options{DialTimeout: time.Second, UserTimeout: time.Second}).DialContext)
					dial := transport.DialContext
					transport.DialContext = CheckedDial(func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := dial(ctx, network, address)
						leave()
						return conn, err
					})
					h.transport = transport
				}
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
				r.Host = "app.example"
				h.ServeHTTP(w, r)
				if w.Code != http.StatusOK || arrived.Load() != 0 {
					t.Errorf("%s, %s, while the connection opens %v: status %d, %d requests at the upstream that left, want 200 and none",
						kind, name, duringDial, w.Code, arrived.Load())
				}
				first.Close()
				second.Close()
			}
		}
	}
}
