package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// Generate is a generation request to a model.
	Generate Kind = "generate"
	// Get is an idempotent call of a plain service.
	Get Kind = "get"
	// Post is a non-idempotent call of a plain service.
	Post Kind = "post"
)

// Item is one request of a run.
type Item struct {
	// Number counts items from 1.
	Number int
	Kind   Kind
	// At is the time of sending, counted from the start of the phase.
	At time.Duration
	// Group is the bucket's name for prompts and the kind for calls.
	Group string
	// WorkspaceKey is the API key of the workspace.
	WorkspaceKey string
	// Target is the index of the instance in the scenario's targets.
	Target  int
	Timeout time.Duration
	// Prompt, OutputTokens and Stream are set for Generate only.
	Prompt       Prompt
	OutputTokens int
	Stream       bool
	// IdempotencyKey is set for Post only.
	IdempotencyKey string
}

// Generator generates the items of a run.
type Generator struct {
	scenario *scenario.Scenario
	random   *rand.Rand
	// runID makes the idempotency keys unique to the run.
	runID string
	// number is the number of the last item.
	number int
	// pending holds repeated calls that follow the item just returned.
	pending []Item
	// at is the arrival time of the last item in the phase.
	at    time.Duration
	phase scenario.Phase
}

// New returns a generator. runID must differ between runs against the same
// services, which store idempotency keys.
func New(s *scenario.Scenario, runID string) *Generator {
	return &Generator{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0)), runID: runID}
}

// KeyPrefix returns the prefix of all idempotency keys of the run.
func (g *Generator) KeyPrefix() string { return "load-" + g.runID + "-" }

// StartPhase starts a phase and drops pending items of the previous one.
func (g *Generator) StartPhase(p scenario.Phase) {
	g.phase = p
	g.at = 0
	g.pending = nil
}

// Next returns the next item of the phase, or false at its end. Items come in
// order of their times.
func (g *Generator) Next() (Item, bool) {
	for {
		if len(g.pending) > 0 {
			item := g.pending[0]
			g.pending = g.pending[1:]
			return item, true
		}
		g.at += g.interarrival()
		if g.at >= time.Duration(g.phase.Duration) {
			return Item{}, false
		}
		item, ok := g.newItem()
		if !ok {
			continue
		}
		return item, true
	}
}

// interarrival draws the time between two arrivals of the Poisson process.
func (g *Generator) interarrival() time.Duration {
	rate := g.scenario.RequestsPerSecond * g.phase.Load
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// newItem generates the item that arrives now. It returns false for a long prompt
// that the phase omits; the prompt is drawn nevertheless, so that the other items
// are the same as in a phase with long prompts.
func (g *Generator) newItem() (Item, bool) {
	g.number++
	item := Item{
		Number:       g.number,
		At:           g.at,
		WorkspaceKey: g.workspaceKey(),
		Target:       g.number % len(g.scenario.Targets),
	}
	if g.random.Float64() < g.scenario.Calls.Share {
		g.fillCall(&item)
		return item, true
	}
	g.fillPrompt(&item)
	long := item.Prompt.Tokens >= g.scenario.LongTokens
	return item, !long || !g.phase.WithoutLong
}

// fillCall makes item a call of the plain service. A repeated POST is added to
// pending.
func (g *Generator) fillCall(item *Item) {
	calls := g.scenario.Calls
	item.Timeout = time.Duration(calls.Timeout)
	if g.random.Float64() >= calls.WriteShare {
		item.Kind, item.Group = Get, string(Get)
		return
	}
	item.Kind, item.Group = Post, string(Post)
	item.IdempotencyKey = fmt.Sprintf("%s%d", g.KeyPrefix(), item.Number)
	if g.random.Float64() < calls.RepeatShare {
		repeat := *item
		repeat.Target = (item.Target + 1) % len(g.scenario.Targets)
		g.pending = append(g.pending, repeat)
	}
}

// fillPrompt makes item a generation request.
func (g *Generator) fillPrompt(item *Item) {
	s := g.scenario
	weights := make([]float64, len(s.Prompts))
	for i, b := range s.Prompts {
		weights[i] = b.Share
	}
	b := s.Prompts[g.weightedIndex(weights)]
	item.Kind, item.Group = Generate, b.Name
	item.Timeout = time.Duration(b.Timeout)
	item.OutputTokens = b.OutputTokens
	item.Stream = g.random.Float64() < s.StreamShare
	item.Prompt = Prompt{Seed: g.random.Uint64(), Tokens: g.promptTokens(b)}
	if g.random.Float64() < s.Prefix.Share {
		item.Prompt.PrefixSeed = uint64(1 + g.random.IntN(s.Prefix.Count))
		item.Prompt.PrefixTokens = s.Prefix.Tokens
	}
}

// promptTokens draws a prompt length whose logarithm is uniformly distributed.
func (g *Generator) promptTokens(b scenario.Bucket) int {
	low, high := math.Log(float64(b.MinTokens)), math.Log(float64(b.MaxTokens))
	return int(math.Round(math.Exp(low + g.random.Float64()*(high-low))))
}

func (g *Generator) workspaceKey() string {
	weights := make([]float64, len(g.scenario.Workspaces))
	for i, w := range g.scenario.Workspaces {
		weights[i] = w.Share
	}
	return g.scenario.Workspaces[g.weightedIndex(weights)].Key
}

// weightedIndex draws an index with a probability proportional to its weight.
func (g *Generator) weightedIndex(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := g.random.Float64() * total
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
