package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
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

// stopGracefully stops the instance without interrupting a request: it first
// reports "not ready", so that the load balancer and the peers send no new
// requests, then stops listening, and then waits for all requests to end, each at
// its own deadline at the latest.
func (d *Daemon) stopGracefully() {
	notice := d.settings.Drain.Notice.Std()
	log.Infof("graceful shutdown started, notice %s", notice)
	d.draining.Store(true)
	d.overlay.SetLeaving()
	time.Sleep(notice)
	if err := d.callerServer.Stop(context.Background()); err != nil {
		log.Warnf("callers' server not stopped cleanly: %v", err)
	}
	d.dispatcher.Wait()
	tunnels, cancel := context.WithTimeout(context.Background(), tunnelDrainTimeout)
	defer cancel()
	d.tunnels.WaitServed(tunnels)
	ctx, cancel := context.WithTimeout(context.Background(), claimDrainTimeout)
	defer cancel()
	if left := d.ledger.Drain(ctx); left > 0 {
		log.Warnf("outcomes of claims not stored: %d", left)
	}
	log.Info("all requests ended")
}
