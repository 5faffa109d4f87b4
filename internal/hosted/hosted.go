package hosted

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/graceful"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/passthrough"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/sockets"
	"github.com/banyanroute/banyanroute/internal/tunnel"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

var log = logging.For("hosted")

// Prober checks the health of upstreams.
type Prober interface {
	// Probe returns what the upstream's answer shows, with the reason if it is not
	// healthy.
	Probe(ctx context.Context, up deployment.Upstream, service deployment.Service) (deployment.ProbeResult, error)
}

// Options configures an Instance; it holds what the platform's adapter provides.
type Options struct {
	Settings Settings
	// SettingsFile is followed while the instance runs.
	SettingsFile SettingsFile
	// Sources provide the configuration and the list of upstreams.
	Sources  []deployment.Source
	Codec    passthrough.Codec
	Reserver passthrough.Reserver
	Prober   Prober
	// ObserveSignals, if set, registers a function that is told what answers to orders and
	// probes say of their upstreams.
	ObserveSignals func(observe func(deployment.Upstream, deployment.Signals))
	// Dial opens direct connections to upstreams; nil selects a plain dialer.
	Dial sockets.DialFunc
	// SetDial, if set, gets the function with which orders and probes open connections.
	SetDial func(sockets.DialFunc)
	// Directory lists the instances.
	Directory Directory
	// Quarantines keeps the quarantined requests.
	Quarantines QuarantineStore
	// Listening, if set, is called once all listeners are open.
	Listening func()
	// ReadinessPath is the path of the platform's readiness check.
	ReadinessPath string
}

// Instance is one instance on a platform.
type Instance struct {
	opts Options
	// settings are those at the start, follower has those in force.
	settings Settings
	follower *settingsFollower
	state    *deployment.State
	planner  *placement.Planner
	fleet    *placement.Fleet
	links    *links
	// tunnels opens connections to upstreams.
	tunnels *tunnel.Dialer
	// quarantines is read before the instance is ready.
	quarantines *quarantines
	restorer    *restorer
	followers   []*deployment.Follower
	suspension  *suspension
	handler     *passthrough.Handler
	// stop is the graceful shutdown that has begun; nil if there is none.
	stop atomic.Pointer[passthrough.Stop]
	// ending ends when the requests that still run must end, because the process does.
	ending      context.Context
	endRequests context.CancelFunc

	// failures holds the error of an actor that has failed.
	failures chan error

	// callers is opened by Run.
	callers    *graceful.Server
	readiness  *http.Server
	operators  *http.Server
	linkServer *http.Server
}

