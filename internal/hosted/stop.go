package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Timing of a planned stop.
const (
	// stopNotice is how long the instance reports that it is not ready before it
	// closes its listener: the balancer asks every second and takes an instance
	// out after two misses.
	stopNotice = 2500 * time.Millisecond
	// stopReserve is what is left of the grace for the end of the process.
	stopReserve = 400 * time.Millisecond
	// defaultGrace is used if the settings do not say how long a stop may take.
	defaultGrace = 8 * time.Second
)

// addStop adds the actor that handles signals: SIGTERM and SIGINT begin a planned
// stop, SIGHUP reads the settings again.
func (n *Instance) addStop(ctx context.Context, group *run.Group) {
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
					n.reload()
					continue
				}
				n.stop(ctx)
				return nil
			}
		}
	}, func(error) { cancel() })
}

// stop reports "not ready", serves on while the balancer notices, and lets the
// requests under way end.
func (n *Instance) stop(ctx context.Context) {
	began := time.Now()
	n.draining.Store(true)
	grace := n.settings.StopGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	log.WithField("grace", grace).Info("A planned stop begins; the instance is no longer ready.")
	go n.links.leave(context.WithoutCancel(ctx))
	sleep.For(ctx, min(stopNotice, grace/2))
	n.shutdown(grace - stopReserve - time.Since(began))
}

// reload reads the settings again. What a running process can take over is in
// force at once; broken settings change nothing.
func (n *Instance) reload() {
	s, err := n.opts.Reload()
	if err != nil {
		log.WithError(err).Error("The settings cannot be read again; those in force stay.")
		return
	}
	n.settings.StopGrace = s.StopGrace
	log.WithField("stop_grace", s.StopGrace).Info("The settings were read again.")
}
