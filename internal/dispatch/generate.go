package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Events of charts/request.yaml.
const (
	eventAdmitted     chart.Event = "admitted"
	eventRefused      chart.Event = "refused"
	eventSent         chart.Event = "sent"
	eventNotRun       chart.Event = "refused-before-run"
	eventStarted      chart.Event = "answer-started"
	eventComplete     chart.Event = "answer-complete"
	eventLost         chart.Event = "upstream-lost"
	eventAnswerFailed chart.Event = "answer-failed"
	eventDeadline     chart.Event = "deadline"
	eventCallerLeft   chart.Event = "caller-left"
)

// Actions of charts/request.yaml.
const (
	actionChoose chart.Action = "choose"
	actionFollow chart.Action = "follow"
	actionDecide chart.Action = "decide-retry"
	actionCancel chart.Action = "cancel"
)

// Generation is one request to a model.
type Generation struct {
	// ID identifies the request on upstreams; see Dispatcher.NewRequestID.
	ID string
	// Path is the OpenAI path, for example "/v1/chat/completions".
	Path string
	// Body is the caller's body, changed to request a stream.
	Body Body
	// Continuable reports whether another engine can continue a partial answer if
	// it gets the text so far.
	Continuable bool
	// Request describes the request to the scheduler.
	Request admit.Request
}

// Sink receives the answer of a generation request in order, without gaps or
// duplicates. Its methods return an error if the caller has left.
type Sink interface {
	// Chunk is called with the JSON of one chunk.
	Chunk(data []byte) error
	// End is called at the end of a complete answer.
	End() error
}

// generation is the state of a generation request while it runs.
type generation struct {
	d       *Dispatcher
	req     *Generation
	sink    Sink
	machine *chart.Machine

	grant *admit.Grant
	// attempt counts the attempts and the connections that resume one.
	attempt int
	// follower relays the granted upstream's answer; nil between attempts.
	follower *follower
	// delivered is the position of the last chunk that the sink received.
	delivered uint64
	// text is the delivered text, for continuing on another engine.
	text []byte
	// finished reports whether a delivered chunk had a finish reason, so that only
	// the end marker is missing.
	finished bool
	// ran is what is known about execution so far.
	ran result.Execution
	// err is the latest error; the caller sees it if the request fails.
	err *result.Error
}

// Generate runs a request to its end. It returns nil if the sink received the
// complete answer, and the final error otherwise.
func (d *Dispatcher) Generate(ctx context.Context, req *Generation, sink Sink) *result.Error {
	ctx, cancel := context.WithDeadline(ctx, req.Request.Deadline)
	defer cancel()
	defer d.active.add(req.ID)()
	g := &generation{d: d, req: req, sink: sink, machine: d.lifecycle.NewMachine(), ran: result.NotRun}
	defer g.close()
	event := eventAdmitted
	for {
		actions, err := g.machine.Fire(event)
		if err != nil {
			return result.Wrap(err, result.Internal, "request state")
		}
		event = g.do(ctx, actions)
		if g.machine.Done() {
			return g.outcome()
		}
	}
}

// close ends what a request that panicked still holds; after any other end there is nothing.
func (g *generation) close() {
	if g.follower != nil {
		g.follower.close()
	}
	if g.grant != nil {
		g.grant.Done(admit.Cancelled)
	}
}

// do runs the actions of a transition and returns the next event.
func (g *generation) do(ctx context.Context, actions []chart.Action) chart.Event {
	var next chart.Event
	for _, action := range actions {
		switch action {
		case actionChoose:
			next = g.choose(ctx)
		case actionFollow:
			next = g.follow(ctx)
		case actionDecide:
			next = g.decideRetry(ctx)
		case actionCancel:
			g.cancelUpstream()
		}
	}
	return next
}

// outcome returns the final error in a final state, or nil for a complete answer.
func (g *generation) outcome() *result.Error {
	switch g.machine.State() {
	case "complete":
		return nil
	case "abandoned":
		return result.New(result.CallerGone, "the caller closed the connection").WithExecution(g.ran)
	default:
		return g.err.WithExecution(combine(g.ran, g.err.Execution))
	}
}

