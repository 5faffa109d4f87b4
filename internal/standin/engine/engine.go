package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Throttle slows or pauses an engine.
type Throttle interface {
	// WaitThawed returns when the engine is not paused, or with ctx's error.
	WaitThawed(ctx context.Context) error
	// SlowFactor returns the factor by which steps take longer.
	SlowFactor() float64
}

// Engine simulates a model engine. It is safe for concurrent use; Run executes
// its steps.
type Engine struct {
	settings Settings
	throttle Throttle
	// wake holds at most one signal that there may be work.
	wake chan struct{}

	mu      sync.Mutex
	memory  *memory
	streams map[string]*stream
	// active holds the unfinished streams.
	active map[*stream]struct{}
	holds  map[string]*hold
	orders orderState
	load   loadHistory
	events eventLog
	record record
	// arrivals counts the streams submitted so far.
	arrivals uint64
	// leaving is when the engine began to leave; zero if it isn't leaving.
	leaving time.Time
}

// New returns an engine that executes nothing until Run is called.
func New(settings Settings, throttle Throttle) *Engine {
	e := &Engine{
		settings: settings,
		throttle: throttle,
		wake:     make(chan struct{}, 1),
		streams:  map[string]*stream{},
		active:   map[*stream]struct{}{},
		holds:    map[string]*hold{},
		record:   record{requests: map[string]*RequestRecord{}},
	}
	e.events = newEventLog(settings)
	e.memory = newMemory(settings.MemoryTokens, e.cacheChanged)
	e.orders = newOrderState(settings)
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

// Run executes steps until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	for {
		if err := e.throttle.WaitThawed(ctx); err != nil {
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
		if !sleep.For(ctx, time.Duration(float64(step.duration)*e.throttle.SlowFactor())) {
			return nil
		}
		if err := e.throttle.WaitThawed(ctx); err != nil {
			return nil
		}
		e.mu.Lock()
		e.complete(time.Now(), step)
		e.mu.Unlock()
	}
}

// idle waits for a signal or for the next expiry. It returns false if ctx is
// done.
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

// finish frees the memory of s and keeps its answer for Settings.StreamRetention,
// so that the stream can be resumed after a lost connection.
func (e *Engine) finish(now time.Time, s *stream, failure *Refusal) {
	if s.phase == finished {
		return
	}
	e.memory.free(s.private)
	e.memory.unref(s.shared)
	s.private, s.shared = 0, nil
	if s.reservation != nil {
		s.reservation.user = nil
	}
	s.phase = finished
	s.failure = failure
	s.expires = now.Add(e.settings.StreamRetention)
	s.record.Outcome = "complete"
	if failure != nil {
		s.record.Outcome = failure.Message
	}
	delete(e.active, s)
	s.notify()
	e.signal()
}

// expire ends streams and releases holds whose deadline has passed, and removes
// finished streams that have expired.
func (e *Engine) expire(now time.Time) {
	for _, s := range e.streams {
		switch {
		case s.phase == finished && now.After(s.expires):
			delete(e.streams, s.req.ID)
		case s.phase != finished && !now.Before(s.deadline()):
			e.finish(now, s, expiredFailure(s))
			e.recordLoad(now)
		}
	}
	for _, h := range e.holds {
		if !h.deadline.IsZero() && !now.Before(h.deadline) {
			e.release(now, h)
			e.recordLoad(now)
		}
	}
}

// expiredFailure returns the failure of a stream that missed its deadline.
func expiredFailure(s *stream) *Refusal {
	failure := *errDeadline
	failure.NotRun = s.phase == queued
	return &failure
}

// maxIdle bounds how long Run waits before it checks for expired state.
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
	e.recordLoad(now)
}

// Cancel ends a request and frees its memory. Cancelling an unknown request has
// no effect.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if s := e.streams[id]; s != nil {
		e.finish(now, s, errCanceled)
		e.recordLoad(now)
	}
}

// check refuses requests whose model is not loaded or that exceed the memory,
// and any request while the queue is full.
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
