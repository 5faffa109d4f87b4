package passthrough

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// TestUnsentAttemptsSpendNoRetryBudget checks that a request goes on to the next upstream after
// attempts that reached none, although the retry budget is exhausted.
func TestUnsentAttemptsSpendNoRetryBudget(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	defer server.Close()
	for _, kind := range []deployment.Kind{deployment.Stream, deployment.Idempotent, deployment.AtMostOnce} {
		h := newTestHandler(kind, plainCodec{}, &scriptedPlacer{}, nil, closedAddress(t), closedAddress(t), server.URL)
		h.budgets = newRetryBudgets(func() RetryBudget { return RetryBudget{Window: time.Hour} }, func() int { return 1 })
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
		r.Host = "app.example"
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			t.Errorf("%s: status %d %q, want the third upstream's answer", kind, w.Code, w.Body.String())
		}
	}
}

// TestIsolatedInstanceRefusesRequestsAtOnce checks that a request is refused without further
// attempts if the instance reaches no upstream.
func TestIsolatedInstanceRefusesRequestsAtOnce(t *testing.T) {
	for _, kind := range []deployment.Kind{deployment.Stream, deployment.Idempotent, deployment.AtMostOnce} {
		placer := &scriptedPlacer{}
		h := newTestHandler(kind, plainCodec{}, placer, nil, closedAddress(t), closedAddress(t), closedAddress(t))
		h.transport = newTransport(func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: sockets.ErrIsolated}
		})
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
		r.Host = "app.example"
		h.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(placer.placed) != 1 {
			t.Errorf("%s: status %d, Retry-After %q after %d attempts; want 503 with a time after one", kind, w.Code, w.Header().Get("Retry-After"), len(placer.placed))
		}
	}
}
