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
	// maxExitReserve bounds the part of the grace period that is reserved for errors to requests
	// that still run, for half of it, and for the exit of the process. It is at most the fraction
	// 1/exitReserveDivisor of the period, less than the last sixth in which the users allow
	// requests to be cut.
	maxExitReserve     = 400 * time.Millisecond
	exitReserveDivisor = 8
	// defaultStopGrace is the grace period if the settings have none.
	defaultStopGrace = 8 * time.Second
	// graceCheckInterval is the interval at which a shutdown checks whether the settings have
	// another grace period.
	graceCheckInterval = 100 * time.Millisecond
	// settingsWait bounds the read of the settings file at the begin of a shutdown: a file system
	// that does not answer must not delay it.
	settingsWait = 50 * time.Millisecond
)

// addSignalHandler adds the actors that handle signals: SIGTERM and SIGINT
// start a graceful shutdown, SIGHUP reloads the settings. Each has a channel of its own, so that
// none is lost among signals of the other kind.
func (n *Instance) addSignalHandler(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-stops:
			n.stopGracefully(ctx)
		}
		return nil
	}, func(error) { cancel() })
	addActor(group, func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-reloads:
				panics.Run(log, func() { n.follower.Refresh() })
			}
		}
	})
}

// planStop returns the graceful shutdown that began at the given time, if the process is killed at
// the end of the grace period; 0 selects a default.
func planStop(began time.Time, grace time.Duration) *passthrough.Stop {
	if grace <= 0 {
		grace = defaultStopGrace
	}
	reserve := min(maxExitReserve, grace/exitReserveDivisor)
	return &passthrough.Stop{
		Began:    began,
		Grace:    grace,
		NewUntil: began.Add(min(notReadyPeriod, grace/2)),
		End:      began.Add(grace - reserve),
	}
}

// stopGracefully makes the instance report that it is not ready, keeps serving
// until the load balancer has detected that, and then waits for the running
// requests. If a shutdown has begun already, it waits for ctx, which ends with that one.
func (n *Instance) stopGracefully(ctx context.Context) {
	if !n.beginStop(time.Now()) {
		<-ctx.Done()
		return
	}
	log.WithField("grace", n.stop.Load().Grace).Info("graceful shutdown started; instance no longer ready")
	leaving := context.WithoutCancel(ctx)
	go panics.Run(log, func() { n.links.leave(leaving) })
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	go panics.Run(log, func() { n.followGrace(following) })
	n.sleepUntil(ctx, func(s *passthrough.Stop) time.Time { return s.NewUntil })
	running, end := context.WithCancel(ctx)
	defer end()
	go panics.Run(log, func() {
		n.sleepUntil(running, func(s *passthrough.Stop) time.Time { return s.End })
		end()
	})
	n.shutdownCallers(running)
	n.tunnels.WaitServed(running)
	stop := n.stop.Load()
	log.WithField("ms", time.Since(stop.Began).Milliseconds()).WithField("grace_ms", stop.Grace.Milliseconds()).
		WithFields(n.handler.StopOutcomes()).Info("graceful shutdown ended")
}

// beginStop begins the graceful shutdown of a signal received at the given time, with the grace period
// that the settings file has: one that was changed just before the signal counts from the first request
// on. It returns false if a shutdown has begun already.
func (n *Instance) beginStop(began time.Time) bool {
	read := make(chan struct{})
	go panics.Run(log, func() {
		defer close(read)
		n.follower.Refresh()
	})
	select {
	case <-read:
	case <-time.After(settingsWait):
	}
	return n.stop.CompareAndSwap(nil, planStop(began, n.follower.Current().StopGrace))
}

// followGrace adopts the grace period that the settings file has when the shutdown begins and, until
// ctx ends, each shorter one. A longer one comes too late: the platform may have decided already when
// it kills the process. A file that is being written when the shutdown begins counts once it is whole.
func (n *Instance) followGrace(ctx context.Context) {
	known := false
	adopt := func() {
		stop := n.stop.Load()
		next := planStop(stop.Began, n.follower.Refresh().StopGrace)
		if next.Grace < stop.Grace || !known && next.Grace > stop.Grace {
			n.stop.Store(next)
			log.WithField("grace", next.Grace).WithField("before", stop.Grace).Info("grace period of the graceful shutdown changed")
		}
		known = known || n.follower.FollowsFile()
	}
	adopt()
	_ = sleep.Every(ctx, graceCheckInterval, adopt) // returns only when ctx ends
}

// sleepUntil waits for a moment of the graceful shutdown, which may come closer meanwhile, or until
// ctx ends.
func (n *Instance) sleepUntil(ctx context.Context, moment func(*passthrough.Stop) time.Time) {
	for {
		left := time.Until(moment(n.stop.Load()))
		if left <= 0 || !sleep.For(ctx, min(left, graceCheckInterval)) {
			return
		}
	}
}
