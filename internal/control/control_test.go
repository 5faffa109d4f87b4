package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fakeEnvironment implements the live list, the upstreams and the limiter.
type fakeEnvironment struct {
	mu      sync.Mutex
	list    []platform.LiveListEntry
	down    bool
	leaving map[string]bool
	boot    string
	limits  map[string]catalogue.Limits
}

var errDown = errors.New("down")

// List implements platform.LiveList.
func (e *fakeEnvironment) List(context.Context) ([]platform.LiveListEntry, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	return slices.Clone(e.list), nil
}

// Health implements Upstreams.
func (e *fakeEnvironment) Health(_ context.Context, url string) (upstream.Health, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.Health{Leaving: e.leaving[url]}, nil
}

// Load implements Upstreams.
func (e *fakeEnvironment) Load(_ context.Context, url string) (upstream.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.LoadReport{Boot: e.boot, Leaving: e.leaving[url], MemoryTokens: 1000}, nil
}

// Events implements Upstreams.
func (e *fakeEnvironment) Events(context.Context, string, uint64) (upstream.CacheEvents, error) {
	return upstream.CacheEvents{}, nil
}

// SetLimits implements Limiter.
func (e *fakeEnvironment) SetLimits(limits map[string]catalogue.Limits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = limits
}

func (e *fakeEnvironment) set(f func(e *fakeEnvironment)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// instance is a controller and its scheduler.
type instance struct {
	scheduler *admit.Scheduler
	c         *Controller
}

// startInstance runs a controller until the test's context ends.
func startInstance(ctx context.Context, net *peertest.Net, name string, environment *fakeEnvironment, snapshot *catalogue.Snapshot) *instance {
	in := &instance{scheduler: admit.New(admit.Options{Instance: name, Incarnation: 1, Seed: 1})}
	in.c = New(Options{
		Bus:       net.Join(peer.Member{ID: name, Incarnation: 1}),
		Scheduler: in.scheduler, Limiter: environment, Upstreams: environment, LiveList: environment,
	})
	in.c.SetCatalogue(snapshot)
	go in.c.Run(ctx)
	return in
}

// sendsTo reports whether the instance sends new work to an engine.
func (in *instance) sendsTo(engine string) bool {
	for range 40 {
		grant, err := in.scheduler.Acquire(context.Background(), &admit.Request{
			ID: "x", Workspace: "w", Target: "m", PromptTokens: 10, OutputTokens: 10, Deadline: time.Now().Add(time.Minute),
		})
		if err != nil {
			return false
		}
		defer grant.Done(admit.Cancelled)
		if grant.Upstream().ID == engine {
			return true
		}
	}
	return false
}

// newSnapshot returns a catalogue with engines e1 and e2 of model m.
func newSnapshot(t *testing.T, extra ...catalogue.Entry) *catalogue.Snapshot {
	t.Helper()
	engine := func(name string) catalogue.Entry {
		return catalogue.Entry{Kind: catalogue.KindUpstream, Name: name, Owner: "o", Upstream: &catalogue.UpstreamSpec{
			URL: "http://" + name, DataCentre: "dc", Models: []string{"m"}, MemoryTokens: 100_000,
		}}
	}
	puts := append([]catalogue.Entry{
		{Kind: catalogue.KindModel, Name: "m", Owner: "o", Model: &catalogue.ModelSpec{Version: "v1"}},
		engine("e1"), engine("e2"),
	}, extra...)
	store := catalogue.NewStore(memstore.New())
	edit := catalogue.Edit{ID: "edit-1", Puts: puts, By: catalogue.Operator{Name: "root", Owners: []string{"*"}}}
	if _, err := store.Apply(t.Context(), edit); err != nil {
		t.Fatal(err)
	}
	snapshot, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// leavingTimeout is the time within which new work to a leaving upstream must stop.
const leavingTimeout = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork checks that a notice that an upstream is leaving
// stops new work from all instances, whatever its source, and that the upstream
// gets work again when it no longer leaves or has restarted.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	cases := map[string]struct{ leave, back func(e *fakeEnvironment) }{
		"reported by itself": {
			func(e *fakeEnvironment) { e.leaving = map[string]bool{"http://e1": true} },
			func(e *fakeEnvironment) { e.leaving = nil },
		},
		"listed as leaving": {
			func(e *fakeEnvironment) {
				e.list = []platform.LiveListEntry{{ID: "e1", Role: "upstream", Phase: platform.Leaving}}
			},
			func(e *fakeEnvironment) { e.list[0].Phase = platform.Live },
		},
		"restarted": {
			func(e *fakeEnvironment) { e.leaving = map[string]bool{"http://e1": true} },
			func(e *fakeEnvironment) { e.leaving, e.boot = nil, "b2" },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := peertest.NewNet(time.Millisecond)
				environment := &fakeEnvironment{boot: "b1"}
				first := startInstance(ctx, net, "i1", environment, newSnapshot(t))
				second := startInstance(ctx, net, "i2", &fakeEnvironment{boot: "b1", down: true}, newSnapshot(t))
				time.Sleep(2 * time.Second)
				if !first.sendsTo("e1") || !second.sendsTo("e1") {
					t.Fatal("a healthy engine gets no work")
				}
				environment.set(c.leave)
				time.Sleep(leavingTimeout)
				if first.sendsTo("e1") || second.sendsTo("e1") || !first.sendsTo("e2") {
					t.Fatal("a leaving engine gets new work, or another gets none")
				}
				environment.set(c.back)
				time.Sleep(2 * peerNoticeTimeout)
				if !first.sendsTo("e1") || !second.sendsTo("e1") {
					t.Fatal("an engine that no longer leaves gets no work")
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestOlderCatalogueIsIgnored checks that a lower revision does not replace the
// active catalogue and that the limits follow the active one.
func TestOlderCatalogueIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		environment := &fakeEnvironment{boot: "b1"}
		workspace := catalogue.Entry{
			Kind: catalogue.KindWorkspace, Name: "w", Owner: "o", Limits: catalogue.Limits{Concurrent: 7},
			Workspace: &catalogue.WorkspaceSpec{KeySHA256: []string{"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}},
		}
		store := catalogue.NewStore(memstore.New())
		by := catalogue.Operator{Name: "root", Owners: []string{"*"}}
		old := applied(t, store, catalogue.Edit{ID: "a", Puts: []catalogue.Entry{workspace}, By: by})
		workspace.Limits.Concurrent = 9
		current := applied(t, store, catalogue.Edit{ID: "b", Base: 1, Puts: []catalogue.Entry{workspace}, By: by})
		in := startInstance(ctx, peertest.NewNet(0), "i1", environment, current)
		time.Sleep(time.Second)
		in.c.SetCatalogue(old)
		time.Sleep(time.Second)
		environment.set(func(e *fakeEnvironment) {
			if e.limits["w"].Concurrent != 9 {
				t.Errorf("limits %+v, want 9 concurrent requests", e.limits)
			}
		})
		if state := in.c.Dump().(State); state.Revision != 2 {
			t.Errorf("revision %d, want 2", state.Revision)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// applied applies an edit and returns the catalogue after it.
func applied(t *testing.T, store *catalogue.Store, edit catalogue.Edit) *catalogue.Snapshot {
	t.Helper()
	if _, err := store.Apply(t.Context(), edit); err != nil {
		t.Fatal(err)
	}
	snapshot, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestLeavingServiceGetsNoNewWork checks that a plain service's report that it is
// leaving stops new work from all instances.
func TestLeavingServiceGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		service := catalogue.Entry{Kind: catalogue.KindService, Name: "s", Owner: "o", Service: &catalogue.ServiceSpec{
			Routes: []catalogue.ServiceRoute{{Method: "*", Prefix: "/", Idempotent: true}},
		}}
		process := catalogue.Entry{Kind: catalogue.KindUpstream, Name: "s1", Owner: "o", Upstream: &catalogue.UpstreamSpec{
			URL: "http://s1", DataCentre: "dc", Service: "s",
		}}
		net := peertest.NewNet(time.Millisecond)
		environment := &fakeEnvironment{boot: "b1"}
		first := startInstance(ctx, net, "i1", environment, newSnapshot(t, service, process))
		second := startInstance(ctx, net, "i2", &fakeEnvironment{boot: "b1"}, newSnapshot(t, service, process))
		sends := func(in *instance) bool {
			grant, err := in.scheduler.Acquire(ctx, &admit.Request{ID: "x", Workspace: "w", Target: "s", Service: true, Deadline: time.Now().Add(time.Second)})
			if err == nil {
				grant.Done(admit.Cancelled)
			}
			return err == nil
		}
		time.Sleep(2 * time.Second)
		if !sends(first) || !sends(second) {
			t.Fatal("a healthy service gets no work")
		}
		environment.set(func(e *fakeEnvironment) { e.leaving = map[string]bool{"http://s1": true} })
		time.Sleep(leavingTimeout)
		if sends(first) || sends(second) {
			t.Fatal("a leaving service gets new work")
		}
		cancel()
		time.Sleep(time.Second)
	})
}
