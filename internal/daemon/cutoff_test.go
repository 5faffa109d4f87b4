package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/settings"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/enginehttp"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/paths"
	"github.com/banyanroute/banyanroute/internal/standin/platformd"
	"github.com/banyanroute/banyanroute/internal/standin/service"
)

const callerKey = "alpha-key"

// catalogueYAML is the catalogue of the test, without the upstreams.
const catalogueYAML = `
kind: workspace
name: alpha
owner: o
workspace: {key_sha256: [%q], models: ["m"], services: ["bookings"]}
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
`

// fleet is a deployment of instances that run in the test process.
type fleet struct {
	t        *testing.T
	platform *httptest.Server
	services []*service.Server
	// callers are the addresses of the instances' listeners for callers.
	callers []string
	daemons []*Daemon
	paths   []*paths.Paths
	// workTime is the duration of a call of a service.
	workTime time.Duration
	// ended get the results of the instances' runs; they must be nil unless mayFail is set.
	ended   []chan error
	mayFail bool
}

// newFleet starts a platform, two engines, two processes of a service and instances, and waits
// until the instances are linked and ready.
func newFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.start(instances)
	return f
}

// start is newFleet for a fleet with other settings.
func (f *fleet) start(instances int) {
	t := f.t
	t.Helper()
	f.platform = httptest.NewServer(platformd.New(platformd.Settings{}))
	t.Cleanup(f.platform.Close)
	sum := sha256.Sum256([]byte(callerKey))
	entries := fmt.Sprintf(catalogueYAML, hex.EncodeToString(sum[:]))
	for i := range 2 {
		entries += fmt.Sprintf("---\nkind: upstream\nname: e%d\nowner: o\nupstream: {url: %q, data_centre: dc, models: [m], memory_tokens: 500000}\n", i, f.startEngine(i))
		entries += fmt.Sprintf("---\nkind: upstream\nname: s%d\nowner: o\nupstream: {url: %q, data_centre: dc, service: bookings}\n", i, f.startService(i))
	}
	for i := range instances {
		f.startInstance(i)
	}
	source, err := catalogue.Decode("test", []byte(entries))
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.daemons[0].store.Apply(t.Context(), catalogue.Edit{ID: "first", Puts: source.Entries, By: catalogue.Operator{Name: "o", Owners: []string{catalogue.All}}})
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range f.daemons {
		for len(d.overlay.Members()) < instances || d.ready() != nil || len(d.endpoints.all()) < 4 {
			if time.Now().After(deadline) {
				t.Fatalf("%s is not linked and ready after 20 s", d.settings.Instance)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// list adds an entry to the platform's live list.
func (f *fleet) list(entry platform.LiveListEntry) {
	f.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"role":%q,"address":%q,"data_centre":"dc","region":"r","phase":"live"}`, entry.ID, entry.Role, entry.Address)
	req, err := http.NewRequest(http.MethodPut, f.platform.URL+"/standin/live/"+entry.ID, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode >= 300 {
		f.t.Fatalf("listing %s: status %d", entry.ID, res.StatusCode)
	}
}

func (f *fleet) startEngine(i int) (url string) {
	name := fmt.Sprint("e", i)
	s := engine.Default()
	s.Name, s.Boot, s.TimeScale, s.Models = name, "b1", 100, []string{"m:v1"}
	faults := fault.New(func(int) {})
	model := engine.New(s, faults)
	ctx, cancel := context.WithCancel(context.Background())
	go model.Run(ctx)
	server := httptest.NewServer(enginehttp.New(model, faults))
	f.t.Cleanup(func() { server.Close(); cancel() })
	f.list(platform.LiveListEntry{ID: name, Role: "upstream", Address: server.Listener.Addr().String()})
	return server.URL
}

func (f *fleet) startService(i int) (url string) {
	name := fmt.Sprint("s", i)
	s := service.New(service.Settings{Name: name, WorkTime: f.workTime}, fault.New(func(int) {}))
	server := httptest.NewServer(s)
	f.t.Cleanup(server.Close)
	f.services = append(f.services, s)
	f.list(platform.LiveListEntry{ID: name, Role: "upstream", Address: server.Listener.Addr().String()})
	return server.URL
}

// freeAddress returns a loopback address that was free when it was chosen.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settings returns the settings of an instance and the file with them; more is added to the file.
func (f *fleet) settings(name, more string) (settings.Settings, []byte) {
	f.t.Helper()
	text := fmt.Appendf(nil, `
instance: %s
region: r
data_centre: dc
listen: {callers: {address: %q}, operators: {address: %q}, links: {address: %q}}
platform: {url: %q}
secrets: {links: link-secret-0123456789, orders: order-key-0123456789, bootstrap_token_sha256: %s}
%s
`, name, freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), f.platform.URL, strings.Repeat("0", 64), more)
	s, err := settings.Parse("test", text)
	if err != nil {
		f.t.Fatal(err)
	}
	return s, text
}

func (f *fleet) startInstance(i int) {
	f.t.Helper()
	name := fmt.Sprint("i", i+1)
	s, _ := f.settings(name, "")
	p := paths.New()
	d, err := newDaemon(s, p.Dial)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	f.t.Cleanup(func() {
		p.Heal()
		cancel()
		if err := <-ended; err != nil && !f.mayFail {
			f.t.Errorf("%s ended: %v", name, err)
		}
	})
	f.ended = append(f.ended, ended)
	f.list(platform.LiveListEntry{ID: name, Role: "instance", Address: s.Listen.Links.Address})
	f.daemons, f.callers, f.paths = append(f.daemons, d), append(f.callers, s.Listen.Callers.Address), append(f.paths, p)
}

// send sends a request to an instance and returns the status and the body.
func (f *fleet) send(instance int, method, path, key, body string) (int, string) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers[instance]+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Timeout", "5s")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

// TestInstancesWithoutPathServeFirstTries guards against RECOVER on the own interface: callers
// of an instance that had lost its paths to all upstreams were refused.
func TestInstancesWithoutPathServeFirstTries(t *testing.T) {
	for _, how := range []paths.Cut{paths.Silent, paths.Refused, paths.Reset, paths.SilentForNew} {
		t.Run(how.String(), func(t *testing.T) {
			f := newFleet(t, 2)
			f.paths[0].Cut(how)
			time.Sleep(time.Second) // the users allow 3 s
			const rounds = 15
			for i := range f.daemons {
				var wait sync.WaitGroup
				for k := range rounds {
					for _, r := range []struct{ method, path, key, body, want string }{
						{http.MethodGet, "/services/bookings/slots", "", "", ""},
						{http.MethodPost, "/services/bookings/book", fmt.Sprintf("k-%d-%d", i, k), "{}", ""},
						{http.MethodPost, "/v1/chat/completions", "", `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`, "[DONE]"},
					} {
						wait.Go(func() {
							status, body := f.send(i, r.method, r.path, r.key, r.body)
							if status != http.StatusOK || !strings.Contains(body, r.want) {
								t.Errorf("i%d (cut off: %v): %s: got status %d, %s", i+1, i == 0, r.path, status, body)
							}
						})
					}
					time.Sleep(20 * time.Millisecond)
				}
				wait.Wait()
			}
		})
	}
}
