package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstream"
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

// chunk is the part of a prompt that one step computes.
type chunk struct {
	stream *stream
	tokens int
}

// step is one unit of the engine's work.
type step struct {
	duration time.Duration
	chunks   []chunk
	decodes  []*stream
}

// plan expires what is over, admits streams to memory and chooses the next step.
// It returns nil if there is nothing to compute.
func (e *Engine) plan(now time.Time) *step {
	e.expire(now)
	ordered := e.ordered()
	e.admit(ordered)
	st := &step{}
	budget := e.settings.ChunkTokens
	resident := 0
	for _, s := range ordered {
		if s.phase == queued {
			continue
		}
		resident += s.computed + s.position - s.req.Start
		if s.phase == decoding {
			st.decodes = append(st.decodes, s)
			continue
		}
		if n := min(budget, s.prompt-s.computed); n > 0 {
			st.chunks = append(st.chunks, chunk{s, n})
			budget -= n
		}
	}
	if len(st.chunks)+len(st.decodes) == 0 {
		return nil
	}
	set := e.settings
	st.duration = set.scaled(set.StepBase +
		time.Duration(set.ChunkTokens-budget)*set.PerPromptToken +
		time.Duration(len(st.decodes))*set.PerStream +
		time.Duration(resident)*set.PerResidentToken)
	return st
}

// ordered returns the unfinished streams by priority and arrival.
func (e *Engine) ordered() []*stream {
	all := make([]*stream, 0, len(e.active))
	for s := range e.active {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(a.order, b.order))
	})
	return all
}

// admit gives memory to queued streams in order and stops at the first that
// does not fit, so that a long prompt is not overtaken for ever.
func (e *Engine) admit(ordered []*stream) {
	inMemory := 0
	for _, s := range ordered {
		if s.phase != queued {
			inMemory++
		}
	}
	for _, s := range ordered {
		if s.phase != queued {
			continue
		}
		if inMemory >= e.settings.MaxStreams || !e.allocate(s) {
			return
		}
		inMemory++
	}
}

// allocate gives s the memory of its prompt and answer, less the blocks that
// are cached. At least one prompt token is always computed.
func (e *Engine) allocate(s *stream) bool {
	matched := min(e.memory.match(s.req.Blocks), (s.prompt-1)/upstream.BlockTokens)
	cached := s.req.Blocks[:matched]
	need := s.req.tokens() - matched*upstream.BlockTokens
	if s.reserved != nil {
		need = 0
	}
	e.memory.ref(cached)
	if !e.memory.take(need) {
		e.memory.unref(cached)
		return false
	}
	s.private = need
	s.shared = append([]string(nil), cached...)
	s.cached = matched * upstream.BlockTokens
	s.computed = s.cached
	s.phase = prefilling
	s.started = true
	s.record.Starts++
	s.record.CachedTokens += s.cached
	s.notify()
	return true
}

// complete applies a step that has taken its time.
func (e *Engine) complete(now time.Time, st *step) {
	for _, c := range st.chunks {
		if c.stream.phase == prefilling {
			e.prefilled(c)
		}
	}
	for _, s := range st.decodes {
		if s.phase == decoding {
			e.decoded(now, s)
		}
	}
	e.changed(now)
}

func (e *Engine) prefilled(c chunk) {
	s := c.stream
	s.computed += c.tokens
	s.record.ComputedTokens += c.tokens
	e.record.computed += int64(c.tokens)
	if s.computed < s.prompt {
		return
	}
	s.phase = decoding
	if s.reserved == nil {
		e.shareBlocks(s)
	}
}

// shareBlocks makes the whole prefix blocks of s available to other streams.
func (e *Engine) shareBlocks(s *stream) {
	whole := min(len(s.req.Blocks), s.prompt/upstream.BlockTokens)
	if whole <= len(s.shared) {
		return
	}
	fresh := s.req.Blocks[len(s.shared):whole]
	e.memory.share(fresh)
	s.private -= len(fresh) * upstream.BlockTokens
	s.shared = append(s.shared, fresh...)
}

func (e *Engine) decoded(now time.Time, s *stream) {
	if s.position < s.req.MaxTokens {
		s.position++
		s.record.GeneratedTokens++
		e.record.generated++
	}
	if s.position >= s.req.MaxTokens {
		e.finish(now, s, nil)
		return
	}
	s.notify()
}

// finish frees the memory of s and keeps its answer for a while, so that a lost
// connection can be resumed.
func (e *Engine) finish(now time.Time, s *stream, failure *Refusal) {
	if s.phase == finished {
		return
	}
	e.memory.give(s.private)
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
// forgets finished streams.
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
