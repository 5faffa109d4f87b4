package daemon

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// TestReserverDistinguishesNoMemoryFromFailure checks that only an engine without
// free memory is reported as gang.ErrNoMemory, after which the caller waits and
// retries; a failed or unknown engine is another error.
func TestReserverDistinguishesNoMemoryFromFailure(t *testing.T) {
	status := http.StatusConflict
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	client := upstream.NewClient(upstream.Options{})
	e := newEndpoints()
	e.set([]admit.Upstream{{ID: "e1", URL: server.URL}})
	r := &reserver{client: client, endpoints: e}
	if err := r.Reserve(t.Context(), "e1", upstream.ReserveRequest{}); !errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("conflict: got %v, want ErrNoMemory", err)
	}
	status = http.StatusInternalServerError
	if err := r.Reserve(t.Context(), "e1", upstream.ReserveRequest{}); err == nil || errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("failure: got %v, want another error than ErrNoMemory", err)
	}
	if err := r.Reserve(t.Context(), "e2", upstream.ReserveRequest{}); err == nil || errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("unknown engine: got %v, want another error than ErrNoMemory", err)
	}
}
