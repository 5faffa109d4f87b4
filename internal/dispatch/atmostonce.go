package dispatch

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/result"
)

// claimedCall is a call that is sent only under a claim of its key.
type claimedCall struct {
	d    *Dispatcher
	call *ServiceCall
	// claim is nil until the key is claimed, right before the first send.
	claim *ledger.Claim
	// replayed says that a repeat won the race for the key and has its answer.
	replayed bool
}

// AtMostOnce calls a service under a claim of the ledger. Once the call was
// sent, it runs to its end even if the caller leaves, so that a repeat gets the
// stored answer.
func (d *Dispatcher) AtMostOnce(ctx context.Context, call *ServiceCall) (*Answer, *result.Error) {
	bounded, cancel := context.WithDeadline(ctx, call.Route.Deadline)
	defer cancel()
	call.Route.NonIdempotent = true
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

// replay returns a stored answer.
func replay(a *ledger.Answer) *Answer {
	return &Answer{Status: a.Status, Header: a.Header, Body: a.Body, Replayed: true}
}

// run sends the call at most once. An upstream that proves that it did not run
// the call lets another one have it.
func (c *claimedCall) run(ctx context.Context) (*Answer, *result.Error) {
	for {
		answer, err := c.try(ctx)
		switch {
		case err == nil && c.replayed:
			return answer, nil
		case err == nil:
			c.settle(ctx, func(ctx context.Context) error { return c.claim.Finish(ctx, stored(answer)) })
			return answer, nil
		case c.claim == nil:
			return nil, err
		case err.Execution != result.NotRun:
			c.settle(ctx, c.claim.Unknown)
			return nil, err
		case !c.mayRetry(err):
			c.settle(ctx, c.claim.NotRun)
			return nil, err
		}
	}
}

// try makes one attempt. Before the key is claimed the call ends with its
// caller; afterwards it goes on alone.
func (c *claimedCall) try(ctx context.Context) (*Answer, *result.Error) {
	if c.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.call.Route.Deadline)
	defer cancel()
	return c.d.tryOnce(ctx, c.call, func() (*Answer, *result.Error) { return c.hold(ctx) })
}

// hold claims the key if it is not held yet, and checks that the call may be
// sent now. It returns the answer or the error of a repeat that came first.
func (c *claimedCall) hold(ctx context.Context) (*Answer, *result.Error) {
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
	return nil, c.claim.MarkSending(context.WithoutCancel(ctx))
}

// mayRetry states whether another upstream may have the call.
func (c *claimedCall) mayRetry(err *result.Error) bool {
	inTime := time.Now().Before(c.call.Route.Deadline)
	return inTime && isAttemptError(err) && c.d.opts.Scheduler.MayRetry(&c.call.Route, result.NotRun) == nil
}

// settle ends the claim. The ledger goes on trying in the background where the
// store does not answer.
func (c *claimedCall) settle(ctx context.Context, end func(context.Context) error) {
	if err := end(context.WithoutCancel(ctx)); err != nil {
		c.d.log.Warnf("claim not settled yet: %v", err)
	}
}

func stored(a *Answer) ledger.Answer {
	return ledger.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
}
