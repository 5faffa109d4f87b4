package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/control"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/entry"
	"github.com/banyanroute/banyanroute/internal/graceful"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/order"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/passthrough"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform/httpclient"
	"github.com/banyanroute/banyanroute/internal/quota"
	"github.com/banyanroute/banyanroute/internal/reclaim"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/settings"
	"github.com/banyanroute/banyanroute/internal/sockets"
	"github.com/banyanroute/banyanroute/internal/tunnel"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("daemon")

// Daemon is one instance with all its components.
type Daemon struct {
	settings    settings.Settings
	incarnation uint64

	platform   *httpclient.Client
	tunnels    *tunnel.Dialer
	upstreams  *upstream.Client
	overlay    *member.Overlay
	store      *catalogue.Store
	replica    *catalogue.Replica
	scheduler  *admit.Scheduler
	limiter    *quota.Limiter
	ledger     *ledger.Ledger
	dispatcher *dispatch.Dispatcher
	controller *control.Controller
	sweeper    *reclaim.Sweeper
	orders     *order.Manager
	endpoints  *endpoints

	callerHandler http.Handler
	// callerServer is opened by Run.
	callerServer   *graceful.Server
	operatorServer *http.Server
	linkServer     *http.Server

	draining atomic.Bool
	// stop is the graceful shutdown that has begun if its end is known.
	stop atomic.Pointer[passthrough.Stop]
	// ending ends when the requests that still run must end, because the process does.
	ending      context.Context
	endRequests context.CancelFunc
	drainOnce   sync.Once
	// drainRequested is closed by Drain.
	drainRequested chan struct{}
	// failures holds the error of an actor that has failed.
	failures chan error
}

// New builds an instance from validated settings. Nothing runs or listens yet.
func New(s settings.Settings) (*Daemon, error) {
	return newDaemon(s, upstream.DirectDial(upstream.DefaultDialTimeout))
}

