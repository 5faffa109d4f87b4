package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// Timeouts for a stream without data, after which it is taken to be stuck and resumed
// elsewhere. A stream that is moved is computed again, so moving one that is merely
// slow makes an overload worse.
const (
	// minStallTimeout is the minimum of the timeouts; callers give up after two seconds
	// at the earliest.
	minStallTimeout = 1700 * time.Millisecond
	// Before the first event the timeout is at least firstObjectiveFactor times the
	// objective and predictedFactor times the predicted time; callers wait for four
	// times the objective.
	firstObjectiveFactor = 2
	predictedFactor      = 3
	// Between events the timeout is at least pauseObjectiveFactor times the objective
	// for pauses; callers wait for eight times the objective.
	pauseObjectiveFactor = 5
)

// streamState is the state of a stream across attempts.
type streamState struct {
	// begun reports whether the header was sent to the caller.
	begun bool
	// contentType is that header's type.
	contentType string
	// lastEventID is the ID of the last relayed event.
	lastEventID string
	// events counts the relayed events.
	events int
	// next is the job to resume at, if the watchdog placed one before it cancelled the
	// current attempt.
	next *placedJob
}

// continues reports whether an answer of status 200 can be a part of the stream: it has the
// type of the answer that has begun it.
func (s *streamState) continues(res *http.Response) bool {
	return !s.begun || res.Header.Get("Content-Type") == s.contentType
}

// serveStream relays events as they arrive. If an engine is lost, the stream is resumed
// at another after the last complete event, if the route allows it.
func (h *Handler) serveStream(ctx context.Context, rq *request) *result.Error {
	var s streamState
	defer h.releaseNext(&s)
	for {
		a, refused := h.nextAttempt(ctx, rq, &s)
		if refused != nil {
			return h.placementFailure(ctx, rq, refused)
		}
		end := h.attemptStream(ctx, rq, a, &s)
		h.ended(rq, a.job, end.outcome)
		rq.record.ended(rq.service, end.outcome, end.status)
		switch {
		case end.outcome == placement.Completed:
			return nil
		case ctx.Err() != nil:
			return h.failure(ctx, rq, end.err, end.notRun)
		case end.answer != nil && !end.notRun && end.answer.status < http.StatusInternalServerError:
			return h.deliver(rq, end.answer)
		case s.next != nil:
			rq.lastMayHaveRun() // the watchdog has spent the retry budget
		case !end.notRun && !rq.route.Resumable,
			!h.mayRetry(ctx, rq, end.err, !end.notRun):
			if end.answer != nil && !end.notRun && !s.begun {
				return h.deliver(rq, end.answer)
			}
			return h.failure(ctx, rq, end.err, end.notRun)
		}
	}
}

// releaseNext ends a job that was placed for resuming and is not needed.
func (h *Handler) releaseNext(s *streamState) {
	if s.next != nil {
		h.opts.Placer.Ended(s.next.job.Service, s.next.job.ID, placement.End{Outcome: placement.Abandoned})
		s.next = nil
	}
}

// nextAttempt prepares the job that the watchdog has placed, or places a new one.
func (h *Handler) nextAttempt(ctx context.Context, rq *request, s *streamState) (*attempt, *result.Error) {
	if c := s.next; c != nil {
		s.next = nil
		if a, err := h.prepare(ctx, rq, *c, s.lastEventID); err == nil {
			return a, nil
		}
	}
	return h.place(ctx, rq, s.lastEventID)
}

// streamEnd is the result of one attempt of a stream.
type streamEnd struct {
	outcome placement.Outcome
	status  int
	err     error
	notRun  bool
	// answer is a complete answer that is not a stream, such as an engine's error.
	answer *bufferedAnswer
}

