package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// team finds the best set of engines that compute the prompt together. Where the
// cheapest engines have no memory for it, those with the most free memory are tried.
func (p *Planner) team(model *enginemodel.Model, candidates []*member, j *Job, now time.Time) (proposal, bool) {
	var best proposal
	found := false
	idle := leastWork(model, candidates, teamShortlist, 0, now)
	for i, size := range teamSizes {
		if size > len(idle) || i > 0 && j.Prompt/size < minPart {
			break
		}
		if t, ok := p.teamOf(size, model, idle, j, now); ok && (!found || t.cost < best.cost) {
			best, found = t, true
		}
	}
	if largest := teamSizes[len(teamSizes)-1]; !found && len(candidates) > largest {
		return p.teamOf(largest, model, withMostMemory(candidates, largest), j, now)
	}
	return best, found
}

// withMostMemory returns the n candidates with the most free memory.
func withMostMemory(candidates []*member, n int) []*member {
	list := slices.Clone(candidates)
	slices.SortStableFunc(list, func(a, b *member) int { return cmp.Compare(b.engine.FreeTokens(), a.engine.FreeTokens()) })
	return list[:n]
}

// teamOf finds the best set of a size.
func (p *Planner) teamOf(size int, model *enginemodel.Model, candidates []*member, j *Job, now time.Time) (proposal, bool) {
	part := (j.Prompt + size - 1) / size
	options := p.options(model, candidates, j, j.part(part), now)
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(a.cost+j.lossByLateness(a.ready, now), b.cost+j.lossByLateness(b.ready, now))
	})
	options = options[:size]
	var t proposal
	for _, o := range options {
		t.cost += o.cost
		t.ready = maxTime(t.ready, o.ready)
	}
	t.cost += j.lossByLateness(t.ready, now) + j.lossByLeaving(model, t.ready, now)
	d, ok := assign(options, j)
	t.decision = d
	return t, ok
}

// assign makes the engine with the most free memory the first, and reserves
// memory at helpers for what does not fit there.
func assign(options []option, j *Job) (Decision, bool) {
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.free, a.free) })
	d := Decision{Upstream: options[0].member.upstream.ID, Urgency: urgencyOf(j)}
	rest := j.tokens() - options[0].free
	for _, o := range options[1:] {
		part := Part{Upstream: o.member.upstream.ID}
		if rest > 0 && o.free > reserveSlack {
			part.ReservedTokens = min(o.free, rest+reserveSlack)
			rest -= part.ReservedTokens - reserveSlack
		}
		d.Helpers = append(d.Helpers, part)
	}
	return d, rest <= 0
}