// newDaemon is New with the function that opens direct connections to upstreams.
func newDaemon(s settings.Settings, direct sockets.DialFunc) (*Daemon, error) {
	d := &Daemon{settings: s, incarnation: uint64(time.Now().UnixNano()), drainRequested: make(chan struct{}), failures: make(chan error, 1)}
	d.endpoints = newEndpoints()
	d.ending, d.endRequests = context.WithCancel(context.Background())
	d.platform = httpclient.New(httpclient.Options{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Std()})
	d.tunnels = tunnel.NewDialer(tunnel.Options{Direct: direct, Upstream: d.endpoints.at, DataCentre: s.DataCentre, Draining: d.draining.Load})
	d.upstreams = upstream.NewClient(upstream.Options{Owner: s.Instance, Dial: d.tunnels.DialContext})
	if err := d.buildSharedState(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.buildRequestPath(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.buildServers()
	build.RegisterMetric()
	for _, set := range []*metrics.Set{
		d.overlay.Metrics(), d.limiter.Metrics(), d.ledger.Metrics(), d.sweeper.Metrics(), d.orders.Metrics(),
	} {
		metrics.RegisterSet(set)
	}
	return d, nil
}

// self returns this instance's entry in the list of members.
func (d *Daemon) self() peer.Member {
	return peer.Member{
		ID:          d.settings.Instance,
		Incarnation: d.incarnation,
		Address:     d.settings.Listen.Links.Address,
		DataCentre:  d.settings.DataCentre,
		Region:      d.settings.Region,
	}
}

// buildSharedState builds the components whose state the instances share: links,
// catalogue, limits and claims.
func (d *Daemon) buildSharedState() error {
	dialer, err := linkDialer(d.settings.Listen.Links)
	if err != nil {
		return err
	}
	overlay, err := member.New(member.Options{
		Self:     d.self(),
		Secret:   []byte(d.settings.Secrets.Links),
		LiveList: d.platform,
		Dialer:   dialer,
	})
	if err != nil {
		return err
	}
	d.overlay = overlay
	d.tunnels.SetBus(overlay)
	d.store = catalogue.NewStore(d.platform)
	d.replica = catalogue.NewReplica(d.store, overlay, catalogue.Options{Seed: d.incarnation})
	d.limiter = quota.New(overlay, quota.Options{Listed: func() int { return d.controller.ListedInstances() }})
	d.ledger = ledger.New(d.platform, d.platform, ledger.Options{
		Instance:    d.settings.Instance,
		Incarnation: d.incarnation,
		Bus:         overlay,
		HasEnded:    d.hasEnded,
		ShouldSweep: d.isFirstMember,
	})
	return nil
}

// buildRequestPath builds the components that handle requests and the engines'
// state.
func (d *Daemon) buildRequestPath() error {
	d.scheduler = admit.New(admit.Options{
		Instance:    d.settings.Instance,
		Incarnation: d.incarnation,
		Seed:        d.incarnation,
		Reserver:    &reserver{client: d.upstreams, endpoints: d.endpoints},
		OnPoison:    func(payload []byte) { d.controller.BroadcastPoison(payload) },
	})
	d.controller = control.New(control.Options{
		Bus:                d.overlay,
		Scheduler:          d.scheduler,
		Limiter:            d.limiter,
		Upstreams:          d.upstreams,
		LiveList:           d.platform,
		OnUpstreamsChanged: d.endpoints.set,
	})
	d.replica.Subscribe(d.controller.SetCatalogue)
	dispatcher, err := dispatch.New(dispatch.Options{
		Instance:       d.settings.Instance,
		Incarnation:    d.incarnation,
		Scheduler:      d.scheduler,
		Upstreams:      d.upstreams,
		Claims:         d.ledger,
		OnLoad:         d.controller.ObservePiggybackedLoad,
		SilenceTimeout: d.settings.Limits.SilenceTimeout.Std(),
	})
	if err != nil {
		return err
	}
	d.dispatcher = dispatcher
	d.sweeper = reclaim.New(reclaim.Options{
		Bus:     d.overlay,
		Holds:   holdClient{d.upstreams},
		Engines: d.endpoints.engines,
		Listed:  d.controller.IsListed,
		Needed:  dispatcher.Needs,
	})
	d.orders = d.newOrders()
	return nil
}

// entryLimiter adapts quota.Limiter to entry.Limiter.
type entryLimiter struct{ *quota.Limiter }

// Take implements entry.Limiter.
func (l entryLimiter) Take(workspace string, tokens int) (entry.Permit, *result.Error) {
	permit, err := l.Limiter.Take(workspace, tokens)
	if err != nil {
		return nil, err
	}
	return permit, nil
}

// hasEnded reports whether an incarnation of an instance has certainly ended,
// because a later one of the same instance is known.
func (d *Daemon) hasEnded(instance string, incarnation uint64) bool {
	for _, m := range d.overlay.Members() {
		if m.ID == instance {
			return m.Incarnation > incarnation
		}
	}
	return false
}

// isFirstMember reports whether this instance is the first in the list of members,
// which does the work that only one instance needs to do.
func (d *Daemon) isFirstMember() bool {
	members := d.overlay.Members()
	return len(members) > 0 && members[0].ID == d.settings.Instance
}

// Run runs the instance until a signal, a drain request or the failure of an actor has stopped it.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	d.addActor(&group, "member", d.overlay.Run)
	d.addActor(&group, "catalogue", d.replica.Run)
	d.addActor(&group, "quota", d.limiter.Run)
	d.addActor(&group, "ledger", d.ledger.Run)
	d.addActor(&group, "dispatch", d.dispatcher.Run)
	d.addActor(&group, "control", d.controller.Run)
	d.addActor(&group, "reclaim", d.sweeper.Run)
	d.addActor(&group, "order", d.orders.Run)
	for _, s := range []struct {
		name   string
		server *http.Server
		listen settings.Listener
	}{
		{"links", d.linkServer, d.settings.Listen.Links},
		{"operators", d.operatorServer, d.settings.Listen.Operators},
	} {
		if err := d.addServer(&group, s.name, s.server, s.listen); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := d.addCallerServer(&group); err != nil {
		return trace.Wrap(err)
	}
	d.addStop(ctx, &group)
	log.Infof("instance starting: %s in data centre %s, incarnation %d, build %s, protocol version %d",
		d.settings.Instance, d.settings.DataCentre, d.incarnation, build.ID(), member.ProtocolVersion)
	err := group.Run()
	log.Info("instance stopped")
	return err
}

// addActor adds a component to the group; its context is cancelled when the group
// stops.
func (d *Daemon) addActor(group *run.Group, name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := func() (err error) {
			defer panics.RecoverError(log.WithField("actor", name), &err)
			return f(ctx)
		}()
		if ctx.Err() == nil {
			d.fail(trace.Wrap(err, "running %s", name))
			<-ctx.Done()
		}
		return nil
	}, func(error) { cancel() })
}

// fail records that an actor has failed, and begins a graceful shutdown. The actor must not return
// before it is interrupted: the first one that returns ends the running requests.
func (d *Daemon) fail(err error) {
	log.WithError(err).Error("part of the instance failed")
	select {
	case d.failures <- err:
	default: // one failure is enough to stop
	}
	d.Drain()
}

// Drain begins a graceful shutdown. It returns immediately.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// ready returns why the instance is not ready, or nil.
func (d *Daemon) ready() error {
	if d.controller.ActiveCatalogue() == nil {
		return trace.NotFound("no catalogue is in force yet")
	}
	return nil
}

// operatorHandler returns the handler of the operators' API.
func (d *Daemon) operatorHandler() http.Handler {
	dumps := &admin.Dumps{}
	dumps.Register("control", d.controller.Dump)
	dumps.Register("scheduler", d.scheduler.Dump)
	dumps.Register("requests", d.dispatcher.Dump)
	dumps.Register("orders", d.orders.Dump)
	dumps.Register("reclaim", d.sweeper.Dump)
	dumps.Register("limits", d.limiter.Dump)
	dumps.Register("claims", d.ledger.Dump)
	dumps.Register("members", d.overlay.Dump)
	dumps.Register("paths", d.tunnels.Dump)
	return admin.NewHandler(admin.Options{
		Store:                d.store,
		Replica:              d.replica,
		Bus:                  d.overlay,
		Dumps:                dumps,
		Ready:                d.ready,
		Drain:                d.Drain,
		Draining:             d.draining.Load,
		BootstrapTokenSHA256: d.settings.Secrets.BootstrapTokenSHA256,
	})
}
