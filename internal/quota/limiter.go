package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/wire"
)

var log = logging.For("quota")

// leaseTopic carries batches of lease requests to an owner.
const leaseTopic peer.Topic = "quota-lease"

const (
	// tickInterval is how often the control goroutine checks for due renewals.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process is taken
	// to have been paused.
	pauseThreshold = 2 * time.Second
	// callTimeout bounds the call for one batch of renewals.
	callTimeout = time.Second
	// urgentScanInterval is the minimum time between two scans for urgent
	// renewals.
	urgentScanInterval = 50 * time.Millisecond
	// lostMemberRetention is how long an instance that disappeared counts as
	// partitioned off.
	lostMemberRetention = 10 * time.Minute
	// requestQueueLen is the number of batches that can wait for the control
	// goroutine.
	requestQueueLen = 256
)

// Options configures a Limiter.
type Options struct {
	// Listed returns the number of instances on the platform's live list, or
	// zero if it is unknown; a nil function means unknown. An instance that
	// cannot reach the others assumes that the fleet is at least this large.
	Listed func() int
}

// Limiter enforces the limits of all workspaces on one instance.
type Limiter struct {
	bus    peer.Bus
	listed func() int
	set    *metrics.Set
	// workspaces points to an immutable map; its values are shared between
	// successive maps.
	workspaces atomic.Pointer[map[string]*workspace]
	urgent     chan struct{}
	starved    starvedSet
	requests   chan requestBatch
	results    chan renewalResult
	limits     chan map[string]catalogue.Limits
	dumps      chan chan Dump

	admitted, refused, failedRenewals *metrics.Counter
}

// requestBatch is an incoming call to an owner.
type requestBatch struct {
	from     string
	requests []leaseRequest
	reply    chan<- []grant
}

// New returns a limiter that uses bus and registers its handler there.
func New(bus peer.Bus, opts Options) *Limiter {
	l := &Limiter{
		bus:      bus,
		listed:   opts.Listed,
		set:      metrics.NewSet(),
		urgent:   make(chan struct{}, 1),
		requests: make(chan requestBatch, requestQueueLen),
		results:  make(chan renewalResult, requestQueueLen),
		limits:   make(chan map[string]catalogue.Limits),
		dumps:    make(chan chan Dump),
	}
	if l.listed == nil {
		l.listed = func() int { return 0 }
	}
	l.workspaces.Store(&map[string]*workspace{})
	l.admitted = l.set.NewCounter(`banyanroute_quota_takes_total{outcome="admitted"}`)
	l.refused = l.set.NewCounter(`banyanroute_quota_takes_total{outcome="refused"}`)
	l.failedRenewals = l.set.NewCounter(`banyanroute_quota_renewals_failed_total`)
	bus.HandleCall(leaseTopic, l.handleRequests)
	return l
}

// Metrics returns the limiter's metrics, to be registered with /metrics.
func (l *Limiter) Metrics() *metrics.Set { return l.set }

// SetLimits replaces the limits of all workspaces. Workspaces without a rate or
// concurrency limit are not limited. It must not be called concurrently.
func (l *Limiter) SetLimits(limits map[string]catalogue.Limits) {
	now := time.Now()
	old := *l.workspaces.Load()
	next := make(map[string]*workspace, len(limits))
	size := max(len(l.bus.Members()), l.listed(), 1)
	for name, limit := range limits {
		s := limitShare(limit)
		if !s.limited() {
			continue
		}
		w, ok := old[name]
		if ok {
			w.setLimit(s, size, now)
		} else {
			w = newWorkspace(name, s, size, now)
		}
		next[name] = w
	}
	l.workspaces.Store(&next)
	l.wake()
}

// wake makes the control goroutine scan for urgent renewals.
func (l *Limiter) wake() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// starvedSet collects the workspaces that need a lease or a larger share.
type starvedSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func (s *starvedSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
}

// drain moves all names to the caller's set.
func (s *starvedSet) drain(to map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.names {
		to[name] = true
	}
	clear(s.names)
}

// Permit is the admission of one request.
type Permit struct {
	workspace *workspace
	estimated int
	// onAllowance reports whether the request drew on the allowance.
	onAllowance bool
	once        sync.Once
}

// Take admits a request with an estimated number of prompt and output tokens,
// or returns result.WorkspaceLimit with the time to retry after. It does no I/O.
func (l *Limiter) Take(name string, tokens int) (*Permit, *result.Error) {
	w := (*l.workspaces.Load())[name]
	if w == nil {
		return &Permit{}, nil
	}
	t := w.take(tokens, time.Now())
	if t.starved {
		l.starved.add(name)
		l.wake()
	}
	if t.wait > 0 {
		l.refused.Inc()
		return nil, w.refusal(t.wait)
	}
	l.admitted.Inc()
	return &Permit{workspace: w, estimated: tokens, onAllowance: t.onAllowance}, nil
}

// Done ends the request and corrects the estimate. Repeated calls do nothing.
func (p *Permit) Done(actualTokens int) {
	if p.workspace == nil {
		return
	}
	p.once.Do(func() { p.workspace.done(p.estimated, actualTokens, p.onAllowance, time.Now()) })
}

// handleRequests answers the lease requests of another instance, as the owner.
func (l *Limiter) handleRequests(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var requests []leaseRequest
	if err := wire.Unmarshal(payload, &requests, from); err != nil {
		return nil, trace.Wrap(err, "decoding asks for leases")
	}
	reply := make(chan []grant, 1)
	select {
	case l.requests <- requestBatch{from, requests, reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case grants := <-reply:
		return encoding.Marshal(grants)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// encoding writes floats in the shortest lossless form, because most are zero or
// small integers.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constants
	}
	return mode
}

// workspaceHash is the key by which a workspace's owner is chosen.
func workspaceHash(name string) uint64 { return xxhash.Sum64String(name) }
