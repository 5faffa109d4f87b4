package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// ID identifies the call on upstreams; see Dispatcher.NewRequestID.
	ID     string
	Method string
	// Path is the path and query relative to the service.
	Path   string
	Header http.Header
	Body   []byte
	// NoSilenceTimeout reports whether an attempt may last until the deadline.
	// Without it, an attempt of an idempotent call is cancelled much earlier; see
	// serviceSilenceFactor. A generation that is not streamed needs it, because
	// its upstream sends nothing until the answer is complete.
	NoSilenceTimeout bool
	// Request describes the call to the scheduler.
	Request admit.Request
	// Claim identifies a call that must run at most once.
	Claim ledger.Request
}

// Answer is a complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed reports whether the answer was stored by an earlier call with the
	// same idempotency key.
	Replayed bool
}

// Idempotent calls a service and may retry the call on another upstream.
func (d *Dispatcher) Idempotent(ctx context.Context, call *ServiceCall) (*Answer, *result.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	ran := result.NotRun
	for {
		answer, err := d.tryOnce(ctx, call, nil)
		if err == nil {
			return answer, nil
		}
		ran = combine(ran, err.Execution)
		if ctx.Err() != nil || !isAttemptError(err) {
			return nil, d.contextError(ctx, err).WithExecution(ran)
		}
		if refused := d.opts.Scheduler.MayRetry(&call.Request, ran); refused != nil {
			return nil, err.WithExecution(ran)
		}
	}
}

// isAttemptError reports whether the error concerns one attempt only, so that an
// attempt on another upstream may succeed.
func isAttemptError(err *result.Error) bool {
	switch err.Code {
	case result.UpstreamLost, result.UpstreamRefused, result.Stalled:
		return true
	}
	return false
}

// contextError returns err, or, if ctx has ended, the error of a call whose deadline
// passed or whose caller left.
func (d *Dispatcher) contextError(ctx context.Context, err *result.Error) *result.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(err, result.DeadlineExceeded, "the call did not finish within its time")
	case ctx.Err() != nil:
		return result.Wrap(err, result.CallerGone, "the caller closed the connection")
	}
	return err
}

// tryOnce makes one attempt on one upstream. The execution of its error is NotRun
// only if that is proved. claim, if set, is called just before the send; if it
// returns an answer or an error, the attempt ends with this result.
func (d *Dispatcher) tryOnce(ctx context.Context, call *ServiceCall, claim func() (*Answer, *result.Error)) (*Answer, *result.Error) {
	call.Request.Attempt++
	grant, rerr := d.opts.Scheduler.Acquire(ctx, &call.Request)
	if rerr != nil {
		return nil, rerr
	}
	defer grant.Done(admit.Cancelled) // has an effect only if the attempt panics
	up := grant.Upstream()
	if claim != nil {
		if answer, rerr := claim(); answer != nil || rerr != nil {
			grant.Done(admit.Cancelled)
			return answer, rerr
		}
		ctx = context.WithoutCancel(ctx)
	}
	call.Request.Avoid = append(call.Request.Avoid, up.ID)
	grant.Sent()
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	answer, outcome, err := d.exchange(ctx, up, call, claim != nil)
	grant.Done(outcome)
	return answer, err
}

// exchange sends the call and reads the complete answer. An attempt of an
// idempotent call is cancelled after serviceSilenceFactor times the silence
// timeout, unless the call has NoSilenceTimeout, so that another upstream can
// answer before the deadline. claimed reports whether the call runs under a claim.
func (d *Dispatcher) exchange(ctx context.Context, up admit.Upstream, call *ServiceCall, claimed bool) (*Answer, admit.Outcome, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !claimed && !call.NoSilenceTimeout {
		watchdog := panics.AfterFunc(log.WithField("request", call.ID), serviceSilenceFactor*d.opts.SilenceTimeout, cancel)
		defer watchdog.Stop()
	}
	res, err := d.opts.Upstreams.Do(ctx, serviceCall(up, call))
	if err != nil {
		return nil, sendOutcome(err), sendError(err)
	}
	defer res.Body.Close()
	if isRefusal(res) {
		return nil, admit.RefusedNotRun, result.New(result.UpstreamRefused, "upstream %s refused with status %d", up.ID, res.StatusCode)
	}
	buffer := bodies.NewBuffer(d.answers)
	defer buffer.Free()
	err = buffer.Fill(ctx, res.Body, d.opts.MaxAnswerBytes)
	switch {
	case errors.Is(err, bodies.ErrTooLong):
		return nil, admit.Failed, result.New(result.UpstreamFailed, "the answer is over %d bytes", d.opts.MaxAnswerBytes)
	case errors.Is(err, bodies.ErrNoRoom):
		return nil, admit.Failed, result.Wrap(err, result.UpstreamFailed, "the answer could not be read")
	case err != nil:
		return nil, admit.Lost, result.Wrap(err, result.UpstreamLost, "the answer of upstream %s broke off", up.ID)
	}
	answer := &Answer{Status: res.StatusCode, Header: res.Header, Body: buffer.Bytes()}
	if !claimed && res.StatusCode >= http.StatusInternalServerError {
		return nil, admit.Lost, result.New(result.UpstreamLost, "upstream %s answered status %d", up.ID, res.StatusCode)
	}
	return answer, admit.Completed, nil
}

// serviceSilenceFactor times the silence timeout is the timeout of one attempt of
// an idempotent call.
const serviceSilenceFactor = 2

// sendOutcome returns the outcome of an attempt whose send failed: Unreached if
// nothing was sent, otherwise Lost.
func sendOutcome(err error) admit.Outcome {
	if errors.Is(err, upstream.ErrNotSent) {
		return admit.Unreached
	}
	return admit.Lost
}

// sendError returns the error of an attempt whose send failed, which reports
// whether the call may have run.
func sendError(err error) *result.Error {
	if errors.Is(err, upstream.ErrNotSent) {
		return result.Wrap(err, result.UpstreamLost, "the upstream could not be reached").WithExecution(result.NotRun)
	}
	return result.Wrap(err, result.UpstreamLost, "the upstream was lost after the call was sent")
}

// serviceCall returns the HTTP call to one upstream.
func serviceCall(up admit.Upstream, call *ServiceCall) upstream.Call {
	header := call.Header.Clone()
	header.Set(upstream.HeaderRequestID, call.ID)
	header.Set(upstream.HeaderDeadline, remainingMs(call.Request.Deadline))
	c := upstream.Call{Method: call.Method, URL: fmt.Sprintf("%s%s", up.URL, call.Path), Header: header}
	if len(call.Body) > 0 {
		c.Body = [][]byte{call.Body}
	}
	return c
}
