package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// TestReadiness checks the statuses of the probes and of an unauthenticated call
// before the catalogue is loaded, after it, and while the instance drains.
func TestReadiness(t *testing.T) {
	bus := peertest.NewNet(0).Join(peer.Member{ID: "i1"})
	store := catalogue.NewStore(memstore.New())
	replica := catalogue.NewReplica(store, bus, catalogue.Options{Seed: 1})
	draining := false
	h := NewHandler(Options{Store: store, Replica: replica, Bus: bus, Draining: func() bool { return draining }})
	want := func(path string, status int) {
		t.Helper()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", "Bearer x")
		h.ServeHTTP(w, r)
		if w.Code != status {
			t.Errorf("%s: status %d, want %d: %s", path, w.Code, status, w.Body)
		}
	}
	want(PathHealth, http.StatusOK)
	want(PathReady, http.StatusServiceUnavailable)
	want(PathEntries, http.StatusServiceUnavailable)
	snap, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	replica.Install(snap)
	want(PathReady, http.StatusOK)
	want(PathMetrics, http.StatusOK)
	want(PathEntries, http.StatusUnauthorized)
	want("/v1/nothing", http.StatusNotFound)
	draining = true
	want(PathReady, http.StatusServiceUnavailable)
	want(PathHealth, http.StatusOK)
}
