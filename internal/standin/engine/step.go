package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// chunk is the part of a prompt that one step computes.
type chunk struct {
	stream *stream
	tokens int
}

// step is one unit of the engine's work.
type step struct {
	duration time.Duration
	chunks   []chunk
	decodes  []*stream
}

// plan expires what is over, admits streams to memory and chooses the next step.
// It returns nil if there is nothing to compute.
func (e *Engine) plan(now time.Time) *step {
	e.expire(now)
	ordered := e.ordered()
	e.admit(ordered)
	st := &step{}
	budget := e.settings.ChunkTokens
	resident := 0
	for _, s := range ordered {
		if s.phase == queued {
			continue
		}
		resident += s.computed + s.position - s.req.Start
		if s.phase == decoding {
			st.decodes = append(st.decodes, s)
			continue
		}
		if n := min(budget, s.prompt-s.computed); n > 0 {
			st.chunks = append(st.chunks, chunk{s, n})
			budget -= n
		}
	}
	if len(st.chunks)+len(st.decodes) == 0 {
		return nil
	}
	set := e.settings
	st.duration = set.scaled(set.StepBase +
		time.Duration(set.ChunkTokens-budget)*set.PerPromptToken +
		time.Duration(len(st.decodes))*set.PerStream +
		time.Duration(resident)*set.PerResidentToken)
	return st
}

// ordered returns the unfinished streams by priority and arrival.
func (e *Engine) ordered() []*stream {
	all := make([]*stream, 0, len(e.active))
	for s := range e.active {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(a.order, b.order))
	})
	return all
}

// admit gives memory to queued streams in order and stops at the first that
// does not fit, so that a long prompt is not starved.
func (e *Engine) admit(ordered []*stream) {
	inMemory := 0
	for _, s := range ordered {
		if s.phase != queued {
			inMemory++
		}
	}
	for _, s := range ordered {
		if s.phase != queued {
			continue
		}
		if inMemory >= e.settings.MaxStreams || !e.allocate(s) {
			return
		}
		inMemory++
	}
}

// allocate gives s the memory of its prompt and answer, less the blocks that
// are cached. At least one prompt token is always computed.
func (e *Engine) allocate(s *stream) bool {
	matched := min(e.memory.match(s.req.Blocks), (s.prompt-1)/upstream.BlockTokens)
	cached := s.req.Blocks[:matched]
	need := s.req.tokens() - matched*upstream.BlockTokens
	if s.reserved != nil {
		need = 0
	}
	e.memory.ref(cached)
	if !e.memory.allocate(need) {
		e.memory.unref(cached)
		return false
	}
	s.private = need
	s.shared = append([]string(nil), cached...)
	s.cached = matched * upstream.BlockTokens
	s.computed = s.cached
	s.phase = prefilling
	s.started = true
	s.record.Starts++
	s.record.CachedTokens += s.cached
	s.notify()
	return true
}

// complete applies a step that has taken its time.
func (e *Engine) complete(now time.Time, st *step) {
	for _, c := range st.chunks {
		if c.stream.phase == prefilling {
			e.prefilled(c)
		}
	}
	for _, s := range st.decodes {
		if s.phase == decoding {
			e.decoded(now, s)
		}
	}
	e.changed(now)
}

func (e *Engine) prefilled(c chunk) {
	s := c.stream
	s.computed += c.tokens
	s.record.ComputedTokens += c.tokens
	e.record.computed += int64(c.tokens)
	if s.computed < s.prompt {
		return
	}
	s.phase = decoding
	if s.reserved == nil {
		e.shareBlocks(s)
	}
}

// shareBlocks makes the whole prefix blocks of s available to other streams.
func (e *Engine) shareBlocks(s *stream) {
	whole := min(len(s.req.Blocks), s.prompt/upstream.BlockTokens)
	if whole <= len(s.shared) {
		return
	}
	fresh := s.req.Blocks[len(s.shared):whole]
	e.memory.share(fresh)
	s.private -= len(fresh) * upstream.BlockTokens
	s.shared = append(s.shared, fresh...)
}

func (e *Engine) decoded(now time.Time, s *stream) {
	if s.position < s.req.MaxTokens {
		s.position++
		s.record.GeneratedTokens++
		e.record.generated++
	}
	if s.position >= s.req.MaxTokens {
		e.finish(now, s, nil)
		return
	}
	s.notify()
}
