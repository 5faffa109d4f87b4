package dispatch

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/result"
)

// claimedCall is a call that is sent only while its idempotency key is claimed.
type claimedCall struct {
	d    *Dispatcher
	call *ServiceCall
	// claim is nil until the key is claimed, just before the first send.
	claim *ledger.Claim
	// replayed reports whether another call claimed the key first, so that its
	// stored answer is returned.
	replayed bool
}

// AtMostOnce calls a service under a claim of the call's idempotency key. Once the
// call is sent, it runs to its end even if the caller leaves, so that a repeat
// gets the stored answer.
func (d *Dispatcher) AtMostOnce(ctx context.Context, call *ServiceCall) (*Answer, *result.Error) {
	bounded, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	call.Request.NonIdempotent = true
	stored, err := d.opts.Claims.Lookup(bounded, call.Claim)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return replay(stored), nil
	}
	type outcome struct {
		answer *Answer
		err    *result.Error
	}
	done := make(chan outcome, 1)
	d.background.Go(func() {
		c := &claimedCall{d: d, call: call}
		defer panics.Recover(log.WithField("request", call.ID), func() { done <- outcome{err: c.abandon(ctx)} })
		answer, err := c.run(ctx)
		done <- outcome{answer, err}
	})
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return nil, result.New(result.CallerGone, "the caller closed the connection")
	}
}

// replay returns a stored answer as a replayed one.
func replay(a *ledger.Answer) *Answer {
	return &Answer{Status: a.Status, Header: a.Header, Body: a.Body, Replayed: true}
}

// run makes attempts until one has run or may have run, so that the call runs at
// most once. It retries only after an upstream proved that it did not run the
// call.
func (c *claimedCall) run(ctx context.Context) (*Answer, *result.Error) {
	for {
		answer, err := c.try(ctx)
		switch {
		case err == nil && c.replayed:
			return answer, nil
		case err == nil:
			c.settle(ctx, func(ctx context.Context) error { return c.claim.Finish(ctx, toLedger(answer)) })
			return answer, nil
		case c.claim == nil:
			return nil, err
		case err.Execution != result.NotRun:
			c.settle(ctx, c.claim.FinishUnknown)
			return nil, err
		case !c.mayRetry(err):
			c.settle(ctx, c.claim.ReleaseNotRun)
			return nil, err
		}
	}
}

// abandon ends a call that panicked: once its key is claimed, it may have run.
func (c *claimedCall) abandon(ctx context.Context) *result.Error {
	err := result.New(result.Internal, "internal error")
	if c.claim == nil {
		return err.WithExecution(result.NotRun)
	}
	c.settle(ctx, c.claim.FinishUnknown)
	return err
}

// try makes one attempt. Until the key is claimed, the attempt is cancelled when
// the caller leaves; afterwards it continues without the caller.
func (c *claimedCall) try(ctx context.Context) (*Answer, *result.Error) {
	if c.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.call.Request.Deadline)
	defer cancel()
	return c.d.tryOnce(ctx, c.call, func() (*Answer, *result.Error) { return c.claimKey(ctx) })
}

// claimKey claims the key unless an earlier attempt did so, and marks the call as
// being sent, which fails after the deadline. If another call claimed the key
// first, it returns the stored answer or the error of that call.
func (c *claimedCall) claimKey(ctx context.Context) (*Answer, *result.Error) {
	if c.claim == nil {
		claim, stored, err := c.d.opts.Claims.Begin(ctx, c.call.Claim)
		if err != nil {
			return nil, err
		}
		if stored != nil {
			c.replayed = true
			return replay(stored), nil
		}
		c.claim = claim
	}
	return nil, c.claim.CheckSend(context.WithoutCancel(ctx))
}

// mayRetry reports whether the call may be sent to another upstream.
func (c *claimedCall) mayRetry(err *result.Error) bool {
	inTime := time.Now().Before(c.call.Request.Deadline)
	return inTime && isAttemptError(err) && c.d.opts.Scheduler.MayRetry(&c.call.Request, result.NotRun) == nil
}

// settle records the end of the claim. If the store does not answer, the ledger
// retries in the background.
func (c *claimedCall) settle(ctx context.Context, end func(context.Context) error) {
	if err := end(context.WithoutCancel(ctx)); err != nil {
		log.Warnf("claim not settled yet, retrying in the background: %v", err)
	}
}

// toLedger returns the answer in the form in which the ledger stores it.
func toLedger(a *Answer) ledger.Answer {
	return ledger.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
}
