package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// maxAnswer bounds an answer that is read whole before it is passed on.
const maxAnswer = 16 << 20

// whole serves a request whose answer is passed on in one piece, so that an
// answer that breaks off can be replaced where the route allows it.
func (h *Handler) whole(ctx context.Context, rq *request) *result.Error {
	for {
		a, refused := h.place(ctx, rq, "")
		if refused != nil {
			return h.outOfPlaces(ctx, rq, refused)
		}
		answer := h.tryWhole(ctx, rq, a)
		if answer.err == nil && !answer.retryable(rq) {
			return h.deliver(rq, answer)
		}
		if !answer.retryable(rq) || !h.mayRetry(ctx, rq, !answer.notRun) || rq.triedAll(h.opts.State.View()) {
			if answer.err == nil && !answer.reply.NotRun {
				return h.deliver(rq, answer)
			}
			return h.ended(ctx, rq, answer.err, answer.notRun)
		}
	}
}

// wholeAnswer is what one attempt brought.
type wholeAnswer struct {
	status int
	header http.Header
	reply  Reply
	body   []byte
	// err says why there is no whole answer.
	err error
	// notRun proves that the upstream did not run the request.
	notRun bool
}

// retryable states whether another upstream may do better and may be asked.
func (a *wholeAnswer) retryable(rq *request) bool {
	if a.notRun {
		return true
	}
	failed := a.err != nil || a.status >= http.StatusInternalServerError
	return failed && rq.route.Kind == deployment.Idempotent
}

// errRefused says that the upstream refused before it ran the request.
var errRefused = errors.New("the upstream refused the request")

// tryWhole makes one attempt.
func (h *Handler) tryWhole(ctx context.Context, rq *request, a *attempt) *wholeAnswer {
	attemptCtx := ctx
	if limit := rq.attemptLimit(); limit > 0 {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	res, reply, err := h.send(attemptCtx, rq, a)
	answer := &wholeAnswer{reply: reply, err: err, notRun: errors.Is(err, errNotSent)}
	if err == nil {
		answer.status, answer.header = res.StatusCode, res.Header
		answer.body, answer.err = readAnswer(res)
		answer.notRun = reply.NotRun
		if reply.NotRun {
			answer.err = errRefused
		} else if answer.err == nil && !reply.Signed {
			answer.err = errNotAnswer
		}
	}
	outcome := outcomeOf(ctx, answer)
	h.opts.Placer.Ended(rq.service, a.job, outcome)
	rq.story.ended(rq.service, outcome, answer.status)
	return answer
}

// attemptLimit bounds an attempt that may be repeated, so that an upstream that
// hangs leaves time for another.
func (rq *request) attemptLimit() time.Duration {
	if rq.route.Kind != deployment.Idempotent || rq.ran+1 >= rq.route.MaxAttempts {
		return 0
	}
	return time.Until(rq.deadline) / 2
}

func readAnswer(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errNotAnswer
	}
	return body, err
}

// outcomeOf tells the placer how the attempt ended.
func outcomeOf(ctx context.Context, a *wholeAnswer) placement.Outcome {
	switch {
	case a.err == nil && a.status < http.StatusInternalServerError:
		return placement.Completed
	case errors.Is(a.err, errRefused):
		return placement.Refused
	case ctx.Err() != nil:
		return placement.Abandoned
	case errors.Is(a.err, errNotSent):
		return placement.Unreached
	case errors.Is(a.err, context.DeadlineExceeded):
		return placement.Stalled
	}
	return placement.Failed
}

// writeHeader sets the caller's header to the upstream's, but for what concerns the
// caller's connection, and returns it.
func (h *Handler) writeHeader(rq *request, upstream http.Header) http.Header {
	header := rq.w.Header()
	closing := header.Get("Connection")
	h.opts.Codec.WriteReply(header, upstream)
	if closing != "" {
		header.Set("Connection", closing)
	}
	return header
}

// deliver passes the upstream's answer on unchanged.
func (h *Handler) deliver(rq *request, a *wholeAnswer) *result.Error {
	header := h.writeHeader(rq, a.header)
	if rq.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	rq.story.status = a.status
	rq.w.WriteHeader(a.status)
	if _, err := rq.w.Write(a.body); err != nil {
		return result.Wrap(err, result.CallerGone, "the answer could not be written")
	}
	return nil
}

// outOfPlaces ends a request for which no further place was found.
func (h *Handler) outOfPlaces(ctx context.Context, rq *request, refused *result.Error) *result.Error {
	if rq.ran > 0 {
		return h.ended(ctx, rq, refused, false)
	}
	if ctx.Err() != nil {
		return h.ended(ctx, rq, ctx.Err(), true)
	}
	return refused
}

// ended gives the result of a request that has no answer. notRun is about the
// last attempt; earlier ones count too.
func (h *Handler) ended(ctx context.Context, rq *request, cause error, notRun bool) *result.Error {
	notRun = notRun && rq.ran == 0
	switch {
	case errors.Is(rq.r.Context().Err(), context.Canceled):
		return result.Wrap(cause, result.CallerGone, "the caller left")
	case notRun:
		return result.Wrap(cause, result.UpstreamRefused, "the upstreams that were tried did not run the request").After(retrySoon)
	case ctx.Err() != nil:
		return result.Wrap(cause, result.DeadlineExceeded, "the request did not finish within its time")
	}
	return result.Wrap(cause, result.UpstreamLost, "the upstream was lost after the request had been sent")
}
