package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
)

// objectPrefix starts the object key of each stored answer.
const objectPrefix = "answer/"

// Claim is the right to send one request. Its holder ends it with exactly one
// of Finish, ReleaseNotRun and FinishUnknown. It is not safe for concurrent use.
type Claim struct {
	ledger   *Ledger
	key      string
	version  platform.Version
	deadline time.Time
	record   record
	ended    bool
}

// CheckSend must be called immediately before each send. It needs no write,
// because a claim is never taken over; it refuses a send after the request's
// deadline, for instance by a holder whose process was paused.
func (c *Claim) CheckSend(ctx context.Context) *result.Error {
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return result.New(result.ClaimLost, "the request's time ended before it was sent")
	}
	return nil
}

// Finish stores the whole answer for repeats. While the store is unavailable,
// the answer waits in memory and Run stores it later; that is not an error.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	rec := c.record
	rec.Answer = &answer
	return c.end(ctx, eventFinish, rec)
}

// ReleaseNotRun releases the key after proof that the request did not run; a repeat may
// run it.
func (c *Claim) ReleaseNotRun(ctx context.Context) error {
	return c.end(ctx, eventRefuse, c.record)
}

// FinishUnknown records that the request was sent and its outcome is not known; no
// repeat will run it.
func (c *Claim) FinishUnknown(ctx context.Context) error {
	return c.end(ctx, eventLose, c.record)
}

// end writes the final state of the claim: now, or in the background if that fails
// or ctx ends first.
func (c *Claim) end(ctx context.Context, event chart.Event, rec record) error {
	if c.ended {
		return trace.AlreadyExists("claim %s has already ended", rec.ClaimID)
	}
	c.ended = true
	o := &outcome{claim: c, from: stateClaimed, version: c.version, event: event, record: rec}
	done := make(chan struct{})
	c.ledger.settler.inProgress.Add(1)
	go panics.Run(log.WithField("claim", rec.ClaimID), func() {
		defer close(done)
		defer c.ledger.settler.inProgress.Add(-1)
		c.ledger.settler.settle(context.WithoutCancel(ctx), o)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return nil
}

// store moves a large answer to the object store and replaces it by its object key.
func (l *Ledger) store(ctx context.Context, rec *record) error {
	if rec.Answer == nil || len(rec.Answer.Body) <= l.options.InlineBytes {
		return nil
	}
	data, err := cbor.Marshal(rec.Answer)
	if err != nil {
		return trace.Wrap(err)
	}
	key := objectPrefix + rec.ClaimID
	if err := l.objects.PutObject(ctx, key, data); err != nil {
		return trace.Wrap(err)
	}
	rec.Answer = nil
	rec.ObjectKey = key
	return nil
}
