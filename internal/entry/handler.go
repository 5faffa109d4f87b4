package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Headers of callers' requests and of answers.
const (
	// HeaderRequestID carries the request's ID in every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderResultCode carries the number of the result code.
	HeaderResultCode = "X-Result-Code"
	// HeaderExecution says whether the request ran, in every refusal.
	HeaderExecution = "X-Execution"
	// HeaderTimeout is the caller's time limit, for example "30s" or "30".
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey names a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on an answer that an earlier call with the
	// same idempotency key got.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderWorkspace tells a plain service which workspace calls.
	HeaderWorkspace = "X-Workspace"
)

// Permit is the right to run one request under the workspace's limits.
type Permit interface {
	// Done gives back what was taken, corrected to the tokens really used.
	Done(tokens int)
}

// Limiter holds the fleet-wide limits of workspaces.
type Limiter interface {
	Take(workspace string, tokens int) (Permit, *result.Error)
}

// Options configures the handler.
type Options struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// Catalogue returns the catalogue in force, or nil.
	Catalogue  func() *catalogue.Snapshot
	Dispatcher *dispatch.Dispatcher
	Limiter    Limiter
	// BodyBytes bounds one body, BodiesBytes all bodies held at once.
	BodyBytes   int64
	BodiesBytes int64
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout time.Duration
	// RequestTimeout bounds a request whose entry and caller set no time.
	RequestTimeout time.Duration
	// Draining states whether the instance is about to stop; answers then
	// close their connections.
	Draining func() bool
}

// Handler serves callers.
type Handler struct {
	opts   Options
	bodies *byteBudget
	mux    *http.ServeMux
}

var log = logging.For("entry")

// NewHandler returns the callers' handler.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, bodies: newByteBudget(opts.BodiesBytes), mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/chat/completions", h.serve(h.generate))
	h.mux.HandleFunc("POST /v1/completions", h.serve(h.generate))
	h.mux.HandleFunc("GET /v1/models", h.serve(h.listModels))
	h.mux.HandleFunc("/services/{name}/{rest...}", h.serve(h.callService))
	h.mux.HandleFunc("/", h.serve(unknownRoute))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// exchange is one caller's request with what is known about it.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	snapshot  *catalogue.Snapshot
	workspace *catalogue.Entry
	started   time.Time
}

// serve wraps a handler with the request ID, authentication and the writing of
// its error.
func (h *Handler) serve(f func(*exchange) *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: h.opts.Dispatcher.NewRequestID(), started: time.Now()}
		w.Header().Set(HeaderRequestID, x.id)
		if h.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		err := h.authenticate(x)
		if err == nil {
			err = f(x)
		}
		code := result.OK
		if err != nil {
			code = err.Code
			writeError(w, r, x.id, err)
		}
		countRequest(code, time.Since(x.started))
	}
}

// countRequest updates the metrics of finished requests.
func countRequest(code result.Code, took time.Duration) {
	label := `banyanroute_requests_total{result="` + code.String() + `"}`
	metrics.GetOrCreateCounter(label).Inc()
	metrics.GetOrCreateHistogram("banyanroute_request_seconds").Update(took.Seconds())
}

// authenticate finds the workspace of the caller's key.
func (h *Handler) authenticate(x *exchange) *result.Error {
	x.snapshot = h.opts.Catalogue()
	if x.snapshot == nil {
		return result.New(result.NotReady, "this instance has no current catalogue yet").After(time.Second)
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
