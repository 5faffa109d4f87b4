package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/passthrough"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Timing of a graceful shutdown.
const (
	// notReadyPeriod is how long the instance reports that it is not ready before
	// it closes its listener: the load balancer checks every second and removes an
	// instance after two failed checks.
	notReadyPeriod = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for errors to requests
	// that still run, for up to endTimeout, and for the exit of the process.
	exitReserve = 400 * time.Millisecond
	endTimeout  = 200 * time.Millisecond
	// defaultStopGrace is the grace period if the settings have none.
	defaultStopGrace = 8 * time.Second
)

// addSignalHandler adds the actor that handles signals: SIGTERM and SIGINT
// start a graceful shutdown, SIGHUP reloads the settings.
func (n *Instance) addSignalHandler(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	group.Add(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case s := <-signals:
				if s == syscall.SIGHUP {
					panics.Run(log, n.reload)
					continue
				}
				n.stopGracefully(ctx)
				return nil
			}
		}
	}, func(error) { cancel() })
}

// stopGracefully makes the instance report that it is not ready, keeps serving
// until the load balancer has detected that, and then waits for the running
// requests.
func (n *Instance) stopGracefully(ctx context.Context) {
	started := time.Now()
	grace := n.settings.StopGrace
	if grace <= 0 {
		grace = defaultStopGrace
	}
	notReady := min(notReadyPeriod, grace/2)
	n.stop.Store(&passthrough.Stop{
		Began: started, Grace: grace, NewUntil: started.Add(notReady), End: started.Add(grace - exitReserve),
	})
	log.WithField("grace", grace).Info("graceful shutdown started; instance no longer ready")
	go panics.Run(log, func() { n.links.leave(context.WithoutCancel(ctx)) })
	sleep.For(ctx, notReady)
	n.shutdownCallers(grace - exitReserve - time.Since(started))
	n.tunnels.WaitServed(ctx, grace-exitReserve-time.Since(started))
	log.WithField("ms", time.Since(started).Milliseconds()).WithField("grace_ms", grace.Milliseconds()).
		WithFields(n.handler.StopOutcomes()).Info("graceful shutdown ended")
}

// reload reloads the settings. Those that a running process can adopt are applied
// immediately; settings that cannot be read change nothing.
func (n *Instance) reload() {
	s, err := n.opts.Reload()
	if err != nil {
		log.WithError(err).Error("reloading settings failed; active settings unchanged")
		return
	}
	n.settings.StopGrace = s.StopGrace
	log.WithField("stop_grace", s.StopGrace).Info("settings reloaded")
}
