package admit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/route"
)

// A queueing model of engines that compute prompts in chunks, the most urgent
// priority first, and hold memory until the answer ends. It compares strategies
// that isolate short requests; it does not model a whole deployment.

const (
	modelRate         = 20_000.0 // prompt tokens per second and engine
	modelChunk        = 2048.0   // tokens of one step
	modelMemory       = 400_000  // tokens
	modelTokenSeconds = 0.02     // time between two tokens
	modelSeconds      = 400.0
	modelEngines      = 15
)

type job struct {
	at       float64
	tokens   int
	output   int
	left     float64
	priority int
	engine   *modelEngine
	ttft     float64
}

type modelEngine struct {
	candidate route.Candidate
	waiting   []*job // by priority, then order of arrival
	running   []*job // in memory, prompt not done
	used      int
	busy      bool
}

type modelEvent struct {
	at   float64
	call func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// strategy is one way to isolate short requests.
type strategy struct {
	name        string
	picker      route.Picker // nil is round robin
	score       route.Scorer
	priorities  bool
	hold        bool // long requests wait in the router until an engine is within its limit
	shortWeight float64
	intervals   bool // short and long requests have separate engines
}

type queueModel struct {
	strategy        strategy
	now             float64
	events          modelEvents
	engines         []*modelEngine
	view            route.View
	byID            map[string]*modelEngine
	held            []*job
	random          *rand.Rand
	capacity        shortCapacity
	done            []*job
	roundRobinCount int
}

func (m *queueModel) after(d float64, call func()) {
	heap.Push(&m.events, modelEvent{m.now + d, call})
}

func (m *queueModel) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(m.now * float64(time.Second)))
}

func isShort(tokens int) bool { return tokens <= defaultShortTokens }

func (m *queueModel) arrive(j *job) {
	short := isShort(j.tokens)
	m.capacity.addArrival(float64(j.tokens), short, m.clock())
	reserved := m.capacity.shortOnly(len(m.engines), m.strategy.shortWeight, m.clock())
	for i, e := range m.engines {
		e.candidate.ShortOnly = i < reserved || m.strategy.intervals && i < 4
		if m.strategy.intervals {
			e.candidate.Exclusive = short && i >= 4
		}
	}
	if m.strategy.priorities && !short {
		j.priority = 1 + int(math.Log2(float64(j.tokens)/defaultShortTokens))
	}
	m.held = append(m.held, j)
	m.release()
}

// release sends the held requests for which an engine is open: short ones without
// delay, long ones of a strategy with hold only to engines within their limit.
func (m *queueModel) release() {
	var blocked [route.Sizes]bool
	m.held = slices.DeleteFunc(m.held, func(j *job) bool {
		picker, size := m.strategy.picker, route.SizeOf(j.tokens, defaultShortTokens)
		d := &route.Demand{PromptTokens: j.tokens, OutputTokens: j.output, Size: size, MaxQueuedSeconds: 1e9}
		if blocked[size] {
			return false
		}
		filter := route.All(route.Usable, route.NotExclusive, route.OpenToLong)
		if m.strategy.hold {
			d.MaxQueuedSeconds, d.ShortReserve = maxQueuedSeconds[size], minShortReserve+weightedShortReserve*m.strategy.shortWeight
			filter = route.DefaultFilter
		}
		if m.strategy.picker == nil {
			m.roundRobinCount++
			picker = route.RoundRobin{Turn: m.roundRobinCount}
		}
		c := picker.Pick(m.view, d, filter, m.strategy.score, m.random)
		if c == nil {
			blocked[size] = true
			return false
		}
		m.send(m.byID[c.ID], j)
		return true
	})
}

func (m *queueModel) send(e *modelEngine, j *job) {
	j.engine, j.left = e, float64(j.tokens)
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, j)
	e.candidate.Streams++
	if !isShort(j.tokens) {
		e.candidate.LongStreams++
	}
	e.charge(j, float64(j.tokens))
	m.step(e)
}

// charge adds work, which may be negative, to the candidate's queued work.
func (e *modelEngine) charge(j *job, work float64) {
	e.candidate.Queued += work
	e.candidate.Work[route.SizeOf(j.tokens, defaultShortTokens)] += work
}

// step admits jobs to memory and starts the computation of one chunk.
func (m *queueModel) step(e *modelEngine) {
	for len(e.waiting) > 0 && e.used+e.waiting[0].tokens+e.waiting[0].output <= modelMemory {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.used += j.tokens + j.output
		e.candidate.FreeTokens = modelMemory - e.used
		e.running = append(e.running, j)
	}
	if e.busy || len(e.running) == 0 {
		return
	}
	e.busy = true
	j := slices.MinFunc(e.running, func(a, b *job) int { return a.priority - b.priority })
	work := min(j.left, modelChunk)
	m.after(work/modelRate, func() {
		e.busy = false
		j.left -= work
		e.charge(j, -work)
		if j.left <= 0 {
			j.ttft = m.now - j.at
			m.done = append(m.done, j)
			e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
			m.after(float64(j.output)*modelTokenSeconds, func() { m.end(j) })
		}
		m.step(e)
		m.release()
	})
}

func (m *queueModel) end(j *job) {
	e := j.engine
	e.used -= j.tokens + j.output
	e.candidate.FreeTokens = modelMemory - e.used
	e.candidate.Streams--
	if !isShort(j.tokens) {
		e.candidate.LongStreams--
	}
	m.step(e)
	m.release()
}

