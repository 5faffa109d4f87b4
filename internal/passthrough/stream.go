package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Silence of a stream after which it is taken to be stuck and goes on elsewhere.
// A stream that is moved is computed again, so moving one that is merely slow
// makes an overload worse.
const (
	// minSilence is the least silence; callers give up after two seconds at the
	// soonest.
	minSilence = 1700 * time.Millisecond
	// firstFactor times the objective, and expectFactor times the predicted
	// time, are the least before the first event; callers wait four objectives.
	firstFactor  = 2
	expectFactor = 3
	// pauseFactor times the longest pause of the objective is the least between
	// events; callers wait eight.
	pauseFactor = 5
)

// streamState is what the caller of a stream has so far.
type streamState struct {
	begun bool
	// last is the ID of the last event that was passed on.
	last   string
	events int
	// next is the place to go on at, if one was granted before the present
	// engine was given up.
	next *chosen
}

// stream relays events as they come. If an engine is lost, the stream goes on at
// another after the last whole event, where the route allows it.
func (h *Handler) stream(ctx context.Context, rq *request) *result.Error {
	var s streamState
	defer h.giveBack(&s)
	for {
		a, refused := h.nextAttempt(ctx, rq, &s)
		if refused != nil {
			return h.outOfPlaces(ctx, rq, refused)
		}
		end := h.tryStream(ctx, rq, a, &s)
		a.release()
		h.opts.Placer.Ended(rq.service, a.job, end.outcome)
		rq.story.ended(rq.service, end.outcome, end.status)
		switch {
		case end.outcome == placement.Completed:
			return nil
		case ctx.Err() != nil:
			return h.ended(ctx, rq, end.err, end.notRun)
		case end.answer != nil && !end.notRun && end.answer.status < http.StatusInternalServerError:
			return h.deliver(rq, end.answer)
		case s.next != nil:
			rq.ran++ // the budget was spent with the place
		case !end.notRun && !rq.route.Resumable,
			!h.mayRetry(ctx, rq, !end.notRun):
			if end.answer != nil && !end.notRun && !s.begun {
				return h.deliver(rq, end.answer)
			}
			return h.ended(ctx, rq, end.err, end.notRun)
		}
	}
}

// giveBack returns a place that is not needed.
func (h *Handler) giveBack(s *streamState) {
	if s.next != nil {
		h.opts.Placer.Ended(s.next.job.Service, s.next.job.ID, placement.Abandoned)
		s.next = nil
	}
}

// nextAttempt prepares the place that was granted already, or a new one.
func (h *Handler) nextAttempt(ctx context.Context, rq *request, s *streamState) (*attempt, *result.Error) {
	if c := s.next; c != nil {
		s.next = nil
		if a, err := h.prepare(ctx, rq, *c, s.last); err == nil {
			return a, nil
		}
	}
	return h.place(ctx, rq, s.last)
}

// streamEnd is how one attempt of a stream ended.
type streamEnd struct {
	outcome placement.Outcome
	status  int
	err     error
	notRun  bool
	// answer is a whole answer that is no stream, such as an engine's error.
	answer *wholeAnswer
}

// tryStream makes one attempt and passes its events on.
func (h *Handler) tryStream(ctx context.Context, rq *request, a *attempt, s *streamState) streamEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstSilence := max(minSilence, firstFactor*rq.route.FirstAnswer, expectFactor*a.decision.Expect)
	watch := h.newWatchdog(ctx, rq, firstSilence, cancel)
	defer func() { s.next = watch.stop() }()
	if a.holds {
		idle := time.AfterFunc(h.idleLimit(), func() { cancel(errIdleHold) })
		watch.onFirst = func() { idle.Stop() }
		defer idle.Stop()
	}
	res, reply, err := h.send(ctx, rq, a)
	if err != nil {
		return streamEnd{outcome: h.lossOf(ctx, rq, err), err: err, notRun: errors.Is(err, errNotSent)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || !reply.Signed {
		return h.notStream(ctx, rq, res, reply, s)
	}
	events := newEventReader(res.Body)
	pause := max(minSilence, pauseFactor*rq.route.MaxPause)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && s.begun {
			return streamEnd{outcome: placement.Completed, status: res.StatusCode}
		}
		if err != nil {
			return streamEnd{outcome: h.lossOf(ctx, rq, err), status: res.StatusCode, err: err}
		}
		watch.reset(pause)
		watch.first()
		rq.story.event(time.Now())
		if s.events == 0 || !s.begun {
			h.opts.Placer.FirstAnswer(rq.service, a.job)
		}
		if err := h.pass(rq, res, e, s); err != nil {
			return streamEnd{outcome: placement.Abandoned, status: res.StatusCode, err: err}
		}
	}
}

// errIdleHold says that reserved memory was unused for too long.
var errIdleHold = errors.New("reserved engine memory was not used in time")

// Limits of memory that waits for its request.
const (
	// idlePart is the part of the allowed time after which the memory is given
	// back, so that the release arrives in time.
	idlePart = 0.7
	// defaultIdleHold is the allowed time if the settings do not say.
	defaultIdleHold = 9 * time.Second
)

// idleLimit returns how long reserved memory may wait for the first event.
func (h *Handler) idleLimit() time.Duration {
	limit := h.opts.MaxIdleHold
	if limit <= 0 {
		limit = defaultIdleHold
	}
	return time.Duration(idlePart * float64(limit))
}

// errSilent says that an engine sent nothing for too long.
var errSilent = errors.New("the engine sent nothing for too long")

// lossOf tells the placer how a broken attempt ended.
func (h *Handler) lossOf(ctx context.Context, rq *request, err error) placement.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errSilent), errors.Is(context.Cause(ctx), errIdleHold):
		return placement.Stalled
	case rq.r.Context().Err() != nil || ctx.Err() != nil:
		return placement.Abandoned
	case errors.Is(err, errNotSent):
		return placement.Unreached
	case errors.Is(err, errNotAnswer):
		return placement.Failed
	}
	return placement.Lost
}

// notStream handles an answer that is not a stream of events.
func (h *Handler) notStream(ctx context.Context, rq *request, res *http.Response, reply Reply, s *streamState) streamEnd {
	end := streamEnd{outcome: placement.Failed, status: res.StatusCode, notRun: reply.NotRun, err: errNotAnswer}
	if reply.NotRun {
		end.outcome, end.err = placement.Refused, errRefused
		return end
	}
	body, err := readAnswer(res)
	if err != nil {
		end.outcome, end.err = h.lossOf(ctx, rq, err), err
		return end
	}
	if reply.Signed && !s.begun {
		end.answer = &wholeAnswer{status: res.StatusCode, header: res.Header, reply: reply, body: body}
	}
	return end
}

// pass writes one event to the caller, after the header of the first engine.
func (h *Handler) pass(rq *request, res *http.Response, e event, s *streamState) error {
	if !s.begun {
		h.writeHeader(rq, res.Header).Del("Content-Length")
		rq.story.status = res.StatusCode
		rq.story.first = time.Since(rq.arrived)
		rq.w.WriteHeader(res.StatusCode)
		s.begun = true
	}
	if _, err := rq.w.Write(e.raw); err != nil {
		return err
	}
	s.events++
	if e.id != "" {
		s.last = e.id
	}
	return http.NewResponseController(rq.w).Flush()
}
