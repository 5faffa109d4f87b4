package passthrough

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sockets"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

var log = logging.For("passthrough")

// Placer chooses upstreams. Package placement implements it.
type Placer interface {
	Place(ctx context.Context, j placement.Job) placement.Decision
	// FirstAnswer reports that the first token or the answer arrived.
	FirstAnswer(service, id string)
	// TrialPassed reports that a trial has been answered for poison.TrialTime.
	TrialPassed(service, id string)
	// LimitObserved reports what an answer of an upstream says of its limit.
	LimitObserved(up deployment.Upstream, l upstreamlimit.Limit)
	// Paused reports whether an upstream wants no requests now.
	Paused(up deployment.Upstream) bool
	// Withheld returns the upstreams to avoid if the decision's job must not be sent to an upstream
	// now; none if it may.
	Withheld(d placement.Decision, up deployment.Upstream) []string
	// Ended reports how the attempt ended; it must be called once for every placed job.
	Ended(service, id string, e placement.End)
}

// Options configures a Handler.
type Options struct {
	State  *deployment.State
	Codec  Codec
	Placer Placer
	// Signals is told what the answers of upstreams say of the upstreams themselves; it must
	// not block. Nil ignores it.
	Signals func(deployment.Upstream, deployment.Signals)
	// Dial opens connections to upstreams; nil selects a plain dialer.
	Dial sockets.DialFunc
	// Reserver reserves engine memory for prompts that several engines prefill.
	Reserver Reserver
	// Retries returns the retry budget in force.
	Retries func() RetryBudget
	// Instances returns the number of live instances.
	Instances func() int
	// MaxIdleHold returns how long reserved engine memory may stay unused until the first
	// event; a nil function, and zero, select a default.
	MaxIdleHold func() time.Duration
	// AwaitCurrent waits until the state is as new as the store if the process may have been
	// stopped for a time, and reports whether it is before ctx ends. Nil is always.
	AwaitCurrent func(ctx context.Context) bool
	// BodiesBytes bounds the bodies that are held at once; zero selects a default.
	BodiesBytes int64
	// Stop returns the graceful shutdown that has begun, or nil. A nil function is never.
	Stop func() *Stop
	// Ending ends when the requests that still run must end; nil is never.
	Ending context.Context
}

// Handler serves callers.
type Handler struct {
	opts      Options
	transport http.RoundTripper
	budgets   *retryBudgets
	requests  *requestLog
	bodies    *bodies.Budget
	durations durations
	// inStop counts the requests that have ended since a graceful shutdown began.
	inStop stopOutcomes
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.Signals == nil {
		o.Signals = func(deployment.Upstream, deployment.Signals) {}
	}
	if o.Stop == nil {
		o.Stop = func() *Stop { return nil }
	}
	if o.BodiesBytes <= 0 {
		o.BodiesBytes = defaultBodiesBytes
	}
	if o.MaxIdleHold == nil {
		o.MaxIdleHold = func() time.Duration { return 0 }
	}
	if o.AwaitCurrent == nil {
		o.AwaitCurrent = func(context.Context) bool { return true }
	}
	if o.Ending == nil {
		o.Ending = context.Background()
	}
	return &Handler{
		opts:      o,
		transport: newTransport(o.Dial),
		budgets:   newRetryBudgets(o.Retries, o.Instances),
		requests:  newRequestLog(),
		bodies:    bodies.NewBudget(o.BodiesBytes),
	}
}

// request is one caller's request in flight.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	arrived   time.Time
	deadline  time.Time
	view      *deployment.View
	call      CallerInfo
	route     *deployment.Route
	service   string
	workspace string
	// priority is that of the workspace or else of the route; 0 is the most urgent.
	priority int
	body     []byte
	// heldBytes are reserved for the body.
	heldBytes int64
	// answer holds the last answer that was read whole.
	answer *bodies.Buffer
	// fingerprint identifies workspace, method, path and body.
	fingerprint uint64
	// parts are the keys of the prompt's shared parts.
	parts []uint64
	// tried lists the upstreams of all attempts, mayHaveRun those that may have run the
	// request.
	tried      []string
	mayHaveRun []string
	// atFault lists the helpers that refusals have named as their cause, blamed is the one that the
	// refusal of the current attempt names.
	atFault []string
	blamed  string
	// sends counts all sends.
	sends int
	// placedAt is when the job of the current attempt was placed, and events the number of events
	// that it has received.
	placedAt time.Time
	events   int
	// resumed reports whether the current attempt continues an answer that another began, so that
	// its events are not all of the answer.
	resumed bool
	// placed is the ID of the job that was placed and has not ended; empty if there is none.
	placed string
	// heard is when the upstream of the current attempt was last heard.
	heard *lastHeard
	// jobs counts the job IDs that were assigned.
	jobs   int
	record requestRecord
}

