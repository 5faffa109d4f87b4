package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Pace is what slows or stops the engine's work from outside.
type Pace interface {
	// WaitThawed returns when the engine may work.
	WaitThawed(ctx context.Context) error
	// SlowFactor multiplies the time of a step.
	SlowFactor() float64
}

// Engine is the model. It is safe for concurrent use; Run does its work.
type Engine struct {
	settings Settings
	pace     Pace
	// wake has room for one signal that there may be work.
	wake chan struct{}

	mu      sync.Mutex
	memory  *memory
	streams map[string]*stream
	// active holds the streams that are not finished.
	active map[*stream]struct{}
	holds  map[string]*hold
	orders orderBook
	load   loadHistory
	events eventLog
	record record
	// arrivals numbers the streams.
	arrivals uint64
	leaving  time.Time
}

// New returns an engine whose work has not begun.
func New(settings Settings, pace Pace) *Engine {
	e := &Engine{
		settings: settings,
		pace:     pace,
		wake:     make(chan struct{}, 1),
		streams:  map[string]*stream{},
		active:   map[*stream]struct{}{},
		holds:    map[string]*hold{},
		record:   record{requests: map[string]*RequestRecord{}},
	}
	e.events = newEventLog(settings)
	e.memory = newMemory(settings.MemoryTokens, e.cacheChanged)
	e.orders = newOrderBook(settings)
	e.load.add(time.Time{}, e.loadNow())
	return e
}

// Settings returns the engine's settings.
func (e *Engine) Settings() Settings { return e.settings }

// signal wakes Run.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run does the engine's work until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		if err := e.pace.WaitThawed(ctx); err != nil {
			return nil
		}
		e.mu.Lock()
		step := e.plan(time.Now())
		wait := e.nextExpiry(time.Now())
		e.mu.Unlock()
		if step == nil {
			if !e.idle(ctx, wait) {
				return nil
			}
			continue
		}
		if !sleep.For(ctx, time.Duration(float64(step.duration)*e.pace.SlowFactor())) {
			return nil
		}
		if err := e.pace.WaitThawed(ctx); err != nil {
			return nil
		}
		e.mu.Lock()
		e.complete(time.Now(), step)
		e.mu.Unlock()
	}
}

// idle waits for a signal or for the time of the next expiry. It returns false
// if ctx ended.
func (e *Engine) idle(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.wake:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finish frees the memory of s and keeps its answer for a while, so that a lost
// connection can be resumed.
func (e *Engine) finish(now time.Time, s *stream, failure *Refusal) {
	if s.phase == finished {
		return
	}
	e.memory.free(s.private)
	e.memory.unref(s.shared)
	s.private, s.shared = 0, nil
	if s.reserved != nil {
		s.reserved.user = nil
	}
	s.phase = finished
	s.failure = failure
	s.expires = now.Add(e.settings.KeepStream)
	s.record.Outcome = "complete"
	if failure != nil {
		s.record.Outcome = failure.Message
	}
	delete(e.active, s)
	s.notify()
	e.signal()
}

// expire ends streams and releases holds that are past their deadline, and
// removes finished streams.
func (e *Engine) expire(now time.Time) {
	for _, s := range e.streams {
		switch {
		case s.phase == finished && now.After(s.expires):
			delete(e.streams, s.req.ID)
		case s.phase != finished && !now.Before(s.deadline()):
			e.finish(now, s, expiredFailure(s))
			e.changed(now)
		}
	}
	for _, h := range e.holds {
		if !h.deadline.IsZero() && !now.Before(h.deadline) {
			e.release(now, h)
			e.changed(now)
		}
	}
}

func expiredFailure(s *stream) *Refusal {
	failure := *errDeadline
	failure.NotRun = s.phase == queued
	return &failure
}

// maxIdle bounds how long Run waits without looking for expired state.
const maxIdle = time.Minute

// nextExpiry returns the time until the next stream or hold expires.
func (e *Engine) nextExpiry(now time.Time) time.Duration {
	wait := maxIdle
	for _, s := range e.streams {
		if s.phase == finished {
			wait = min(wait, s.expires.Sub(now)+time.Nanosecond)
		} else {
			wait = min(wait, s.deadline().Sub(now))
		}
	}
	for _, h := range e.holds {
		if !h.deadline.IsZero() {
			wait = min(wait, h.deadline.Sub(now))
		}
	}
	return max(wait, 0)
}

// SetLeaving sets whether the engine reports that it is about to stop.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch {
	case !leaving:
		e.leaving = time.Time{}
	case e.leaving.IsZero():
		e.leaving = now
	}
	e.changed(now)
}

// Cancel ends a request and frees its memory. Cancelling an unknown request
// succeeds.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if s := e.streams[id]; s != nil {
		e.finish(now, s, errCanceled)
		e.changed(now)
	}
}

// check refuses requests that the engine can never run.
func (e *Engine) check(now time.Time, req Request) *Refusal {
	switch {
	case !e.orders.usable(now, req.Model):
		return refuse(http.StatusNotFound, "model %q is not loaded", req.Model)
	case len(req.Reservations) == 0 && req.tokens() > e.settings.MemoryTokens:
		return refuse(http.StatusUnprocessableEntity, "%d tokens exceed the memory of %d", req.tokens(), e.settings.MemoryTokens)
	case len(e.active) >= e.settings.MaxStreams+e.settings.MaxQueue:
		r := refuse(http.StatusServiceUnavailable, "the queue is full")
		r.RetryAfter = time.Second
		return r
	}
	return nil
}
