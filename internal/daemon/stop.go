package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// settleTime bounds the wait for claims to reach the store after the last
// request has ended.
const settleTime = 10 * time.Second

// addStop adds the actor that waits for a signal or a drain request and then
// stops the instance in order. A second signal ends it at once.
func (d *Daemon) addStop(ctx context.Context, group *run.Group) {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-d.drain:
		}
		cancel()
		d.stopGracefully()
		return nil
	}, func(error) { cancel() })
}

// stopGracefully cuts off no request: it first reports "not ready", so that the
// balancer and the peers send nothing new, then stops listening, and then waits
// for all requests to end, each at its own deadline at the latest.
func (d *Daemon) stopGracefully() {
	notice := d.settings.Drain.Notice.Std()
	log.Infof("planned stop begins, notice %s", notice)
	d.draining.Store(true)
	d.overlay.SetLeaving()
	time.Sleep(notice)
	if err := d.callers.Shutdown(context.Background()); err != nil {
		log.Warnf("callers' listener did not stop cleanly: %v", err)
	}
	d.dispatcher.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if left := d.ledger.Drain(ctx); left > 0 {
		log.Warnf("%d outcomes of claims could not be stored", left)
	}
	log.Info("all requests have ended")
}