// Defaults for requests.
const (
	// defaultBodiesBytes applies if the settings state no memory.
	defaultBodiesBytes = 64 << 20
	// defaultTimeout applies if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the time after which callers may retry at an instance
	// without a configuration.
	notReadyRetryAfter = time.Second
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rq := &request{w: w, r: r, arrived: time.Now(), view: h.opts.State.View(), call: h.opts.Codec.ReadCall(r.Header)}
	rq.answer = bodies.NewBuffer(h.bodies)
	defer func() {
		rq.answer.Free()
		h.bodies.Release(rq.heldBytes)
	}()
	defer panics.Recover(log.WithField("request", rq.call.ID), func() { h.abandon(rq) })
	if h.opts.Stop() != nil {
		w.Header().Set("Connection", "close")
	}
	err := h.admit(rq)
	rq.limitWrites()
	if err == nil {
		err = h.serve(rq)
	}
	h.record(rq, err)
	if err != nil {
		h.writeFailure(rq, err)
		return
	}
	h.durations.observe(rq.route.Name, time.Since(rq.arrived))
}

// serve serves a request that is admitted, until its deadline or until it must end.
func (h *Handler) serve(rq *request) *result.Error {
	h.budgets.addRequest(rq.service, rq.arrived)
	ctx, cancel := context.WithDeadline(rq.r.Context(), rq.deadline)
	defer cancel()
	unlink := context.AfterFunc(h.opts.Ending, cancel)
	defer unlink()
	if rq.route.Kind == deployment.Stream {
		return h.serveStream(ctx, rq)
	}
	return h.serveBuffered(ctx, rq)
}

// writeGrace is the time after the deadline in which the caller can still receive the last
// bytes of its answer.
const writeGrace = time.Second

// limitWrites sets when writes to the caller fail, so that one that does not read holds
// nothing after its deadline. The limit of an earlier request on the connection is replaced.
func (rq *request) limitWrites() {
	deadline := rq.deadline
	if deadline.IsZero() {
		deadline = rq.arrived.Add(defaultTimeout)
	}
	err := http.NewResponseController(rq.w).SetWriteDeadline(deadline.Add(writeGrace))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		log.WithError(err).WithField("request", rq.call.ID).Debug("write deadline not set")
	}
}

// abandon ends a request that panicked.
func (h *Handler) abandon(rq *request) {
	if rq.placed != "" {
		h.ended(rq, rq.placed, placement.Abandoned)
	}
	err := result.New(result.Internal, "internal error")
	if rq.sends == 0 {
		err = err.WithExecution(result.NotRun)
	}
	h.record(rq, err)
	h.writeFailure(rq, err)
}

// record counts and logs a request that has ended.
func (h *Handler) record(rq *request, err *result.Error) {
	rq.record.stop = h.opts.Stop()
	if rq.record.stop != nil {
		h.inStop.count(err)
	}
	h.requests.write(rq, err)
}

// ended reports how the attempt of a placed job ended.
func (h *Handler) ended(rq *request, job string, o placement.Outcome) {
	rq.placed = ""
	e := placement.End{Outcome: o, Duration: time.Since(rq.placedAt), Events: rq.events, AtFault: rq.blamed}
	if rq.resumed {
		e.Events = 0
	}
	if last := rq.record.last; o == placement.Abandoned {
		e.Silence = rq.heard.silence()
	} else if !last.IsZero() {
		e.Silence = time.Since(last)
	}
	h.opts.Placer.Ended(rq.service, job, e)
}
