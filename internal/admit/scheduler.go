package admit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Scheduler takes the traffic decisions of one instance. All methods are safe
// for concurrent use; no lock is held during network calls.
type Scheduler struct {
	options Options

	mu        sync.Mutex
	random    *rand.Rand
	policy    catalogue.PolicySpec
	upstreams []*state
}

// state is what the scheduler knows of one upstream.
type state struct {
	upstream Upstream
	work     float64
	leaving  bool
}

// New returns a Scheduler without upstreams.
func New(options Options) *Scheduler {
	options = options.withDefaults()
	return &Scheduler{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
}

// SetUpstreams replaces the set of upstreams; known ones keep their state.
func (s *Scheduler) SetUpstreams(list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*state, len(s.upstreams))
	for _, u := range s.upstreams {
		known[u.upstream.ID] = u
	}
	next := make([]*state, 0, len(list))
	for _, u := range list {
		st := known[u.ID]
		if st == nil {
			st = &state{}
		}
		st.upstream = u
		next = append(next, st)
	}
	s.upstreams = next
}

// SetPolicy replaces the policy.
func (s *Scheduler) SetPolicy(p catalogue.PolicySpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
}

// ObserveLoad takes an engine's load report.
func (s *Scheduler) ObserveLoad(id string, r upstream.LoadReport) { s.SetLeaving(id, r.Leaving) }

// ObserveCache takes an engine's cache events.
func (s *Scheduler) ObserveCache(string, upstream.CacheEvents) {}

// ObserveProbe takes the result of a health probe.
func (s *Scheduler) ObserveProbe(string, bool, time.Duration) {}

// SetLeaving marks an upstream that takes no new request.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.upstream.ID == id {
			u.leaving = leaving
		}
	}
}

// PeerHint returns a CBOR payload for the other instances' ObservePeerHint.
func (s *Scheduler) PeerHint() []byte { return nil }

// ObservePeerHint takes another instance's PeerHint.
func (s *Scheduler) ObservePeerHint(string, []byte) {}

// ObservePoison takes another instance's Options.OnPoison payload.
func (s *Scheduler) ObservePoison(string, []byte) {}

// Acquire waits for an upstream for r.
func (s *Scheduler) Acquire(_ context.Context, r *Request) (*Grant, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var eligible []*state
	for _, u := range s.upstreams {
		if u.serves(r) {
			eligible = append(eligible, u)
		}
	}
	if len(eligible) == 0 {
		return nil, result.New(result.NoUpstream, "no upstream of %q can take a request", r.Target).After(time.Second)
	}
	best := eligible[s.random.IntN(len(eligible))]
	if other := eligible[s.random.IntN(len(eligible))]; other.work < best.work {
		best = other
	}
	work := float64(r.PromptTokens + r.OutputTokens)
	best.work += work
	return &Grant{scheduler: s, state: best, upstream: best.upstream, work: work}, nil
}

// serves states whether u may take r.
func (u *state) serves(r *Request) bool {
	if u.leaving || slices.Contains(r.Avoid, u.upstream.ID) {
		return false
	}
	if r.Service {
		return u.upstream.Service == r.Target
	}
	return slices.Contains(u.upstream.Models, r.Target)
}

// MayRetry returns nil if another attempt of r is allowed. ran is what is known
// about the last attempt.
func (s *Scheduler) MayRetry(r *Request, _ result.Execution) *result.Error {
	if !time.Now().Before(r.Deadline) {
		return result.New(result.DeadlineExceeded, "no time is left for another attempt")
	}
	return nil
}

// Dump returns the state for operators.
func (s *Scheduler) Dump() any { return struct{}{} }