// combine returns what is known about execution after two attempts, a before b:
// that a request ran or may have run does not change with a later attempt.
func combine(a, b result.Execution) result.Execution {
	if a == result.NotRun {
		return b
	}
	return a
}

// choose acquires an upstream for the next attempt.
func (g *generation) choose(ctx context.Context) chart.Event {
	g.attempt++
	g.req.Request.Attempt = g.attempt
	grant, err := g.d.opts.Scheduler.Acquire(ctx, &g.req.Request)
	if err != nil {
		g.err = err
		return contextEvent(ctx, eventRefused)
	}
	g.grant = grant
	return eventSent
}

// contextEvent returns the event for a context that has ended, or fallback if it
// has not.
func contextEvent(ctx context.Context, fallback chart.Event) chart.Event {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return eventDeadline
	case ctx.Err() != nil:
		return eventCallerLeft
	}
	return fallback
}

// decideRetry returns eventAdmitted if another attempt is allowed, and the event
// that ends the request otherwise.
func (g *generation) decideRetry(ctx context.Context) chart.Event {
	if event := contextEvent(ctx, ""); event != "" {
		g.err = deadlineError()
		return event
	}
	if g.delivered > 0 && !g.req.Continuable {
		return eventRefused
	}
	if err := g.d.opts.Scheduler.MayRetry(&g.req.Request, g.ran); err != nil {
		if g.err == nil {
			g.err = err
		}
		return eventRefused
	}
	return eventAdmitted
}

// cancelUpstream queues the cancellation of the request on its current engine,
// which releases its memory there.
func (g *generation) cancelUpstream() {
	if g.grant == nil {
		return
	}
	g.d.cancels.add(cancellation{
		baseURL:   g.grant.Upstream().URL,
		requestID: g.req.ID,
		deadline:  g.req.Request.Deadline,
	})
}

// release ends the grant with an outcome. Unless the request completed, the next
// attempt avoids the upstream.
func (g *generation) release(outcome admit.Outcome) {
	g.grant.Done(outcome)
	if outcome != admit.Completed {
		g.req.Request.Avoid = append(g.req.Request.Avoid, g.grant.Upstream().ID)
	}
}

// call returns the HTTP call of the current attempt. With resume set, it resumes
// the stream on the same engine; otherwise it starts a stream, which continues
// the text delivered so far.
func (g *generation) call(resume bool) upstream.Call {
	up := g.grant.Upstream()
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(upstream.HeaderRequestID, g.req.ID)
	header.Set(upstream.HeaderAttempt, strconv.Itoa(g.attempt))
	header.Set(upstream.HeaderPriority, strconv.Itoa(g.grant.Priority()))
	header.Set(upstream.HeaderDeadline, remainingMs(g.req.Request.Deadline))
	header.Set(upstream.HeaderPromptTokens, strconv.Itoa(g.req.Request.PromptTokens))
	setIfPresent(header, upstream.HeaderPrefixBlocks, joinBlocks(g.req.Request.Blocks))
	setIfPresent(header, upstream.HeaderReservation, joinParts(g.grant.Parts()))
	body := g.req.Body.Sections("")
	position := strconv.FormatUint(g.delivered, 10)
	switch {
	case resume:
		header.Set(upstream.HeaderLastEventID, position)
	case g.delivered > 0:
		header.Set(upstream.HeaderContinueFrom, position)
		body = g.req.Body.Sections(string(g.text))
	}
	return upstream.Call{
		Method: http.MethodPost,
		URL:    up.URL + g.req.Path,
		Header: header,
		Body:   body,
	}
}

// setIfPresent sets a header unless value is empty.
func setIfPresent(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// deadlineError returns the error of a request whose deadline passed.
func deadlineError() *result.Error {
	return result.New(result.DeadlineExceeded, "the request did not finish within its time")
}
