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
	// Generate asks a model for an answer.
	Generate Kind = "generate"
	// Get is an idempotent call of a plain service.
	Get Kind = "get"
	// Post is a call that is not idempotent.
	Post Kind = "post"
)

// Item is one request of a run.
type Item struct {
	// Number counts items from 1.
	Number int
	Kind   Kind
	// At is when the request is sent, from the start of the phase.
	At time.Duration
	// Group is the bucket's name, or the kind of a call.
	Group string
	// Key is the workspace's key.
	Key string
	// Target is the index of the instance.
	Target  int
	Timeout time.Duration
	// Prompt, Output and Stream belong to Generate.
	Prompt Prompt
	Output int
	Stream bool
	// IdempotencyKey belongs to Post.
	IdempotencyKey string
}

// Generator makes the items of a run.
type Generator struct {
	scenario *scenario.Scenario
	random   *rand.Rand
	// run tells the idempotency keys of one run from those of others.
	run     string
	number  int
	pending []Item
	at      time.Duration
	phase   scenario.Phase
}

// New returns a generator. Run must differ between runs against the same
// services.
func New(s *scenario.Scenario, run string) *Generator {
	return &Generator{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0)), run: run}
}

// KeyPrefix begins each idempotency key of the run.
func (g *Generator) KeyPrefix() string { return "load-" + g.run + "-" }

// Begin starts a phase.
func (g *Generator) Begin(p scenario.Phase) {
	g.phase = p
	g.at = 0
	g.pending = nil
}

// Next returns the next item of the phase, or false at its end. Items come in
// order of their time.
func (g *Generator) Next() (Item, bool) {
	for {
		if len(g.pending) > 0 {
			item := g.pending[0]
			g.pending = g.pending[1:]
			return item, true
		}
		g.at += g.gap()
		if g.at >= time.Duration(g.phase.Duration) {
			return Item{}, false
		}
		item, ok := g.draw()
		if !ok {
			continue
		}
		return item, true
	}
}

// gap draws the time between two arrivals of the Poisson process.
func (g *Generator) gap() time.Duration {
	rate := g.scenario.RequestsPerSecond * g.phase.Load
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// draw makes the item that arrives now. It returns false for a prompt that the
// phase leaves out.
func (g *Generator) draw() (Item, bool) {
	g.number++
	item := Item{
		Number: g.number,
		At:     g.at,
		Key:    g.workspace(),
		Target: g.number % len(g.scenario.Targets),
	}
	if g.random.Float64() < g.scenario.Calls.Share {
		g.drawCall(&item)
		return item, true
	}
	g.drawPrompt(&item)
	long := item.Prompt.Tokens >= g.scenario.LongTokens
	return item, !long || !g.phase.WithoutLong
}

func (g *Generator) drawCall(item *Item) {
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

func (g *Generator) drawPrompt(item *Item) {
	s := g.scenario
	weights := make([]float64, len(s.Prompts))
	for i, b := range s.Prompts {
		weights[i] = b.Share
	}
	b := s.Prompts[g.pick(weights)]
	item.Kind, item.Group = Generate, b.Name
	item.Timeout = time.Duration(b.Timeout)
	item.Output = b.OutputTokens
	item.Stream = g.random.Float64() < s.StreamShare
	item.Prompt = Prompt{Seed: g.random.Uint64(), Tokens: g.length(b)}
	if g.random.Float64() < s.Prefix.Share {
		item.Prompt.PrefixSeed = uint64(1 + g.random.IntN(s.Prefix.Count))
		item.Prompt.PrefixTokens = s.Prefix.Tokens
	}
}

// length draws a length that is even over its logarithm.
func (g *Generator) length(b scenario.Bucket) int {
	low, high := math.Log(float64(b.MinTokens)), math.Log(float64(b.MaxTokens))
	return int(math.Round(math.Exp(low + g.random.Float64()*(high-low))))
}

func (g *Generator) workspace() string {
	weights := make([]float64, len(g.scenario.Workspaces))
	for i, w := range g.scenario.Workspaces {
		weights[i] = w.Share
	}
	return g.scenario.Workspaces[g.pick(weights)].Key
}

// pick draws an index with a probability in proportion to its weight.
func (g *Generator) pick(weights []float64) int {
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