// New returns an instance that is neither running nor listening.
func New(o Options) *Instance {
	s := o.Settings
	n := &Instance{opts: o, settings: s, state: deployment.NewState(), planner: placement.NewPlanner(s.DataCentre), failures: make(chan error, 1)}
	if s.LearnCosts {
		n.planner.LearnCosts()
	}
	n.state.Subscribe(n.planner.SetView)
	n.follower = newSettingsFollower(s, o.SettingsFile)
	n.planner.SetColdBounds(n.coldBounds)
	n.ending, n.endRequests = context.WithCancel(context.Background())
	self := peer.Member{
		ID:          s.Instance,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     s.LinksAddress,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Capacity:    s.Capacity,
	}
	n.quarantines = newQuarantines(o.Quarantines, n.planner)
	n.links = &links{directory: o.Directory, self: self}
	n.restorer = newRestorer(n.links.restore, n.quarantines.restore)
	for _, source := range o.Sources {
		options := deployment.FollowerOptions{
			Instances:         n.links.instances,
			ApplyTimeout:      func() time.Duration { return n.follower.Current().ApplyTimeout },
			EvacuationBound:   func() time.Duration { return n.follower.Current().EvacuationBound },
			UpstreamHeartbeat: func() time.Duration { return n.follower.Current().UpstreamHeartbeat },
			IsWatcher:         n.links.isWatcher, IsLinked: n.links.isLinked, IsRelay: n.links.isRelay, Relays: n.links.relays, OnEra: n.restorer.enter,
			OnStoreBack: func() { n.links.exchange.StoreBack() },
		}
		n.followers = append(n.followers, deployment.NewFollower(n.state, source, options))
	}
	n.links.exchange = deployment.NewExchange(n.state, n.followers...)
	n.fleet = placement.NewFleet(n.planner, placement.OwnerName(self), n.links.exchange)
	n.fleet.SetJoined(n.links.hasJoined)
	n.links.fleet = n.fleet
	signals := upstreamSignals{n.links.exchange, n.fleet}
	if o.ObserveSignals != nil {
		o.ObserveSignals(signals.Observe)
	}
	n.tunnels = newTunnels(o.Dial, n)
	n.links.tunnels = n.tunnels
	if o.SetDial != nil {
		o.SetDial(passthrough.CheckedDial(n.tunnels.DialContext))
	}
	n.suspension = &suspension{
		bound:   func() time.Duration { return n.follower.Current().EvacuationBound },
		confirm: n.confirmConfigurations,
	}
	n.handler = passthrough.New(passthrough.Options{
		State:       n.state,
		Codec:       o.Codec,
		Placer:      n.fleet,
		Signals:     signals.Observe,
		Dial:        n.tunnels.DialContext,
		Reserver:    o.Reserver,
		Retries:     n.retryBudget,
		Instances:   n.links.instances,
		MaxIdleHold: func() time.Duration { return n.follower.Current().MaxIdleHold },
		BodiesBytes: s.MemoryBytes / bodiesShare,
		Stop:        n.stop.Load,
		Ending:      n.ending,

		AwaitCurrent: n.suspension.awaitCurrent,
	})
	n.buildServers()
	build.RegisterMetric()
	return n
}

// confirmConfigurations waits until the evacuations are as new as the store.
func (n *Instance) confirmConfigurations(ctx context.Context, patience time.Duration) error {
	for i, source := range n.opts.Sources {
		if source.Content() == deployment.Configurations {
			if err := n.followers[i].Confirm(ctx, patience); err != nil {
				return err
			}
		}
	}
	return nil
}

// retryBudget returns the retry budget in force.
func (n *Instance) retryBudget() passthrough.RetryBudget {
	s := n.follower.Current()
	return passthrough.RetryBudget{Ratio: s.RetryRatio, Extra: s.RetryBurst, Window: s.RetryWindow}
}

// coldBounds returns the bounds for cold upstreams in force.
func (n *Instance) coldBounds() upstreamlimit.ColdBounds {
	s := n.follower.Current()
	return upstreamlimit.ColdBounds{Overage: s.ColdOverage, Slack: s.ColdSlack, Heartbeat: s.UpstreamHeartbeat}
}

// bodiesShare is the part of the process's memory that bodies of requests and answers may take,
// as a divisor. The garbage of those that have ended takes as much again.
const bodiesShare = 6

// newTunnels returns what opens connections to upstreams; direct is as in Options.
func newTunnels(direct sockets.DialFunc, n *Instance) *tunnel.Dialer {
	if direct == nil {
		direct = sockets.NewDialer(sockets.Upstream).DialContext
	}
	return tunnel.NewDialer(tunnel.Options{
		Direct:     direct,
		Upstream:   func(address string) (deployment.Upstream, bool) { return n.state.View().UpstreamAt(address) },
		DataCentre: n.settings.DataCentre,
		Draining:   n.draining,
	})
}

// upstreamSignals passes on what answers of upstreams say of the upstreams themselves.
type upstreamSignals struct {
	exchange *deployment.Exchange
	fleet    *placement.Fleet
}

// Observe records the signals in an answer.
func (u upstreamSignals) Observe(up deployment.Upstream, s deployment.Signals) {
	if s.Leaving {
		u.exchange.UpstreamLeaves(up)
	}
	if s.Pause > 0 {
		u.fleet.PauseObserved(up, s.Pause)
	}
	if s.ColdStated {
		u.fleet.ColdObserved(up, s.Cold)
	}
}

// assumedInstances is the number of live instances that is assumed until it is
// known.
const assumedInstances = 8

