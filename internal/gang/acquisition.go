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

// Names of charts/reservation.yaml.
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
	// firstPause and longestPause bound the pause between two tries for
	// memory on one engine.
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// holdTime is how long parts are held while another is waited for.
	holdTime = 10 * time.Second
)

// acquisition is the reservation of all parts of one prompt.
type acquisition struct {
	acquirer *Acquirer
	prefix   string
	shares   []Share
	deadline time.Time

	// round counts the starts; it makes the names of each start unique.
	round int
	// held lists the parts that are held or may be held; the last one is
	// being reserved.
	held  []Reservation
	pause time.Duration
	// giveUp is when the parts held are given up.
	giveUp time.Time
	err    error
}

// do takes an action of the chart and returns the event that follows.
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
		if !sleep.For(ctx, q.acquirer.jitter(longestPause)) {
			q.err = context.Cause(ctx)
			return eventCancelled
		}
	case actionRelease:
		q.release(ctx)
	}
	return eventReleased
}

// startOver begins with the first part under new names.
func (q *acquisition) startOver(ctx context.Context) chart.Event {
	q.round++
	return q.reserveNext(ctx)
}

// reserveNext begins the reservation of the next part.
func (q *acquisition) reserveNext(ctx context.Context) chart.Event {
	i := len(q.held)
	q.held = append(q.held, Reservation{
		Share: q.shares[i],
		Name:  fmt.Sprintf("%s-%d-%d", q.prefix, q.round, i),
	})
	q.pause = firstPause
	q.giveUp = time.Now().Add(holdTime)
	return q.reserve(ctx)
}

// reserve asks the engine of the last part for memory.
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

// wait pauses before the next try, or gives up the parts held.
func (q *acquisition) wait(ctx context.Context) chart.Event {
	if len(q.held) > 1 && time.Now().After(q.giveUp) {
		return eventHoldOver
	}
	if !sleep.For(ctx, q.acquirer.jitter(q.pause)) {
		q.err = context.Cause(ctx)
		return eventCancelled
	}
	q.pause = min(2*q.pause, longestPause)
	return eventTryAgain
}

// release frees all parts that are or may be held.
func (q *acquisition) release(ctx context.Context) {
	q.acquirer.Release(ctx, q.held)
	q.held = nil
}
