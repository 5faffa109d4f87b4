package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/health"
	"github.com/banyanroute/banyanroute/internal/route"
)

// judgeInterval is the least time between two judgements of a whole pool.
const judgeInterval = 200 * time.Millisecond

// poolKey names what requests are made to.
type poolKey struct {
	target  string
	service bool
}

// pool is the upstreams of one model or service, and its queue.
type pool struct {
	key    poolKey
	states []*state
	view   route.View
	queue  queue
	speed  speed
	drain  drain
	short  shortCapacity

	judgedAt  time.Time
	panicking bool
	// shareScale multiplies the shares that health gives.
	shareScale float64
	turn       int
	ticking    bool
	// capacity is the sum of the prefill speeds, in tokens per second.
	capacity float64
	// largest is the memory of the largest engine in tokens; 0 is unknown.
	largest int
	// gangTurn lets one prompt of several parts reserve at a time.
	gangTurn chan struct{}
	// ratios is reused for the median of latencies.
	ratios []float64
}

func newPool(key poolKey) *pool {
	return &pool{
		key:      key,
		queue:    queue{flows: map[string]*flow{}},
		gangTurn: make(chan struct{}, 1),
	}
}

// setStates replaces the upstreams. They are kept in the order of a hash of
// their IDs, so that all instances choose the same short-only ones.
func (p *pool) setStates(states []*state) {
	slices.SortFunc(states, func(a, b *state) int {
		return cmp.Or(cmp.Compare(hashID(a), hashID(b)), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	p.states = states
	p.view = make(route.View, 0, len(states))
	p.largest = 0
	for _, st := range states {
		p.view = append(p.view, &st.candidate)
		p.largest = max(p.largest, st.upstream.MemoryTokens)
	}
	p.judgedAt = time.Time{}
}

func hashID(st *state) uint64 { return xxhash.Sum64String(st.upstream.ID) }

// judge compares the upstreams with one another and brings all candidates up
// to date, at most once in judgeInterval unless forced.
func (p *pool) judge(now time.Time, forced bool, maxRunning int, shortWeight float64) {
	if !forced && now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
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
	reserved := p.short.engines(usable, shortWeight, now)
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

// scaleShares finds the factor that gives the best upstream its whole share: if
// all are warming up or slow, nobody else could take what they do not get.
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

// compareLatencies judges each upstream's latency against the median.
func (p *pool) compareLatencies(now time.Time) {
	p.ratios = p.ratios[:0]
	for _, st := range p.states {
		if ratio, ok := st.health.LatencySample(); ok {
			p.ratios = append(p.ratios, ratio)
		}
	}
	if len(p.ratios) < 3 {
		return
	}
	slices.Sort(p.ratios)
	median := p.ratios[len(p.ratios)/2]
	for _, st := range p.states {
		st.health.Compare(median, now)
	}
}

// exclusive returns the number of upstreams that are kept free.
func (p *pool) exclusive() int {
	n := 0
	for _, st := range p.states {
		if st.candidate.Exclusive {
			n++
		}
	}
	return n
}
