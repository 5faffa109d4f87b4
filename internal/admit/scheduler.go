package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/retry"
	"github.com/banyanroute/banyanroute/internal/route"
)

var log = logging.For("admit")

// Algorithms of catalogue.PolicySpec.
const (
	AlgorithmBanyan        = "banyan"
	AlgorithmRoundRobin    = "round-robin"
	AlgorithmLeastRequests = "least-requests"
)

// defaultShortTokens is used if the policy does not set ShortTokens.
const defaultShortTokens = 4096

// Scheduler decides for one instance when and on which upstream requests run.
// All methods are safe for concurrent use; no lock is held during network calls.
type Scheduler struct {
	options  Options
	trackers *health.TrackerFactory
	acquirer *gang.Acquirer

	mu     sync.Mutex
	random *rand.Rand
	policy catalogue.PolicySpec
	// firstSetAt is when the first upstreams were set; those need no warm-up.
	firstSetAt time.Time
	byID       map[string]*state
	byKey      map[load.Key]*state
	pools      map[poolKey]*pool
	prefix     *load.PrefixIndex
	poison     *poison.Table
	// parts holds the prompt parts that may crash upstreams.
	parts *poison.PartTable
	retry *retry.Policy
	peers map[string]peerState
}

// peerState describes the last hint of another instance.
type peerState struct {
	keys   []load.Key
	seenAt time.Time
}

// New returns a Scheduler without upstreams.
func New(options Options) *Scheduler {
	trackers, err := health.NewTrackerFactory()
	if err != nil {
		panic(err) // the embedded chart is broken
	}
	options = options.withDefaults()
	s := &Scheduler{
		options:  options,
		trackers: trackers,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
		byID:     map[string]*state{},
		byKey:    map[load.Key]*state{},
		pools:    map[poolKey]*pool{},
		prefix:   load.NewPrefixIndex(),
		poison:   poison.NewTable(),
		parts:    poison.NewPartTable(),
		retry:    retry.NewPolicy(),
		peers:    map[string]peerState{},
	}
	if options.Reserver != nil {
		if s.acquirer, err = gang.NewAcquirer(options.Reserver, options.Seed); err != nil {
			panic(err) // the embedded chart is broken
		}
	}
	return s
}

// SetUpstreams replaces the set of upstreams. An upstream with the ID and URL of
// one that was set before keeps its state.
func (s *Scheduler) SetUpstreams(list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.firstSetAt.IsZero() && len(list) > 0 {
		s.firstSetAt = now
	}
	next := make(map[string]*state, len(list))
	byKey := make(map[load.Key]*state, len(list))
	members := map[poolKey][]*state{}
	for _, u := range list {
		st := s.stateOf(u, now)
		next[u.ID] = st
		byKey[st.key] = st
		for _, key := range poolKeys(u) {
			members[key] = append(members[key], st)
		}
	}
	s.byID, s.byKey = next, byKey
	s.setPools(members, now)
}

// stateOf returns the state of u. It is a new one if u was not set before or had
// another URL.
func (s *Scheduler) stateOf(u Upstream, now time.Time) *state {
	st := s.byID[u.ID]
	if st == nil || st.upstream.URL != u.URL {
		st = &state{
			key:    load.KeyOf(u.ID),
			load:   load.NewTracker(),
			health: s.trackers.NewTracker(now, now.Equal(s.firstSetAt)),
		}
	}
	st.upstream = u
	st.single = route.View{&st.candidate}
	st.candidate.ID = u.ID
	st.candidate.DataCentre = u.DataCentre
	return st
}

// poolKeys returns the keys of the pools to which an upstream belongs.
func poolKeys(u Upstream) []poolKey {
	if u.Service != "" {
		return []poolKey{{target: u.Service, service: true}}
	}
	keys := make([]poolKey, 0, len(u.Models))
	for _, model := range u.Models {
		keys = append(keys, poolKey{target: model})
	}
	return keys
}

// setPools sets the members of each pool. A pool without members is kept while
// requests wait in it.
func (s *Scheduler) setPools(members map[poolKey][]*state, now time.Time) {
	for key := range members {
		if s.pools[key] == nil {
			s.pools[key] = newPool(key)
		}
	}
	for key, p := range s.pools {
		p.setStates(members[key])
		if len(p.states) == 0 && p.queue.count == 0 {
			delete(s.pools, key)
			continue
		}
		s.evaluatePool(p, now, true)
		s.serveQueue(p, p.view, now)
	}
}

// SetPolicy replaces the policy and applies it to the waiting requests.
func (s *Scheduler) SetPolicy(p catalogue.PolicySpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
	now := time.Now()
	for _, pool := range s.pools {
		s.evaluatePool(pool, now, true)
		s.serveQueue(pool, pool.view, now)
	}
}

// evaluatePool evaluates p with the scheduler's options and policy.
func (s *Scheduler) evaluatePool(p *pool, now time.Time, forced bool) {
	p.evaluate(now, forced, s.options.MaxRunningPerEngine, s.policy.ShortWeight)
}

// shortTokens returns the longest prompt that counts as short.
func (s *Scheduler) shortTokens() int {
	if s.policy.ShortTokens > 0 {
		return s.policy.ShortTokens
	}
	return defaultShortTokens
}

// MayRetry returns nil and spends retry budget if another attempt of r is
// allowed. ran is what is known about the execution of the last attempt. The
// last upstream of r.Avoid counts as the one where it failed.
func (s *Scheduler) MayRetry(r *Request, ran result.Execution) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := retry.Attempt{
		Workspace:     r.Workspace,
		Ran:           ran,
		NonIdempotent: r.NonIdempotent,
		Deadline:      r.Deadline,
		Number:        r.Attempt,
	}
	if len(r.Avoid) > 0 {
		a.Upstream = r.Avoid[len(r.Avoid)-1]
	}
	if p := s.pools[poolKey{r.Target, r.Service}]; p != nil {
		a.Needs = p.speed.serviceTime(float64(r.PromptTokens), r.OutputTokens)
	}
	refusal := s.retry.Allow(a, time.Now())
	if refusal != nil && refusal.Code.Info().RetryHelps {
		return refusal.WithRetryAfter(s.retryAfter(time.Second))
	}
	return refusal
}

// retryAfter returns d, within its bounds, plus a random delay of up to as much
// again, so that refused callers do not retry at the same time.
func (s *Scheduler) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(s.random.Int64N(int64(d)))
}

// Bounds of the time after which a refused caller should retry, before the
// random delay is added.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)
