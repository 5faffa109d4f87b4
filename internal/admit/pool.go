package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/route"
)

// evaluationInterval is the minimum time between two evaluations of a pool that
// are not forced.
const evaluationInterval = 200 * time.Millisecond

// poolKey identifies a pool by the model or service that requests name.
type poolKey struct {
	target  string
	service bool
}

// pool holds the upstreams of one model or service and the queue of its requests.
type pool struct {
	key        poolKey
	states     []*state
	view       route.View
	queue      queue
	speed      speed
	throughput throughput
	short      shortCapacity

	evaluatedAt time.Time
	// panicking reports whether too few upstreams are usable for the health states
	// to be trusted, so that failed ones are used too; see health.Panicking.
	panicking bool
	// shareScale is applied to the shares of all upstreams; see scaleShares.
	shareScale float64
	// roundRobinCount numbers the requests that are placed round robin.
	roundRobinCount int
	// tickScheduled reports whether a call of tick is scheduled.
	tickScheduled bool
	// capacity is the sum of the prefill speeds of the upstreams in use, in
	// tokens per second.
	capacity float64
	// maxEngineTokens is the memory of the largest engine; 0 is unknown.
	maxEngineTokens int
	// gangSlot is a semaphore: one prompt that needs several engines reserves
	// memory at a time.
	gangSlot chan struct{}
	// latencyRatios is scratch space for the median of the latencies.
	latencyRatios []float64
}

func newPool(key poolKey) *pool {
	return &pool{
		key:      key,
		queue:    queue{flows: map[string]*flow{}},
		gangSlot: make(chan struct{}, 1),
	}
}

// setStates replaces the upstreams. They are sorted by a hash of their IDs, so
// that all instances choose the same ones as short-only.
func (p *pool) setStates(states []*state) {
	slices.SortFunc(states, func(a, b *state) int {
		return cmp.Or(cmp.Compare(hashID(a), hashID(b)), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	p.states = states
	p.view = make(route.View, 0, len(states))
	p.maxEngineTokens = 0
	for _, st := range states {
		p.view = append(p.view, &st.candidate)
		p.maxEngineTokens = max(p.maxEngineTokens, st.upstream.MemoryTokens)
	}
	p.evaluatedAt = time.Time{}
}

func hashID(st *state) uint64 { return xxhash.Sum64String(st.upstream.ID) }

// evaluate compares the upstreams with one another and refreshes all candidates,
// at most once per evaluationInterval unless forced.
func (p *pool) evaluate(now time.Time, forced bool, maxRunning int, shortWeight float64) {
	if !forced && now.Sub(p.evaluatedAt) < evaluationInterval {
		return
	}
	p.evaluatedAt = now
	p.compareLatencies(now)
	usable, total := 0, 0
	for _, st := range p.states {
		if st.health.State() == health.StateLeaving {
			continue
		}
		total++
		if st.usable() {
			usable++
		}
	}
	p.panicking = health.Panicking(usable, total)
	p.scaleShares(now)
	reserved := p.short.shortOnly(usable, shortWeight, now)
	p.speed.best = 0
	p.capacity = 0
	for _, st := range p.states {
		st.refresh(now, p, maxRunning)
		st.candidate.ShortOnly = false
		if st.usable() && reserved > 0 {
			st.candidate.ShortOnly = true
			reserved--
		}
		if st.usable() || p.panicking {
			p.capacity += st.candidate.Rate
		}
		if rate, measured := st.load.Rate(); measured && st.usable() {
			p.speed.best = max(p.speed.best, rate)
		}
	}
}

// scaleShares sets shareScale so that the best upstream gets its full share: if
// all are warming up or slow, no other upstream could take the traffic that they
// do not get.
func (p *pool) scaleShares(now time.Time) {
	best := 0.0
	for _, st := range p.states {
		best = max(best, st.share(now, p.panicking))
	}
	p.shareScale = 1
	if best > 0 {
		p.shareScale = 1 / best
	}
}

// compareLatencies compares each upstream's latency with the pool's median.
func (p *pool) compareLatencies(now time.Time) {
	p.latencyRatios = p.latencyRatios[:0]
	for _, st := range p.states {
		if ratio, ok := st.health.LatencySample(); ok {
			p.latencyRatios = append(p.latencyRatios, ratio)
		}
	}
	if len(p.latencyRatios) < 3 {
		return
	}
	slices.Sort(p.latencyRatios)
	median := p.latencyRatios[len(p.latencyRatios)/2]
	for _, st := range p.states {
		st.health.Compare(median, now)
	}
}

// exclusiveCount returns the number of upstreams that are kept free.
func (p *pool) exclusiveCount() int {
	n := 0
	for _, st := range p.states {
		if st.candidate.Exclusive {
			n++
		}
	}
	return n
}
