package passthrough

import (
	"context"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/placement"
)

var log = logging.For("passthrough")

// Placer chooses upstreams. Package placement implements it.
type Placer interface {
	Place(ctx context.Context, j placement.Job) placement.Decision
	// FirstAnswer says that the first token or the answer arrived.
	FirstAnswer(service, id string)
	// Ended says how the attempt ended; every placed job must end once.
	Ended(service, id string, o placement.Outcome)
}

// Options configures a Handler.
type Options struct {
	State  *deployment.State
	Codec  Codec
	Placer Placer
	// Reserver reserves engine memory for prompts of several engines.
	Reserver Reserver
	Retries  RetryBudget
	// Instances returns the number of live instances.
	Instances func() int
	// MaxIdleHold is how long reserved engine memory may wait for its request to
	// begin; zero takes a default.
	MaxIdleHold time.Duration
	// Draining states whether a planned stop has begun.
	Draining func() bool
}

// Handler serves callers.
type Handler struct {
	opts      Options
	transport http.RoundTripper
	budgets   *budgets
	journal   *journal
}

// New returns a Handler.
func New(o Options) *Handler {
	return &Handler{
		opts:      o,
		transport: newTransport(),
		budgets:   newBudgets(o.Retries, o.Instances),
		journal:   newJournal(),
	}
}

// request is one caller's request under way.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	arrived   time.Time
	deadline  time.Time
	view      *deployment.View
	call      Call
	route     *deployment.Route
	service   string
	workspace string
	body      []byte
	// fingerprint identifies workspace, method, path and body.
	fingerprint uint64
	// tried lists the upstreams that were sent to; ran counts those that may
	// have run the request.
	tried []string
	ran   int
	// sends counts all sends.
	sends int
	// jobs counts the places that were asked for.
	jobs  int
	story story
}

// Timeouts of requests that do not bring their own.
const (
	// defaultTimeout applies where neither caller nor route set one.
	defaultTimeout = 30 * time.Second
	// notReadyRetry is when callers may come back to an instance without a
	// configuration.
	notReadyRetry = time.Second
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rq := &request{w: w, r: r, arrived: time.Now(), view: h.opts.State.View(), call: h.opts.Codec.ReadCall(r.Header)}
	if h.opts.Draining() {
		w.Header().Set("Connection", "close")
	}
	err := h.admit(rq)
	if err == nil {
		h.budgets.request(rq.service, rq.arrived)
		ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
		if rq.route.Kind == deployment.Stream {
			err = h.stream(ctx, rq)
		} else {
			err = h.whole(ctx, rq)
		}
		cancel()
	}
	h.journal.write(rq, err)
	if err != nil {
		h.refuse(rq, err)
	}
}
