package gang

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// States, events and actions of charts/reservation.yaml.
const (
	stateHeld chart.State = "held"
	stateNone chart.State = "none"

	eventGranted    chart.Event = "granted"
	eventAllGranted chart.Event = "all-granted"
	eventNoMemory   chart.Event = "no-memory"
	eventTryAgain   chart.Event = "try-again"
	eventHoldOver   chart.Event = "hold-over"
	eventFailed     chart.Event = "failed"
	eventCancelled  chart.Event = "cancelled"
	eventReleased   chart.Event = "released"

	actionReserve         chart.Action = "reserve"
	actionReserveNext     chart.Action = "reserve-next"
	actionPause           chart.Action = "pause"
	actionRelease         chart.Action = "release"
	actionReleaseAndPause chart.Action = "release-and-pause"
	actionStartOver       chart.Action = "start-over"
)

// Times of an acquisition.
const (
	// minRetryPause is the first pause between two attempts to reserve memory on
	// one engine; it doubles with each attempt up to maxRetryPause.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// holdTimeout is how long reserved parts are held while the acquisition
	// waits for the next one.
	holdTimeout = 10 * time.Second
)

// acquisition is the reservation of all parts of one prompt.
type acquisition struct {
	acquirer *Acquirer
	prefix   string
	shares   []Share
	deadline time.Time

	// round counts the starts with the first part; it makes the names of the
	// reservations of each start unique.
	round int
	// held lists the reservations that exist or may exist; the last one is
	// being made.
	held []Reservation
	// pause is the next pause before another attempt for the last part.
	pause time.Duration
	// holdUntil is when the parts before the last are released if the last is
	// not reserved by then.
	holdUntil time.Time
	// err is the error of a failed acquisition.
	err error
}

// do performs an action of the chart and returns the event that follows.
func (q *acquisition) do(ctx context.Context, action chart.Action) chart.Event {
	switch action {
	case actionReserve:
		return q.reserve(ctx)
	case actionReserveNext:
		return q.reserveNext(ctx)
	case actionPause:
		return q.wait(ctx)
	case actionStartOver:
		return q.startOver(ctx)
	case actionReleaseAndPause:
		q.release(ctx)
		if !sleep.For(ctx, q.acquirer.jitter(maxRetryPause)) {
			q.err = context.Cause(ctx)
			return eventCancelled
		}
	case actionRelease:
		q.release(ctx)
	}
	return eventReleased
}

// startOver begins again with the first part, under new names.
func (q *acquisition) startOver(ctx context.Context) chart.Event {
	q.round++
	return q.reserveNext(ctx)
}

// reserveNext adds the next part to held and reserves it.
func (q *acquisition) reserveNext(ctx context.Context) chart.Event {
	i := len(q.held)
	q.held = append(q.held, Reservation{
		Share: q.shares[i],
		Name:  fmt.Sprintf("%s-%d-%d", q.prefix, q.round, i),
	})
	q.pause = minRetryPause
	q.holdUntil = time.Now().Add(holdTimeout)
	return q.reserve(ctx)
}

// reserve makes one attempt to reserve the last part of held on its engine.
func (q *acquisition) reserve(ctx context.Context) chart.Event {
	r := q.held[len(q.held)-1]
	request := upstream.ReserveRequest{Name: r.Name, Tokens: r.Tokens, DeadlineUnixMs: q.deadline.UnixMilli()}
	err := q.acquirer.reserver.Reserve(ctx, r.UpstreamID, request)
	switch {
	case err == nil && len(q.held) == len(q.shares):
		return eventAllGranted
	case err == nil:
		return eventGranted
	case ctx.Err() != nil:
		q.err = context.Cause(ctx)
		return eventCancelled
	case errors.Is(err, ErrNoMemory):
		return eventNoMemory
	}
	q.err = &EngineError{UpstreamID: r.UpstreamID, Cause: err}
	return eventFailed
}

// wait pauses before the next attempt. It returns eventHoldOver instead if other
// parts have been held for holdTimeout.
func (q *acquisition) wait(ctx context.Context) chart.Event {
	if len(q.held) > 1 && time.Now().After(q.holdUntil) {
		return eventHoldOver
	}
	if !sleep.For(ctx, q.acquirer.jitter(q.pause)) {
		q.err = context.Cause(ctx)
		return eventCancelled
	}
	q.pause = min(2*q.pause, maxRetryPause)
	return eventTryAgain
}

// release releases all reservations that exist or may exist.
func (q *acquisition) release(ctx context.Context) {
	q.acquirer.Release(ctx, q.held)
	q.held = nil
}
