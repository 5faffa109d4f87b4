package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// gang finds the best gang of engines for a prompt. If the engines with the least
// work lack the memory for it, those with the most free memory are tried.
func (p *Planner) gang(model *enginemodel.Model, candidates []*member, j *Job, now time.Time) (proposal, bool) {
	var best proposal
	found := false
	idle := leastWork(model, candidates, maxGangShortlist, 0, now)
	for i, size := range gangSizes {
		if size > len(idle) || i > 0 && j.Prompt/size < minPartTokens {
			break
		}
		if g, ok := p.gangOf(size, model, idle, j, now); ok && (!found || g.cost < best.cost) {
			best, found = g, true
		}
	}
	if largest := gangSizes[len(gangSizes)-1]; !found && len(candidates) > largest {
		return p.gangOf(largest, model, withMostMemory(candidates, largest), j, now)
	}
	return best, found
}

// withMostMemory returns the n candidates with the most free memory.
func withMostMemory(candidates []*member, n int) []*member {
	list := slices.Clone(candidates)
	slices.SortStableFunc(list, func(a, b *member) int { return cmp.Compare(b.engine.FreeTokens(), a.engine.FreeTokens()) })
	return list[:n]
}

// gangOf finds the best gang of the given size.
func (p *Planner) gangOf(size int, model *enginemodel.Model, candidates []*member, j *Job, now time.Time) (proposal, bool) {
	part := (j.Prompt + size - 1) / size
	options := p.options(model, candidates, j, j.part(part), now)
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(a.cost+j.latenessCost(a.ready, now), b.cost+j.latenessCost(b.ready, now))
	})
	options = options[:size]
	var g proposal
	for _, o := range options {
		g.cost += o.cost
		g.ready = latest(g.ready, o.ready)
	}
	g.cost += j.latenessCost(g.ready, now) + j.abandonmentCost(model, g.ready, now)
	d, ok := assign(options, j)
	g.decision = d
	return g, ok
}

// assign chooses the engine with the most free memory to decode, and reserves
// memory at helpers for what does not fit there. It returns false if the gang's
// memory is too small.
func assign(options []option, j *Job) (Decision, bool) {
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.free, a.free) })
	d := Decision{Upstream: options[0].member.upstream.ID, Urgency: urgencyOf(j)}
	rest := j.tokens() - options[0].free
	for _, o := range options[1:] {
		part := Part{Upstream: o.member.upstream.ID}
		if rest > 0 && o.free > reserveSlackTokens {
			part.ReservedTokens = min(o.free, rest+reserveSlackTokens)
			rest -= part.ReservedTokens - reserveSlackTokens
		}
		d.Helpers = append(d.Helpers, part)
	}
	return d, rest <= 0
}
