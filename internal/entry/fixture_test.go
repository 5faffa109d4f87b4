package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/enginehttp"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/service"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// alphaKey is the key of workspace "alpha", which may use model "m" and service
// "bookings"; betaKey is the key of workspace "beta", which may use nothing.
const (
	alphaKey = "alpha-key"
	betaKey  = "beta-key"
)

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

const entries = `
kind: workspace
name: alpha
owner: o
workspace: {key_sha256: [ALPHA], models: ["m"], services: ["bookings"]}
---
kind: workspace
name: beta
owner: o
workspace: {key_sha256: [BETA]}
---
kind: model
name: m
owner: o
limits: {prompt_tokens: 10000, output_tokens: 1000, timeout: 30s}
model: {version: v1}
---
kind: service
name: bookings
owner: o
service:
  routes:
    - {method: GET, prefix: /slots, idempotent: true}
    - {method: POST, prefix: /book, idempotent: false}
---
kind: upstream
name: e1
owner: o
upstream: {url: ENGINE, data_centre: dc, models: [m], memory_tokens: 500000}
---
kind: upstream
name: s1
owner: o
upstream: {url: SERVICE, data_centre: dc, service: bookings}
`

// unlimited is a Limiter that admits every request, and also the Permit that it
// returns.
type unlimited struct{}

// Take implements Limiter.
func (unlimited) Take(string, int) (Permit, *result.Error) { return unlimited{}, nil }

// Done implements Permit.
func (unlimited) Done(int) {}

// fixture is a server with the handler under test, one engine and one service.
type fixture struct {
	server  *httptest.Server
	service *service.Server
	faults  *fault.Switches
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{faults: fault.New(func(int) {})}
	settings := engine.Default()
	settings.Name, settings.Boot, settings.TimeScale = "e1", "b1", 1000
	settings.Models = []string{"m:v1"}
	model := engine.New(settings, f.faults)
	ctx, cancel := context.WithCancel(context.Background())
	go model.Run(ctx)
	engineServer := httptest.NewServer(enginehttp.New(model, f.faults))
	f.service = service.New(service.Settings{Name: "s1"}, fault.New(func(int) {}))
	serviceServer := httptest.NewServer(f.service)
	snapshot := newSnapshot(t, engineServer.URL, serviceServer.URL)
	f.server = httptest.NewServer(newHandler(t, snapshot, engineServer.URL, serviceServer.URL))
	t.Cleanup(func() {
		f.server.Close()
		engineServer.Close()
		serviceServer.Close()
		cancel()
	})
	return f
}

// newSnapshot returns a catalogue with the entries.
func newSnapshot(t *testing.T, engineURL, serviceURL string) *catalogue.Snapshot {
	t.Helper()
	text := strings.NewReplacer("ALPHA", hash(alphaKey), "BETA", hash(betaKey), "ENGINE", engineURL, "SERVICE", serviceURL).Replace(entries)
	src, err := catalogue.Decode("entries.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	store := catalogue.NewStore(memstore.New())
	edit := catalogue.Edit{ID: "edit-1", Puts: src.Entries, By: catalogue.Operator{Name: "root", Owners: []string{"*"}}}
	if _, err := store.Apply(t.Context(), edit); err != nil {
		t.Fatal(err)
	}
	snapshot, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func newHandler(t *testing.T, snapshot *catalogue.Snapshot, engineURL, serviceURL string) *Handler {
	t.Helper()
	return newHandlerWith(t, snapshot, engineURL, serviceURL, upstream.Options{})
}

// newHandlerWith is newHandler with options of the connections to upstreams.
func newHandlerWith(t *testing.T, snapshot *catalogue.Snapshot, engineURL, serviceURL string, o upstream.Options) *Handler {
	t.Helper()
	scheduler := admit.New(admit.Options{Instance: "i1", Incarnation: 1, Seed: 1})
	scheduler.SetUpstreams([]admit.Upstream{
		{ID: "e1", URL: engineURL, Models: []string{"m"}, MemoryTokens: 500_000},
		{ID: "s1", URL: serviceURL, Service: "bookings"},
	})
	store := memstore.New()
	d, err := dispatch.New(dispatch.Options{
		Instance: "i1", Incarnation: 1, Scheduler: scheduler,
		Upstreams: upstream.NewClient(o), Claims: ledger.New(store, store, ledger.Options{Instance: "i1", Incarnation: 1}),
		SilenceTimeout: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return NewHandler(Options{
		DataCentre: "dc", Catalogue: func() *catalogue.Snapshot { return snapshot }, Dispatcher: d, Limiter: unlimited{},
		BodyBytes: 1 << 20, BodiesBytes: 4 << 20, BodyTimeout: 10 * time.Second, RequestTimeout: 30 * time.Second,
		Draining: func() bool { return false },
	})
}

// reply is the answer that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
}

// send sends a caller's request; header lists names and values in turn.
func (f *fixture) send(t *testing.T, method, path, key, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: res.StatusCode, header: res.Header, body: string(text)}
}
