package passthrough

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// maxAnswerBytes bounds an answer that is buffered before it is sent to the caller.
const maxAnswerBytes = 16 << 20

// serveBuffered serves a request whose answer is buffered before it is sent to the
// caller, so that an incomplete answer can be replaced if the route allows it.
func (h *Handler) serveBuffered(ctx context.Context, rq *request) *result.Error {
	for {
		a, refused := h.place(ctx, rq, "")
		if refused != nil {
			return h.placementFailure(ctx, rq, refused)
		}
		answer := h.attemptBuffered(ctx, rq, a)
		if answer.err == nil && !answer.retryable(rq) {
			return h.deliver(rq, answer)
		}
		if !answer.retryable(rq) || !h.mayRetry(ctx, rq, answer.err, !answer.notRun) || rq.triedAll(h.opts.State.View()) {
			if answer.err == nil && !answer.reply.NotRun {
				return h.deliver(rq, answer)
			}
			return h.failure(ctx, rq, answer.err, answer.notRun)
		}
	}
}

// bufferedAnswer is the result of one attempt.
type bufferedAnswer struct {
	status int
	header http.Header
	reply  UpstreamReply
	body   *bodies.Buffer
	// err is set if there is no complete answer.
	err error
	// notRun reports whether the upstream provably did not run the request.
	notRun bool
}

// retryable reports whether the attempt failed and the request may be sent to another
// upstream.
func (a *bufferedAnswer) retryable(rq *request) bool {
	if a.notRun {
		return true
	}
	failed := a.err != nil || a.status >= http.StatusInternalServerError
	return failed && rq.route.Kind == deployment.Idempotent
}

// errRefused is returned if the upstream refused the request before it ran it.
var errRefused = errors.New("upstream refused the request")

// attemptBuffered makes one attempt.
func (h *Handler) attemptBuffered(ctx context.Context, rq *request, a *attempt) *bufferedAnswer {
	defer a.release()
	attemptCtx := ctx
	if limit := rq.attemptTimeout(); limit > 0 {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeoutCause(ctx, limit, errStalled)
		defer cancel()
	}
	res, reply, err := h.send(attemptCtx, rq, a)
	answer := &bufferedAnswer{reply: reply, err: err, notRun: errors.Is(err, errNotSent)}
	if err == nil {
		answer.status, answer.header = res.StatusCode, res.Header
		answer.body, answer.err = h.readAnswer(attemptCtx, rq, res)
		answer.notRun = reply.NotRun
		if reply.NotRun {
			answer.err = errRefused
		} else if answer.err == nil && !reply.Signed {
			answer.err = errNotAnswer
		}
	}
	outcome := outcomeOf(attemptCtx, rq, answer)
	h.ended(rq, a.job, outcome)
	rq.record.ended(rq.service, outcome, answer.status)
	return answer
}

// attemptTimeout returns the timeout of an attempt that may be retried, so that an
// upstream that hangs leaves time for another; 0 is none.
func (rq *request) attemptTimeout() time.Duration {
	if rq.route.Kind != deployment.Idempotent || len(rq.mayHaveRun)+1 >= rq.route.MaxAttempts {
		return 0
	}
	return time.Until(rq.deadline) / 2
}

// readAnswer reads the whole body, up to maxAnswerBytes. It is held until the next answer to the
// request is read, or the request ends.
func (h *Handler) readAnswer(ctx context.Context, rq *request, res *http.Response) (*bodies.Buffer, error) {
	defer res.Body.Close()
	rq.answer.Free()
	err := rq.answer.Fill(ctx, res.Body, maxAnswerBytes)
	if errors.Is(err, bodies.ErrTooLong) || errors.Is(err, bodies.ErrNoRoom) {
		err = fmt.Errorf("%w: %w", errNotAnswer, err)
	}
	return rq.answer, err
}

// outcomeOf returns the outcome of an attempt with the context ctx.
func outcomeOf(ctx context.Context, rq *request, a *bufferedAnswer) placement.Outcome {
	switch {
	case errors.Is(a.err, errRefused):
		return placement.Refused
	case a.err != nil:
		return outcomeOfError(ctx, rq, a.err)
	case a.status >= http.StatusInternalServerError:
		return placement.Failed
	}
	return placement.Completed
}

// writeHeader sets the header of the caller's answer to the upstream's and returns it.
// A Connection header that was set for the caller's connection is preserved.
func (h *Handler) writeHeader(rq *request, upstream http.Header) http.Header {
	header := rq.w.Header()
	closing := header.Get("Connection")
	h.opts.Codec.WriteReply(header, upstream)
	if closing != "" {
		header.Set("Connection", closing)
	}
	return header
}

// deliver sends the upstream's answer unchanged to the caller.
func (h *Handler) deliver(rq *request, a *bufferedAnswer) *result.Error {
	header := h.writeHeader(rq, a.header)
	if rq.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(a.body.Len()))
	}
	rq.record.status = a.status
	rq.w.WriteHeader(a.status)
	if _, err := a.body.WriteTo(rq.w); err != nil {
		return result.Wrap(err, result.CallerGone, "the answer could not be written")
	}
	return nil
}

// placementFailure returns the result of a request that could not be placed, or not
// placed again.
func (h *Handler) placementFailure(ctx context.Context, rq *request, refused *result.Error) *result.Error {
	if len(rq.mayHaveRun) > 0 {
		return h.failure(ctx, rq, refused, false)
	}
	if ctx.Err() != nil {
		return h.failure(ctx, rq, ctx.Err(), true)
	}
	return refused
}

// failure returns the result of a request that got no answer. notRun is whether the
// last attempt provably did not run; earlier attempts are taken into account too.
func (h *Handler) failure(ctx context.Context, rq *request, cause error, notRun bool) *result.Error {
	notRun = notRun && len(rq.mayHaveRun) == 0
	switch {
	case errors.Is(rq.r.Context().Err(), context.Canceled):
		return result.Wrap(cause, result.CallerGone, "the caller left")
	case notRun && h.opts.Ending.Err() != nil:
		return noTimeLeft()
	case notRun:
		return result.Wrap(cause, result.UpstreamRefused, "the upstreams that were tried did not run the request").WithRetryAfter(transientRetryAfter)
	case h.opts.Ending.Err() != nil:
		return result.Wrap(cause, result.Draining, "the instance ended before the answer was complete").WithExecution(result.MayHaveRun)
	case ctx.Err() != nil:
		return result.Wrap(cause, result.DeadlineExceeded, "the request did not finish within its time")
	}
	return result.Wrap(cause, result.UpstreamLost, "the upstream was lost after the request had been sent")
}
