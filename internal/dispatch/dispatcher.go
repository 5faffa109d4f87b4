package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Scheduler chooses upstreams. Package admit implements it.
type Scheduler interface {
	// Acquire waits for an upstream or refuses the request.
	Acquire(ctx context.Context, r *admit.Request) (*admit.Grant, *result.Error)
	// MayRetry returns nil if another attempt is allowed.
	MayRetry(r *admit.Request, ran result.Execution) *result.Error
	// ObserveProbe applies the result of a health probe.
	ObserveProbe(id string, ok bool, latency time.Duration)
}

// Upstreams is the part of the upstream client that dispatch needs.
type Upstreams interface {
	Do(ctx context.Context, call upstream.Call) (*http.Response, error)
	Probe(ctx context.Context, baseURL string) (time.Duration, error)
	Cancel(ctx context.Context, baseURL, requestID string) error
}

// Claims is the part of the ledger that dispatch needs.
type Claims interface {
	Lookup(ctx context.Context, r ledger.Request) (*ledger.Answer, *result.Error)
	Begin(ctx context.Context, r ledger.Request) (*ledger.Claim, *ledger.Answer, *result.Error)
}

// Options configures a Dispatcher.
type Options struct {
	// Instance and Incarnation identify this process in the IDs of requests,
	// and thereby as the owner of engine memory.
	Instance    string
	Incarnation uint64
	Scheduler   Scheduler
	Upstreams   Upstreams
	Claims      Claims
	// OnLoad, if set, is called with the load reports that arrive with answers.
	// It must not block.
	OnLoad func(upstreamID string, r upstream.LoadReport)
	// SilenceTimeout is how long an upstream may send nothing before the
	// dispatcher probes it and resumes the stream over a new connection.
	SilenceTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is read completely into memory. The
	// default is 8 MiB.
	MaxAnswerBytes int64
	// AnswersBytes bounds all answers that are being read at once. The default is 64 MiB.
	AnswersBytes int64
}

const (
	defaultMaxAnswerBytes = 8 << 20
	defaultAnswersBytes   = 64 << 20
)

var log = logging.For("dispatch")

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	opts      Options
	lifecycle *chart.Chart
	cancels   *canceller
	active    activeRequests
	answers   *bodies.Budget
	// background counts the calls that run to their end even if their callers
	// leave.
	background sync.WaitGroup
}

// New returns a dispatcher. It fails if the request chart is invalid.
func New(opts Options) (*Dispatcher, error) {
	lifecycle, err := chart.Load(charts.FS, "request")
	if err != nil {
		return nil, err
	}
	if opts.MaxAnswerBytes == 0 {
		opts.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if opts.AnswersBytes == 0 {
		opts.AnswersBytes = defaultAnswersBytes
	}
	return &Dispatcher{
		answers:   bodies.NewBudget(opts.AnswersBytes),
		opts:      opts,
		lifecycle: lifecycle,
		cancels:   newCanceller(opts.Upstreams),
	}, nil
}

// Run cancels abandoned requests on their engines until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error { return d.cancels.run(ctx) }

// Needs reports whether an active request of this instance still needs the engine
// memory of the given name: its stream, or a reservation whose name begins with
// its ID.
func (d *Dispatcher) Needs(name string) bool { return d.active.covers(name) }

// Wait blocks until all calls under a claim have ended, including those whose
// callers have left.
func (d *Dispatcher) Wait() { d.background.Wait() }

// NewRequestID returns "INSTANCE/INCARNATION/UUID", which identifies the request on
// upstreams and lets any instance find out whether its owner is still alive.
func (d *Dispatcher) NewRequestID() string {
	return d.opts.Instance + "/" + strconv.FormatUint(d.opts.Incarnation, 10) + "/" + uuid.NewString()
}

// remainingMs returns the milliseconds until deadline as text, at least 1.
func remainingMs(deadline time.Time) string {
	return strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
}

// State is the dispatcher's part of a dump.
type State struct {
	// Generations is the number of active generation requests.
	Generations int `json:"generations"`
	// PendingCancels is the number of queued cancellations.
	PendingCancels int `json:"pending_cancels"`
}

// Dump returns the current state; its type is State.
func (d *Dispatcher) Dump() any {
	return State{Generations: d.active.count(), PendingCancels: len(d.cancels.queue)}
}
