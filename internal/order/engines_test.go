package order

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/enginehttp"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// startEngine runs a stand-in engine that honours tokens and checks issuers.
func startEngine(t *testing.T, key string) Engine {
	t.Helper()
	settings := engine.Default()
	settings.Models = []string{"a:1"}
	settings.TimeScale = 1000
	settings.Fencing = true
	settings.OrderKey = []byte(key)
	faults := fault.New(func(int) {})
	e := engine.New(settings, faults)
	server := httptest.NewServer(enginehttp.New(e, faults))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done; server.Close() })
	return Engine{ID: "e", URL: server.URL, Models: []string{"a"}, Fencing: true, ChecksIssuer: true}
}

// TestEngineRefusesOldTokensAndOtherIssuers checks that the client maps an
// engine's refusals to ErrFenced and ErrIssuer, and that a refused order has no
// effect.
func TestEngineRefusesOldTokensAndOtherIssuers(t *testing.T) {
	e := startEngine(t, "key")
	h := HTTPEngines{Client: http.DefaultClient}
	order := func(fence uint64, key string) error {
		o := upstream.Order{ID: key, Kind: upstream.OrderSetRole, Role: upstream.RoleDecode, Fence: fence, Issuer: "i"}
		return h.Order(t.Context(), e, o.Sign([]byte(key)))
	}
	if err := order(5, "key"); err != nil {
		t.Fatal(err)
	}
	if err := order(4, "key"); !errors.Is(err, ErrFenced) {
		t.Errorf("older token: %v", err)
	}
	if err := order(6, "other"); !errors.Is(err, ErrIssuer) {
		t.Errorf("other key: %v", err)
	}
	o, err := h.Observe(t.Context(), e)
	if err != nil || o.Role != upstream.RoleDecode || o.Fence != 5 {
		t.Errorf("observed %+v, %v", o, err)
	}
}

// heldLease is a lease that is always held, under one token.
type heldLease uint64

func (l heldLease) Held(time.Time) (uint64, bool) { return uint64(l), true }

// TestControllerBringsEngineToDeclaredState checks that a controller reconciles a
// stand-in engine over HTTP, and that one with an older token is refused once and
// then sends no more orders.
func TestControllerBringsEngineToDeclaredState(t *testing.T) {
	e := startEngine(t, "key")
	declared := Declared{Engines: []Engine{e}, Models: []Model{{Name: "a", Version: "2", Adapters: []string{"x"}, Max: 1}}}
	options := Options{Group: "g", Instance: "i", Lease: heldLease(7), Engines: HTTPEngines{Client: http.DefaultClient},
		Declared: func() Declared { return declared }, Demand: func() map[string]Demand { return nil }, Key: []byte("key")}
	c := New(options)
	for range 10_000 {
		c.Reconcile(t.Context())
		if l, ok := loadedModel(observe(t, e), "a", "2"); ok && !l.Loading && len(l.Adapters) == 1 && c.Dump().(State).Planned == 0 {
			break
		}
	}
	if o := observe(t, e); len(o.Models) != 1 || len(o.Models[0].Adapters) != 1 || o.Fence != 7 {
		t.Fatalf("final state of the engine: %+v", o)
	}
	options.Lease = heldLease(6)
	declared.Models[0].Version = "3"
	old := New(options)
	old.Reconcile(t.Context())
	old.Reconcile(t.Context())
	if s := old.Dump().(State); s.Accepted != 0 || s.Refused != 1 || old.machine.State() != "fenced" {
		t.Errorf("a holder with an older token: %+v in state %s, want one refused order and state fenced", s, old.machine.State())
	}
}

func observe(t *testing.T, e Engine) upstream.ObservedState {
	t.Helper()
	o, err := HTTPEngines{Client: http.DefaultClient}.Observe(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	return o
}
