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

// TestReserverTellsNoMemoryFromFailure checks that an engine without free memory
// is waited for, while one that fails is not.
func TestReserverTellsNoMemoryFromFailure(t *testing.T) {
	status := http.StatusConflict
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	client := upstream.NewClient(upstream.Options{})
	defer client.Close()
	e := newEndpoints()
	e.set([]admit.Upstream{{ID: "e1", URL: server.URL}})
	r := &reserver{client: client, endpoints: e}
	if err := r.Reserve(t.Context(), "e1", upstream.ReserveRequest{}); !errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("conflict: got %v", err)
	}
	status = http.StatusInternalServerError
	if err := r.Reserve(t.Context(), "e1", upstream.ReserveRequest{}); err == nil || errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("failure: got %v", err)
	}
	if err := r.Reserve(t.Context(), "e2", upstream.ReserveRequest{}); err == nil || errors.Is(err, gang.ErrNoMemory) {
		t.Errorf("unknown engine: got %v", err)
	}
}
