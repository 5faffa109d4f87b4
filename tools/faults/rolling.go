package main

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// balancerDelay is how long the load balancer still sends requests to an instance
// that is shutting down; it is shorter than drain.notice of the deployment's
// settings.
const balancerDelay = 200 * time.Millisecond

// restartAll restarts all instances one after another by graceful shutdowns, as in
// an upgrade, under load. A long stream runs through each instance when its
// shutdown begins.
func restartAll(ctx context.Context, fleet *localfleet.Fleet, l *load, o options, r *report) {
	end := time.Now().Add(o.duration)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i = (i + 1) % len(fleet.Instances) {
		in := fleet.Instances[i]
		r.fault("replacing " + in.Name)
		probe := newShutdownProbe(ctx, in)
		in.Terminate()
		time.Sleep(balancerDelay)
		l.removed.Store(i, true)
		problem := ""
		if !in.WaitExit(shutdownTimeout) {
			problem = in.Name + " did not end after its last request's time"
			in.Kill()
		}
		r.check(gracefulShutdown, problem)
		r.check(gracefulShutdown, probe.problem())
		if err := in.Start(); err != nil {
			r.check(gracefulShutdown, "not started again: "+err.Error())
			return
		}
		if err := localfleet.WaitOK(ctx, "http://"+in.OperatorsAddress+"/readyz"); err != nil {
			r.check(gracefulShutdown, "not ready again: "+err.Error())
			return
		}
		l.removed.Delete(i)
	}
}