// promptSizes are ranges of prompt lengths in tokens with their fractions of the
// requests.
var promptSizes = []struct {
	name     string
	from, to float64
	weight   float64
}{
	{"1-4k", 1_000, 4_000, 0.70},
	{"4-32k", 4_000, 32_000, 0.20},
	{"32-128k", 32_000, 128_000, 0.08},
	{"128-390k", 128_000, 390_000, 0.02},
}

func sizeOf(tokens int) int {
	for i := range promptSizes {
		if float64(tokens) <= promptSizes[i].to {
			return i
		}
	}
	return len(promptSizes) - 1
}

// run returns the sorted times to the first token by prompt size, in seconds.
func (s strategy) run(load float64, withLong bool) [][]float64 {
	m := &queueModel{strategy: s, byID: map[string]*modelEngine{}, random: rand.New(rand.NewPCG(7, 7))}
	for i := range modelEngines {
		e := &modelEngine{candidate: route.Candidate{
			ID: fmt.Sprint(i), FreeTokens: modelMemory, MemoryTokens: modelMemory, Rate: modelRate, Share: 1,
		}}
		m.engines = append(m.engines, e)
		m.view = append(m.view, &e.candidate)
		m.byID[e.candidate.ID] = e
	}
	const meanTokens = 13_400
	workload := rand.New(rand.NewPCG(3, 4))
	perSecond := load * modelEngines * modelRate / meanTokens
	for at := 0.0; at < modelSeconds; at += workload.ExpFloat64() / perSecond {
		pick, size := workload.Float64(), 0
		for pick > promptSizes[size].weight && size < len(promptSizes)-1 {
			pick -= promptSizes[size].weight
			size++
		}
		span := promptSizes[size].to / promptSizes[size].from
		tokens := int(promptSizes[size].from * math.Pow(span, workload.Float64()))
		j := &job{at: at, tokens: tokens, output: 50 + workload.IntN(300)}
		if withLong || size == 0 {
			heap.Push(&m.events, modelEvent{at, func() { m.arrive(j) }})
		}
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.call()
	}
	times := make([][]float64, len(promptSizes))
	for _, j := range m.done {
		times[sizeOf(j.tokens)] = append(times[sizeOf(j.tokens)], j.ttft)
	}
	for _, t := range times {
		slices.Sort(t)
	}
	return times
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

var (
	bestOfAll    = route.Best{}
	bestOfTwo    = route.Sample{Choices: 2}
	bestOfSample = route.Sample{Choices: sampleSize}
)

var strategies = []strategy{
	{name: "round robin", score: route.LeastRequests},
	{name: "least requests", picker: bestOfAll, score: route.LeastRequests},
	{name: "least work of two, no priorities", picker: bestOfTwo, score: route.LeastWork},
	{name: "shared pool with priorities", picker: bestOfSample, score: route.LeastWork, priorities: true},
	{name: "size intervals (4 of 15 short)", picker: bestOfSample, score: route.LeastWork, priorities: true, intervals: true},
	{name: "shared, long ones held", picker: bestOfSample, score: route.LeastWork, priorities: true, hold: true},
	{name: "reserved short, weight 0.25", picker: bestOfSample, score: route.LeastWork, priorities: true, hold: true, shortWeight: 0.25},
	{name: "reserved short, weight 0.5", picker: bestOfSample, score: route.LeastWork, priorities: true, hold: true, shortWeight: 0.5},
	{name: "reserved short, weight 1", picker: bestOfSample, score: route.LeastWork, priorities: true, hold: true, shortWeight: 1},
}

// TestIsolation checks that the strategy in use keeps short requests fast at 0.8 of
// capacity and does not delay long ones by much. It logs the results of all
// strategies.
func TestIsolation(t *testing.T) {
	const load = 0.8
	slowdowns := map[string]float64{}
	longs := map[string]float64{}
	for _, s := range strategies {
		with, without := s.run(load, true), s.run(load, false)
		line := &strings.Builder{}
		all := slices.Concat(with...)
		slices.Sort(all)
		for i := range promptSizes {
			fmt.Fprintf(line, " | %6.2f %6.2f", quantile(with[i], 0.5), quantile(with[i], 0.95))
		}
		slowdowns[s.name] = quantile(with[0], 0.95) / quantile(without[0], 0.95)
		longs[s.name] = quantile(with[3], 0.95)
		mean := 0.0
		for _, ttft := range all {
			mean += ttft / float64(len(all))
		}
		t.Logf("%-33s%s | short p95 x%.2f | mean %.3f", s.name, line, slowdowns[s.name], mean)
	}
	const shared = "shared pool with priorities"
	for _, chosen := range []string{"reserved short, weight 0.5", "reserved short, weight 1"} {
		if slowdowns[chosen] > 1.10 || slowdowns[chosen] >= slowdowns[shared] {
			t.Errorf("%s: long requests slow short ones down by a factor of %.2f, want at most 1.10 and less than in the shared pool", chosen, slowdowns[chosen])
		}
		if longs[chosen] > 2.5*longs[shared] {
			t.Errorf("%s: the p95 time to the first token of the longest prompts is %.1f s, want at most 2.5 times the %.1f s of the shared pool", chosen, longs[chosen], longs[shared])
		}
	}
}
