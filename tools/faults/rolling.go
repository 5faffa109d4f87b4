package main

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// balancerDelay is how long the balancer goes on sending to an instance that
// has begun to stop; it is below the notice of the deployment's settings.
const balancerDelay = 200 * time.Millisecond

// replaceAll replaces all instances one after another by planned stops, as in
// an upgrade, while the load goes on. A long stream runs through each.
func replaceAll(ctx context.Context, fleet *localfleet.Fleet, l *load, o options, r *report) {
	end := time.Now().Add(o.duration)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i = (i + 1) % len(fleet.Instances) {
		in := fleet.Instances[i]
		r.fault("replacing " + in.Name)
		probe := newStopProbe(ctx, in)
		in.Terminate()
		time.Sleep(balancerDelay)
		l.removed.Store(i, true)
		problem := ""
		if !in.Join(stopLimit) {
			problem = in.Name + " did not end after its last request's time"
			in.Kill()
		}
		r.check(noCut, problem)
		r.check(noCut, probe.problem())
		if err := in.Start(); err != nil {
			r.check(noCut, "not started again: "+err.Error())
			return
		}
		if err := localfleet.WaitOK(ctx, "http://"+in.Operators+"/readyz"); err != nil {
			r.check(noCut, "not ready again: "+err.Error())
			return
		}
		l.removed.Delete(i)
	}
}
