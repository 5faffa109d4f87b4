package passthrough

import (
	"context"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/placement"
)

// barkAgain is the pause before another engine is looked for again.
const barkAgain = 400 * time.Millisecond

// watchdog gives up a stream's engine if nothing comes for too long and another
// engine has a place for it. Without one, a silent engine is the best chance.
type watchdog struct {
	h      *Handler
	ctx    context.Context
	cancel context.CancelCauseFunc
	rq     *request
	// job is what the other engine is asked for, if the watch is armed.
	job   placement.Job
	timer *time.Timer
	// onFirst is called at the first event, if set.
	onFirst func()

	mu      sync.Mutex
	next    *chosen
	stopped bool
}

// newWatchdog watches an attempt that is about to be sent.
func (h *Handler) newWatchdog(ctx context.Context, rq *request, silence time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{h: h, ctx: ctx, cancel: cancel, rq: rq}
	if rq.route.Resumable && rq.ran+1 < rq.route.MaxAttempts {
		w.job = h.job(rq)
		w.timer = time.AfterFunc(silence, w.bark)
	}
	return w
}

// reset begins the wait anew.
func (w *watchdog) reset(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// first says that an event has come.
func (w *watchdog) first() {
	if w.onFirst != nil {
		w.onFirst()
		w.onFirst = nil
	}
}

// bark looks for another engine and gives up the present one if there is one.
func (w *watchdog) bark() {
	now := time.Now()
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if !w.h.budgets.has(w.rq.service, now) {
		w.timer.Reset(barkAgain)
		return
	}
	job := w.job
	job.Waited, job.Lifetime = now.Sub(w.rq.arrived), w.rq.deadline.Sub(now)
	job.Remaining = job.Lifetime
	d := w.h.opts.Placer.Place(w.ctx, job)
	if d.Upstream == "" {
		w.timer.Reset(barkAgain)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || !w.h.budgets.spend(w.rq.service, now) {
		w.h.opts.Placer.Ended(job.Service, job.ID, placement.Abandoned)
		return
	}
	w.next = &chosen{job, d}
	w.cancel(errSilent)
}

// stop ends the watch and returns the place to go on at, if one was granted. A
// place that came with the end of the stream is given back by the caller.
func (w *watchdog) stop() *chosen {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.next
}
