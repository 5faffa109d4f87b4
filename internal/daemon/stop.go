package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/passthrough"
)

// claimDrainTimeout bounds the wait for the outcomes of claims to be stored after
// the last request has ended.
const claimDrainTimeout = 10 * time.Second

// tunnelDrainTimeout bounds the wait for the connections that this instance serves for others.
const tunnelDrainTimeout = 10 * time.Second

// addStop adds the actor that waits for a signal or a drain request and then shuts
// the instance down gracefully. A second signal ends the process immediately. It returns the error
// of an actor that has failed.
func (d *Daemon) addStop(ctx context.Context, group *run.Group) {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-d.drainRequested:
		}
		cancel()
		d.stopGracefully()
		select {
		case err := <-d.failures:
			return err
		default:
			return nil
		}
	}, func(error) { cancel() })
}

// Parts of the grace period that are reserved for errors to requests that still run, and then for
// the outcomes of their claims and the exit of the process, as divisors.
const (
	endReserveDivisor  = 8
	exitReserveDivisor = 16
)

// stopGracefully stops the instance without interrupting a request: it first
// reports "not ready", so that the load balancer and the peers send no new
// requests, then stops listening, and then waits for all requests to end, each at
// its own deadline or the end of the grace period at the latest.
func (d *Daemon) stopGracefully() {
	notice, grace := d.settings.Drain.Notice.Std(), d.settings.Drain.Grace.Std()
	log.Infof("graceful shutdown started, notice %s, grace %s", notice, grace)
	running, exiting := context.Background(), context.Background()
	if grace > 0 {
		began := time.Now()
		stop := &passthrough.Stop{Began: began, Grace: grace, NewUntil: began.Add(notice), End: began.Add(grace - grace/endReserveDivisor)}
		d.stop.Store(stop)
		var cancel context.CancelFunc
		running, cancel = context.WithDeadline(running, stop.End)
		defer cancel()
		exiting, cancel = context.WithDeadline(exiting, began.Add(grace-grace/exitReserveDivisor))
		defer cancel()
	}
	d.draining.Store(true)
	d.overlay.SetLeaving()
	time.Sleep(notice)
	d.stopCallers(running, exiting)
	tunnels, cancel := context.WithTimeout(running, tunnelDrainTimeout)
	defer cancel()
	d.tunnels.WaitServed(tunnels)
	ctx, cancel := context.WithTimeout(exiting, claimDrainTimeout)
	defer cancel()
	if left := d.ledger.Drain(ctx); left > 0 {
		log.Warnf("outcomes of claims not stored: %d", left)
	}
	log.Info("graceful shutdown ended")
}

// stopCallers stops the callers' server and waits for all requests until running ends. Those that
// still run then get an error, until exiting ends.
func (d *Daemon) stopCallers(running, exiting context.Context) {
	if err := d.callerServer.Stop(running); err != nil {
		log.Warn("requests still running at the end of the grace period are ended with an error")
		d.endRequests()
		if err := d.callerServer.Stop(exiting); err != nil {
			log.WithError(err).Warn("callers' server not stopped cleanly")
		}
	}
	ended := make(chan struct{})
	go panics.Run(log, func() {
		defer close(ended)
		d.dispatcher.Wait()
	})
	select {
	case <-ended:
	case <-exiting.Done():
		log.Warn("calls still running at the end of the grace period are left to their claims")
	}
}