// Run runs the instance until ctx ends or it has been shut down, by a signal or because an actor
// has failed.
func (n *Instance) Run(ctx context.Context) error {
	var group run.Group
	actors := []func(context.Context) error{n.probeLost, n.fleet.Run, n.links.run, n.quarantines.run, n.restorer.run, n.follower.Run, n.suspension.run}
	for _, f := range n.followers {
		actors = append(actors, f.Run)
	}
	for _, f := range actors {
		addActor(&group, n.reportingFailure(f))
	}
	addActor(&group, n.stopOnFailure)
	for _, s := range []struct {
		name, address string
		server        *http.Server
		capacity      graceful.Capacity
	}{
		{"operators", n.settings.OperatorsAddress, n.operators, n.probesCapacity()},
		{"readiness", n.settings.ReadinessAddress, n.readiness, n.probesCapacity()},
		{"links", n.settings.LinksAddress, n.linkServer, n.linksCapacity()},
	} {
		if err := n.addServer(&group, s.name, s.address, s.server, s.capacity); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := n.addCallersServer(&group); err != nil {
		return err
	}
	if n.opts.Listening != nil {
		n.opts.Listening()
	}
	n.addSignalHandler(ctx, &group)
	log.WithField("instance", n.settings.Instance).WithField("data_centre", n.settings.DataCentre).
		WithField("callers", n.settings.CallersAddress).WithField("build", build.ID()).
		WithField("protocol_version", member.ProtocolVersion).Info("instance starting")
	err := group.Run()
	log.WithField("instance", n.settings.Instance).Info("instance stopped")
	return err
}

// addActor adds an actor that runs f with a context, which is cancelled to
// interrupt it.
func addActor(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() (err error) {
		defer panics.RecoverError(log, &err)
		err = f(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { cancel() })
}

// reportingFailure returns an actor that runs f and, if it fails, lets the instance finish the
// running requests before the other actors are interrupted.
func (n *Instance) reportingFailure(f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		err := func() (err error) {
			defer panics.RecoverError(log, &err)
			return f(ctx)
		}()
		if ctx.Err() == nil {
			n.fail(err)
			<-ctx.Done()
		}
		return err
	}
}

// fail records that an actor has failed.
func (n *Instance) fail(err error) {
	log.WithError(err).Error("part of the instance failed")
	select {
	case n.failures <- err:
	default: // one failure is enough to stop
	}
}

// stopOnFailure shuts the instance down gracefully when an actor has failed.
func (n *Instance) stopOnFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-n.failures:
		n.stopGracefully(ctx)
		return err
	}
}

// draining reports whether a graceful shutdown has begun.
func (n *Instance) draining() bool { return n.stop.Load() != nil }

// ready reports whether the instance can serve callers: it has a configuration, a list
// of upstreams and the quarantined requests, and is not draining.
func (n *Instance) ready() bool {
	v := n.state.View()
	return !n.draining() && v.Config != nil && !v.ListedAt.IsZero() && n.quarantines.loaded.Load()
}

// Probes of lost upstreams.
const (
	// probeInterval is the interval at which each lost upstream is probed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 700 * time.Millisecond
)

// probeLost probes lost upstreams until ctx ends.
func (n *Instance) probeLost(ctx context.Context) error {
	return sleep.Every(ctx, probeInterval, panics.Guard(log, func() {
		for _, up := range n.planner.DueForProbe(time.Now()) {
			go panics.Run(log.WithField("upstream", up.ID), func() { n.probeOne(ctx, up) })
		}
	}))
}

// probeOne probes a lost upstream and reports the result to the planner.
func (n *Instance) probeOne(ctx context.Context, up deployment.Upstream) {
	config := n.state.View().Config
	if config == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if n.state.View().Evacuated(up.DataCentre) && config.Services[up.Service].Engine == nil {
		return // a plain service's health path is a request; an engine's report is not
	}
	began := time.Now()
	result, err := n.opts.Prober.Probe(ctx, up, config.Services[up.Service])
	n.planner.Probed(up, result, began, time.Now())
	entry := log.WithField("upstream", up.ID).WithField("service", up.Service).WithField("result", result.String())
	if err != nil {
		entry.WithError(err).Debug("probe of upstream failed")
		return
	}
	entry.Info("upstream answered probe and gets work")
}