// attemptStream makes one attempt and relays its events.
func (h *Handler) attemptStream(ctx context.Context, rq *request, a *attempt, s *streamState) streamEnd {
	defer a.release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstTimeout := max(minStallTimeout, firstObjectiveFactor*rq.route.FirstAnswer, predictedFactor*a.decision.Expect)
	wd := h.newWatchdog(ctx, rq, firstTimeout, cancel)
	defer func() { s.next = wd.stop() }()
	if a.holds {
		idle := panics.AfterFunc(log, h.idleHoldTimeout(), func() { cancel(errIdleHold) })
		wd.onFirst = func() { idle.Stop() }
		defer idle.Stop()
	}
	res, reply, err := h.send(ctx, rq, a)
	if err != nil {
		return streamEnd{outcome: outcomeOfError(ctx, rq, err), err: err, notRun: errors.Is(err, errNotSent)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || !reply.Signed || !s.continues(res) {
		return h.notStream(ctx, rq, a, res, reply, s)
	}
	return h.relayEvents(ctx, rq, a, res, wd, s)
}

// relayEvents relays the events of one attempt's answer.
func (h *Handler) relayEvents(ctx context.Context, rq *request, a *attempt, res *http.Response, wd *watchdog, s *streamState) streamEnd {
	events := newEventReader(res.Body)
	// early holds what the engine sends before the first event. While it is not relayed, the
	// request can be sent to another engine or refused.
	var early []byte
	var answeredAt time.Time
	onTrial := len(a.decision.Trial) > 0
	pauseTimeout := max(minStallTimeout, pauseObjectiveFactor*rq.route.MaxPause)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && s.begun {
			return streamEnd{outcome: placement.Completed, status: res.StatusCode}
		}
		if err != nil {
			return streamEnd{outcome: outcomeOfError(ctx, rq, err), status: res.StatusCode, err: err}
		}
		if !e.data {
			if !s.begun {
				early = append(early, e.raw...)
			} else if err := h.relay(rq, res, e, s); err != nil {
				return streamEnd{outcome: placement.Abandoned, status: res.StatusCode, err: err}
			}
			if len(early) > maxEventBytes {
				return streamEnd{outcome: placement.Lost, status: res.StatusCode, err: errLongEvent}
			}
			continue
		}
		if len(early) > 0 {
			e.raw, early = append(early, e.raw...), nil
		}
		wd.reset(pauseTimeout)
		wd.first()
		rq.record.event(time.Now())
		rq.events++
		if answeredAt.IsZero() {
			h.opts.Placer.FirstAnswer(rq.service, a.job)
			answeredAt = time.Now()
		}
		if onTrial && time.Since(answeredAt) > poison.TrialTime {
			onTrial = false
			h.opts.Placer.TrialPassed(rq.service, a.job)
		}
		if err := h.relay(rq, res, e, s); err != nil {
			return streamEnd{outcome: placement.Abandoned, status: res.StatusCode, err: err}
		}
	}
}

// errIdleHold is the cause of a cancelled attempt whose reserved memory was unused for
// too long.
var errIdleHold = errors.New("reserved engine memory not used in time")

// Limits of reserved memory without a running request.
const (
	// idleHoldShare is the fraction of the allowed time after which the memory is
	// released, so that the release arrives in time.
	idleHoldShare = 0.7
	// defaultMaxIdleHold is the allowed time if the settings have none.
	defaultMaxIdleHold = 9 * time.Second
)

// idleHoldTimeout returns how long memory remains reserved without a first event.
func (h *Handler) idleHoldTimeout() time.Duration {
	limit := h.opts.MaxIdleHold()
	if limit <= 0 {
		limit = defaultMaxIdleHold
	}
	return time.Duration(idleHoldShare * float64(limit))
}

// errStalled is the cause of a cancelled attempt whose engine sent nothing for too long.
var errStalled = errors.New("engine sent nothing for too long")

// outcomeOfError returns the outcome of a failed attempt with the context ctx.
func outcomeOfError(ctx context.Context, rq *request, err error) placement.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errStalled), errors.Is(context.Cause(ctx), errIdleHold):
		return placement.Stalled
	case rq.r.Context().Err() != nil || ctx.Err() != nil, errors.Is(err, errLeft), errors.Is(err, sockets.ErrIsolated):
		return placement.Abandoned
	case errors.Is(err, errNotSent):
		return placement.Unreached
	case errors.Is(err, errNotAnswer):
		return placement.Failed
	}
	return placement.Lost
}

// notStream handles an answer that is not a stream of events.
func (h *Handler) notStream(ctx context.Context, rq *request, a *attempt, res *http.Response, reply UpstreamReply, s *streamState) streamEnd {
	end := streamEnd{outcome: placement.Failed, status: res.StatusCode, notRun: reply.NotRun, err: errNotAnswer}
	if reply.NotRun {
		end.outcome, end.err = placement.Refused, errRefused
		rq.blameHelper(a, reply.AtFault)
		return end
	}
	body, err := h.readAnswer(ctx, rq, res)
	if err != nil {
		end.outcome, end.err = outcomeOfError(ctx, rq, err), err
		return end
	}
	if reply.Signed && !s.begun {
		end.answer = &bufferedAnswer{status: res.StatusCode, header: res.Header, reply: reply, body: body}
	}
	return end
}

// relay writes one event to the caller, and before the first one the header of the
// first engine.
func (h *Handler) relay(rq *request, res *http.Response, e event, s *streamState) error {
	if !s.begun {
		h.writeHeader(rq, res.Header).Del("Content-Length")
		rq.record.status = res.StatusCode
		rq.record.first = time.Since(rq.arrived)
		rq.w.WriteHeader(res.StatusCode)
		s.begun, s.contentType = true, res.Header.Get("Content-Type")
	}
	if _, err := rq.w.Write(e.raw); err != nil {
		return err
	}
	s.events++
	if e.id != "" {
		s.lastEventID = e.id
	}
	return http.NewResponseController(rq.w).Flush()
}
