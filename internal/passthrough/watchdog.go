package passthrough

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// watchdogRetryInterval is the pause before the watchdog fires again if no other engine
// can take the stream or the retry budget is exhausted.
const watchdogRetryInterval = 400 * time.Millisecond

// watchdog cancels an attempt of a stream if nothing is received for too long and
// another engine can take the stream. If there is none, the current engine, although it
// sends nothing, is the best chance.
type watchdog struct {
	h      *Handler
	ctx    context.Context
	cancel context.CancelCauseFunc
	rq     *request
	// job is placed at the other engine, if the watchdog is armed.
	job   placement.Job
	timer *time.Timer
	// onFirst is called at the first event, if set.
	onFirst func()

	mu      sync.Mutex
	next    *placedJob
	stopped bool
}

// newWatchdog starts a watchdog for an attempt that is about to be sent.
func (h *Handler) newWatchdog(ctx context.Context, rq *request, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{h: h, ctx: ctx, cancel: cancel, rq: rq}
	if rq.route.Resumable && len(rq.mayHaveRun)+1 < rq.route.MaxAttempts {
		w.job = rq.job()
		w.timer = panics.AfterFunc(log.WithField("request", rq.call.ID), timeout, w.fire)
	}
	return w
}

// reset restarts the timer.
func (w *watchdog) reset(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// first calls onFirst at the first event.
func (w *watchdog) first() {
	if w.onFirst != nil {
		w.onFirst()
		w.onFirst = nil
	}
}

// fire places the stream at another engine and, if that succeeds, cancels the current
// attempt.
func (w *watchdog) fire() {
	now := time.Now()
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if !w.h.budgets.allows(w.rq.service, now) {
		w.timer.Reset(watchdogRetryInterval)
		return
	}
	job := w.job
	job.Waited, job.Lifetime = now.Sub(w.rq.arrived), w.rq.deadline.Sub(now)
	job.Remaining = job.Lifetime
	job.Stalled = true
	job.Avoid = slices.Concat(job.Avoid, w.h.opts.State.View().EvacuatedUpstreams(job.Service))
	d := w.h.opts.Placer.Place(w.ctx, job)
	if d.Upstream == "" {
		w.timer.Reset(watchdogRetryInterval)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || !w.h.budgets.spend(w.rq.service, now) {
		w.h.opts.Placer.Ended(job.Service, job.ID, placement.End{Outcome: placement.Abandoned})
		return
	}
	w.next = &placedJob{job, d}
	w.cancel(errStalled)
}

// stop stops the watchdog and returns the job to resume at, if one was placed. If the
// stream has ended at the same time, the caller must end that job.
func (w *watchdog) stop() *placedJob {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.next
}
