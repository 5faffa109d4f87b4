package engine

import (
	"context"
	"net/http"
	"time"
)

// Reader reads one stream over one connection.
type Reader struct {
	engine     *Engine
	stream     *stream
	connection int
}

// View is a snapshot of a stream's progress.
type View struct {
	// Started reports whether the engine has begun to compute the request.
	Started bool
	// Computed counts the prompt tokens that are computed or cached, and Prompt
	// all prompt tokens.
	Computed int
	Prompt   int
	// Cached counts the prompt tokens that were found in the prefix cache.
	Cached int
	// Position is the number of generated tokens, Request.Start included.
	Position int
	// Complete reports whether the answer has its last token.
	Complete bool
}

// Submit starts a request. A higher attempt of a known request ends the older
// attempt and starts over. The error is a *Refusal.
func (e *Engine) Submit(req Request) (*Reader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(e.settings.DefaultDeadline)
	}
	if refusal := e.check(now, req); refusal != nil {
		return nil, refusal
	}
	if old := e.streams[req.ID]; old != nil {
		if old.req.Attempt >= req.Attempt {
			return nil, refuse(http.StatusConflict, "attempt %d of the request is known", old.req.Attempt)
		}
		e.finish(now, old, errFenced)
	}
	s := e.newStream(now, req)
	if refusal := e.bindReservation(s); refusal != nil {
		return nil, refusal
	}
	e.streams[req.ID] = s
	e.active[s] = struct{}{}
	e.record.accepted(s, e.leavingFor(now), len(e.active))
	e.load.addRequest(req.ID)
	e.recordLoad(now)
	e.signal()
	return e.attach(s), nil
}

func (e *Engine) newStream(now time.Time, req Request) *stream {
	e.arrivals++
	return &stream{
		req:      req,
		arrival:  e.arrivals,
		prompt:   promptTokens(req.PromptBytes),
		position: req.Start,
		expires:  now.Add(e.settings.StreamRetention),
		changed:  make(chan struct{}),
	}
}

// leavingFor returns how long the engine has been leaving, or zero.
func (e *Engine) leavingFor(now time.Time) time.Duration {
	if e.leaving.IsZero() {
		return 0
	}
	return now.Sub(e.leaving)
}

// Resume attaches a new connection to a known stream. The reader of the older
// connection then fails with errFenced. The error is a *Refusal.
func (e *Engine) Resume(id string, attempt int) (*Reader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	switch {
	case s == nil:
		return nil, refuse(http.StatusConflict, "the stream is not known")
	case attempt < s.req.Attempt:
		return nil, refuse(http.StatusConflict, "attempt %d has the stream", s.req.Attempt)
	}
	if attempt > s.req.Attempt {
		s.req.Attempt = attempt
		s.record.Attempts = append(s.record.Attempts, attempt)
	}
	s.record.Resumes++
	return e.attach(s), nil
}

// attach returns a reader for a new connection, which replaces the older one.
func (e *Engine) attach(s *stream) *Reader {
	s.connection++
	s.attached = true
	s.notify()
	return &Reader{engine: e, stream: s, connection: s.connection}
}

// Wait returns when the stream has more than after tokens or is complete, or, if
// after is negative, when it has started. The error is a *Refusal, or ctx's error.
func (r *Reader) Wait(ctx context.Context, after int) (View, error) {
	for {
		view, changed, err := r.view()
		if err != nil {
			return view, err
		}
		if view.Complete || view.Position > after && (after >= 0 || view.Started) {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view, ctx.Err()
		}
	}
}

func (r *Reader) view() (View, <-chan struct{}, error) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	s := r.stream
	view := View{
		Started:  s.started,
		Computed: s.computed,
		Prompt:   s.prompt,
		Cached:   s.cached,
		Position: s.position,
		Complete: s.phase == finished && s.failure == nil,
	}
	if s.connection != r.connection {
		return view, nil, errFenced
	}
	if s.failure != nil {
		return view, nil, s.failure
	}
	return view, s.changed, nil
}

// Request returns the request that the stream runs.
func (r *Reader) Request() Request { return r.stream.req }

// Close detaches the reader from its stream when the connection is closed. The
// stream is kept for Settings.StreamRetention, or cancelled immediately if keep is
// false.
func (r *Reader) Close(keep bool) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	s := r.stream
	if s.connection != r.connection || s.phase == finished {
		return
	}
	now := time.Now()
	if !keep {
		e.finish(now, s, errCanceled)
		e.recordLoad(now)
		return
	}
	s.attached = false
	s.expires = now.Add(e.settings.StreamRetention)
	e.signal()
}
