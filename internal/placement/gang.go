package placement

import (
	"cmp"
	"slices"
)

// gang finds the best gang of engines for the prompt. If the engines with the least
// work lack the memory for it, those with the most free memory are tried.
func (s *search) gang() (proposal, bool) {
	var best proposal
	found := false
	idle := s.leastWork(s.candidates, maxGangShortlist)
	for i, size := range gangSizes {
		if size > len(idle) || i > 0 && s.job.Prompt/size < minPartTokens {
			break
		}
		if g, ok := s.gangOf(size, idle); ok && (!found || g.cost < best.cost) {
			best, found = g, true
		}
	}
	if largest := gangSizes[len(gangSizes)-1]; !found && len(s.candidates) > largest {
		return s.gangOf(largest, withMostMemory(s.candidates, largest))
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
func (s *search) gangOf(size int, candidates []*member) (proposal, bool) {
	j, now := s.job, s.now
	part := (j.Prompt + size - 1) / size
	options := s.options(candidates, j.part(part))
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(a.cost+j.latenessCost(a.ready, now), b.cost+j.latenessCost(b.ready, now))
	})
	options = options[:size]
	var g proposal
	for _, o := range options {
		g.cost += o.cost
		g.ready = latest(g.ready, o.ready)
	}
	g.cost += j.latenessCost(g.ready, now) + j.abandonmentCost(s.model, g.ready, now)
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
