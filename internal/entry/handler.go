package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/passthrough"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Headers of callers' requests and of answers.
const (
	// HeaderRequestID carries the request's ID in every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderResultCode carries the number of the result code.
	HeaderResultCode = "X-Result-Code"
	// HeaderExecution says, in every error, whether the request was executed.
	HeaderExecution = "X-Execution"
	// HeaderTimeout is the caller's timeout as a duration, for example "30s",
	// or as a number of seconds.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey identifies a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on the stored answer of an earlier call with
	// the same idempotency key.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderWorkspace names the calling workspace to a plain service.
	HeaderWorkspace = "X-Workspace"
)

// Permit is the right to run one request under the workspace's limits.
type Permit interface {
	// Done releases the permit and corrects the estimated tokens to those
	// used.
	Done(tokens int)
}

// Limiter enforces the fleet-wide limits of workspaces.
type Limiter interface {
	// Take returns a permit for a request with an estimated number of
	// tokens, or the error with which the request is refused.
	Take(workspace string, tokens int) (Permit, *result.Error)
}

// Options configures the handler.
type Options struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// Catalogue returns the active catalogue, or nil if there is none yet.
	Catalogue  func() *catalogue.Snapshot
	Dispatcher *dispatch.Dispatcher
	Limiter    Limiter
	// BodyBytes bounds one body, BodiesBytes the sum of all bodies held at
	// once.
	BodyBytes   int64
	BodiesBytes int64
	// BodyTimeout bounds the time to receive a body.
	BodyTimeout time.Duration
	// RequestTimeout bounds a request for which neither the catalogue nor the
	// caller sets a timeout.
	RequestTimeout time.Duration
	// Draining reports whether the instance is draining; connections are then
	// closed after the answer.
	Draining func() bool
	// Stop returns the graceful shutdown that has begun if its end is known, or nil. A nil
	// function is never.
	Stop func() *passthrough.Stop
	// Ending ends when the requests that still run must end; nil is never.
	Ending context.Context
}

// Handler serves the callers' HTTP API.
type Handler struct {
	opts   Options
	bodies *bodies.Budget
	mux    *http.ServeMux
	gate   passthrough.Gate
}

var log = logging.For("entry")

// NewHandler returns the callers' handler.
func NewHandler(opts Options) *Handler {
	if opts.Stop == nil {
		opts.Stop = func() *passthrough.Stop { return nil }
	}
	if opts.Ending == nil {
		opts.Ending = context.Background()
	}
	h := &Handler{opts: opts, bodies: bodies.NewBudget(opts.BodiesBytes), mux: http.NewServeMux(), gate: passthrough.Gate{Stop: opts.Stop}}
	h.mux.HandleFunc("POST /v1/chat/completions", h.serve(h.generate))
	h.mux.HandleFunc("POST /v1/completions", h.serve(h.generate))
	h.mux.HandleFunc("GET /v1/models", h.serve(h.listModels))
	h.mux.HandleFunc("/services/{name}/{rest...}", h.serve(h.callService))
	h.mux.HandleFunc("/", h.serve(unknownRoute))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// exchange is the state of one caller's request.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	snapshot  *catalogue.Snapshot
	workspace *catalogue.Entry
	started   time.Time
	// route names what the request calls, for the estimate of its duration; empty until it is
	// begun.
	route string
}

// begin returns an error if a graceful shutdown leaves no time for the request.
func (h *Handler) begin(x *exchange, route string, deadline time.Time) *result.Error {
	if err := h.gate.MayBegin(route, deadline, time.Now()); err != nil {
		return err
	}
	x.route = route
	return nil
}

// end returns the error of a request with err, and records the duration of one that was answered.
func (h *Handler) end(x *exchange, err *result.Error) *result.Error {
	if err == nil && x.route != "" {
		h.gate.Observe(x.route, time.Since(x.started))
	}
	if err != nil && err.Code == result.CallerGone && h.opts.Ending.Err() != nil {
		return result.Wrap(err, result.Draining, "the instance ended before the answer was complete").WithExecution(err.Execution)
	}
	return err
}

// serve wraps a handler: it assigns the request ID, authenticates the caller,
// writes the handler's error and counts the request.
func (h *Handler) serve(f func(*exchange) *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(h.opts.Ending, cancel)()
		x := &exchange{w: w, r: r.WithContext(ctx), id: h.opts.Dispatcher.NewRequestID(), started: time.Now()}
		w.Header().Set(HeaderRequestID, x.id)
		if h.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		x.limitWrites(x.started.Add(h.opts.RequestTimeout))
		err := h.end(x, x.run(func() *result.Error {
			if err := h.authenticate(x); err != nil {
				return err
			}
			return f(x)
		}))
		code := result.OK
		if err != nil {
			code = err.Code
			writeError(w, r, x.id, err)
		}
		countRequest(code, time.Since(x.started))
	}
}

// run calls f and turns its panic into an error.
func (x *exchange) run(f func() *result.Error) (err *result.Error) {
	defer panics.Recover(log.WithField("request", x.id), func() { err = result.New(result.Internal, "internal error") })
	return f()
}

// countRequest updates the metrics for a finished request.
func countRequest(code result.Code, took time.Duration) {
	label := `banyanroute_requests_total{result="` + code.String() + `"}`
	metrics.GetOrCreateCounter(label).Inc()
	metrics.GetOrCreateHistogram("banyanroute_request_seconds").Update(took.Seconds())
}

// authenticate sets the exchange's catalogue snapshot, and its workspace by the
// caller's key.
func (h *Handler) authenticate(x *exchange) *result.Error {
	x.snapshot = h.opts.Catalogue()
	if x.snapshot == nil {
		return result.New(result.NotReady, "this instance has no current catalogue yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return result.New(result.Unauthenticated, "the header Authorization must be 'Bearer KEY'")
	}
	hash := sha256.Sum256([]byte(key))
	x.workspace = x.snapshot.WorkspaceByKeyHash(hex.EncodeToString(hash[:]))
	if x.workspace == nil {
		return result.New(result.Unauthenticated, "no workspace has this key")
	}
	return nil
}

func unknownRoute(x *exchange) *result.Error {
	return result.New(result.UnknownRoute, "no such path or method: %s %s", x.r.Method, x.r.URL.Path)
}
