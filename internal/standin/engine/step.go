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

// step is one forward pass of the engine.
type step struct {
	duration time.Duration
	chunks   []chunk
	decodes  []*stream
}

// plan expires streams and holds, admits queued streams to memory and returns the
// next step, or nil if there is nothing to compute.
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
	settings := e.settings
	st.duration = settings.scaled(settings.StepBase +
		time.Duration(settings.ChunkTokens-budget)*settings.PerPromptToken +
		time.Duration(len(st.decodes))*settings.PerStream +
		time.Duration(resident)*settings.PerResidentToken)
	return st
}

// ordered returns the unfinished streams sorted by priority, then arrival.
func (e *Engine) ordered() []*stream {
	all := make([]*stream, 0, len(e.active))
	for s := range e.active {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return all
}

// admit allocates memory to queued streams in order and stops at the first that
// does not fit, so that long prompts don't starve.
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

// allocate allocates memory for the prompt and answer of s, except for cached
// blocks. At least one prompt token is always computed.
func (e *Engine) allocate(s *stream) bool {
	matched := min(e.memory.match(s.req.Blocks), (s.prompt-1)/upstream.BlockTokens)
	cached := s.req.Blocks[:matched]
	need := s.req.tokens() - matched*upstream.BlockTokens
	if s.reservation != nil {
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

// complete applies the results of a step whose duration has passed.
func (e *Engine) complete(now time.Time, st *step) {
	for _, c := range st.chunks {
		if c.stream.phase == prefilling {
			e.applyPrefill(c)
		}
	}
	for _, s := range st.decodes {
		if s.phase == decoding {
			e.applyDecode(now, s)
		}
	}
	e.recordLoad(now)
}

// applyPrefill adds a computed chunk to its stream, which decodes once the full
// prompt is computed.
func (e *Engine) applyPrefill(c chunk) {
	s := c.stream
	s.computed += c.tokens
	s.record.ComputedTokens += c.tokens
	e.record.computed += int64(c.tokens)
	if s.computed < s.prompt {
		return
	}
	s.phase = decoding
	if s.reservation == nil {
		e.shareBlocks(s)
	}
}

// shareBlocks adds the full prefix blocks of s to the prefix cache.
func (e *Engine) shareBlocks(s *stream) {
	full := min(len(s.req.Blocks), s.prompt/upstream.BlockTokens)
	if full <= len(s.shared) {
		return
	}
	added := s.req.Blocks[len(s.shared):full]
	e.memory.share(added)
	s.private -= len(added) * upstream.BlockTokens
	s.shared = append(s.shared, added...)
}

// applyDecode adds one generated token to s and finishes it after the last one.
func (e *Engine) applyDecode(now time.Time, s *stream) {
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
