package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Work is the load that one request puts on one engine.
type Work struct {
	// ID identifies the request.
	ID string
	// Tokens is the number of prompt tokens that this engine prefills.
	Tokens int
	// Pairs is this engine's share of the prompt's attention pairs.
	Pairs float64
	// Output is the expected number of output tokens; 0 for a helper.
	Output int
	// Tail is the part of the output sent so far that a prediction assumes to follow at least,
	// once more was sent than expected; 0 if only the expected output counts.
	Tail float64
	// Context is the number of context tokens that each decoding step reads here.
	Context int
	// Part reports whether this engine is a helper and another one decodes; the work
	// then needs no slot.
	Part bool
	// Joint reports whether several engines prefill the prompt. Engines process such
	// work before whole prompts, also those already begun, and the newest of it first.
	Joint bool
	// Memory is the KV memory of the request here, in tokens.
	Memory int
	// Urgency orders admission to slots; lower goes first.
	Urgency int
	// NotBefore is when the helpers' parts are ready; the first token cannot be sent
	// earlier.
	NotBefore time.Time
	// FirstBy and MaxPause are the objectives for the first token and for the
	// pauses after it; zero means none.
	FirstBy time.Time
	// Start is when the request arrived.
	Start    time.Time
	MaxPause time.Duration
	// Value is the value of the request if it is answered in time, in any unit.
	Value float64
	// ReadyBy is when the whole prompt was expected to be ready: a part that is ready
	// earlier gains nothing.
	ReadyBy time.Time
}

// sequence is the predicted state of a Work.
type sequence struct {
	Work
	promptLeft float64 // prompt tokens still to prefill
	pairsLeft  float64 // attention pairs still to compute
	passTokens float64 // prompt tokens of the current pass
	outputLeft float64 // output tokens still expected
	// admitted reports whether the sequence has a slot, or needs none.
	admitted bool
	decoding bool
	// released reports whether all expected output was sent and the slot was freed.
	released bool
	// worstPause is the longest pause so far as a multiple of MaxPause.
	worstPause float64
	// first is the predicted time of the first token, or of the end of a part.
	first time.Time
}

// Engine predicts the state of one engine from the work placed there. It is not safe
// for concurrent use.
type Engine struct {
	model     *Model
	sequences []sequence
	// start and end bound the current pass.
	start, end time.Time
	idle       bool
	// waiting reports whether the current pass only waits for parts at other engines.
	waiting bool
	// prefillOnly reports whether the current pass is a series of steps without
	// decoders.
	prefillOnly bool
	// version changes with each change of the work.
	version uint64
	// scratch is a buffer reused by predictions.
	scratch []sequence
	// speedFactor is the observed time over the predicted time; over 1 is slow.
	speedFactor float64
}

// NewEngine returns an idle engine.
func NewEngine(m *Model) *Engine { return &Engine{model: m, idle: true, speedFactor: 1} }

// SetModel replaces the cost model.
func (e *Engine) SetModel(m *Model) { e.model = m }

// SpeedFactor returns the speed factor: the observed time over the predicted time.
func (e *Engine) SpeedFactor() float64 { return e.speedFactor }

// SetSpeedFactor sets the speed factor: the observed time over the predicted time.
func (e *Engine) SetSpeedFactor(factor float64) { e.speedFactor = factor }

// Version returns a number that changes with each change of the work.
func (e *Engine) Version() uint64 { return e.version }

// UsedTokens returns the KV memory in use. Requests that wait for a slot use none.
func (e *Engine) UsedTokens() int {
	used := 0
	for i := range e.sequences {
		if s := &e.sequences[i]; s.admitted || s.Part {
			used += s.Memory
		}
	}
	return used
}

// FreeTokens returns the free KV memory.
func (e *Engine) FreeTokens() int { return e.model.MemoryTokens - e.UsedTokens() }

// Requests returns the number of requests that decode here or will do so.
func (e *Engine) Requests() int {
	n := 0
	for i := range e.sequences {
		if !e.sequences[i].Part {
			n++
		}
	}
	return n
}

// PendingPrefill returns the time that the outstanding prefill takes.
func (e *Engine) PendingPrefill() time.Duration {
	var sum time.Duration
	for i := range e.sequences {
		s := &e.sequences[i]
		sum += e.model.PrefillTime(int(s.promptLeft), s.pairsLeft)
	}
	return time.Duration(float64(sum) * e.speedFactor)
}

// Add adds work that arrives at the engine at now.
func (e *Engine) Add(w Work, now time.Time) {
	e.Advance(now)
	e.version++
	e.insert(w, now)
}

// insert adds work at now; the prediction must have been advanced to now.
func (e *Engine) insert(w Work, now time.Time) {
	e.sequences = append(e.sequences, newSequence(w))
	if e.idle || e.waiting {
		e.startPass(now)
	} else {
		e.truncatePass(now)
	}
}

// newSequence returns the state of a Work that has not begun.
func newSequence(w Work) sequence {
	return sequence{Work: w, promptLeft: float64(w.Tokens), pairsLeft: w.Pairs, outputLeft: float64(w.Output)}
}

// Remove ends a request.
func (e *Engine) Remove(id string, now time.Time) {
	e.Advance(now)
	e.version++
	e.truncatePass(now)
	e.sequences = slices.DeleteFunc(e.sequences, func(s sequence) bool { return s.ID == id })
}

// FirstToken corrects the prediction: the request's first token was sent at now. It
// returns the time predicted for it, or zero if the prediction has not reached it.
func (e *Engine) FirstToken(id string, now time.Time) time.Time {
	e.Advance(now)
	e.version++
	e.truncatePass(now)
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.ID != id {
			continue
		}
		predicted := s.first
		s.promptLeft, s.pairsLeft, s.passTokens = 0, 0, 0
		s.decoding = !s.Part
		if s.first.IsZero() {
			s.first = now
		}
		return predicted
	}
	return time.Time{}
}

// Advance advances the prediction to now.
func (e *Engine) Advance(now time.Time) {
	for !e.idle && !e.end.After(now) {
		e.finishPass(nil)
		e.startPass(e.end)
	}
}

// PassEnd returns when the current pass ends; ok is false for an idle engine.
func (e *Engine) PassEnd() (end time.Time, ok bool) { return e.end, !e.idle }

// Progress is the predicted progress of a request.
type Progress struct {
	ID string
	// First is when the first token was sent, or a part was ready; zero before.
	First time.Time
	// WorstPause is the longest pause so far as a multiple of MaxPause.
	WorstPause float64
	// OutputLeft is the number of output tokens still expected.
	OutputLeft float64
	Part       bool
}

// Each calls f for each request of the engine.
func (e *Engine) Each(f func(Progress)) {
	for i := range e.sequences {
		s := &e.sequences[i]
		f(Progress{ID: s.ID, First: s.first, WorstPause: s.worstPause, OutputLeft: s.outputLeft, Part: s.Part})
	}
}

// PartsReady records that the helpers' parts of a request are ready.
func (e *Engine) PartsReady(id string, now time.Time) {
	for i := range e.sequences {
		if s := &e.sequences[i]; s.ID == id {
			s.NotBefore = now
		}
	}
	if e.waiting {
		e.startPass(now)
	} else {
		e.truncatePass(now)
	}
}

// startPass predicts the pass that begins at t. Without decoders a pass is a series
// of steps that prefill one prompt; it is truncated when the work changes.
func (e *Engine) startPass(t time.Time) {
	e.start, e.waiting, e.prefillOnly = t, false, false
	e.admit()
	decoding, context := e.decoders()
	budget := math.MaxInt
	if decoding > 0 {
		budget = e.model.Stride * e.model.Chunk
	}
	prefill := e.schedulePrefill(decoding > 0, budget)
	if decoding == 0 && prefill == 0 && !e.anyReady(t) {
		e.waitOrIdle(t)
		return
	}
	steps := float64(e.model.Stride)
	if decoding == 0 {
		steps = e.stepsFor(e.passTokens())
	}
	step := float64(e.model.Step) + float64(decoding)*float64(e.model.StepPerSequence) +
		context/1000*float64(e.model.StepPerContext)
	e.idle = false
	e.end = t.Add(e.span(steps*step + prefill))
	e.prefillOnly = decoding == 0 && prefill > 0
	for i := range e.sequences {
		if s := &e.sequences[i]; s.waitsForParts() && s.NotBefore.After(t) {
			e.truncatePass(s.NotBefore)
		}
	}
}

// stepsFor returns the number of steps that prefill the tokens if nothing decodes.
func (e *Engine) stepsFor(tokens float64) float64 {
	return math.Ceil(tokens / float64(max(e.model.Chunk, 1)))
}

// span scales predicted nanoseconds by the engine's speed factor.
func (e *Engine) span(predicted float64) time.Duration {
	return max(time.Duration(predicted*e.speedFactor), minPassTime)
}

// truncatePass ends a series of prefill steps after the step in progress at t, so that
// the next step takes a change of the work into account.
func (e *Engine) truncatePass(t time.Time) {
	if !e.prefillOnly || !t.Before(e.end) {
		return
	}
	current := slices.IndexFunc(e.sequences, func(s sequence) bool { return s.passTokens > 0 })
	if current < 0 {
		return
	}
	s := &e.sequences[current]
	whole, end := s.passTokens, e.end
	steps := e.stepsFor(whole)
	for n := max(1, math.Floor(steps*float64(t.Sub(e.start))/float64(end.Sub(e.start)))); n < steps; n++ {
		s.passTokens = n * float64(e.model.Chunk)
		e.end = e.start.Add(e.span(n*float64(e.model.Step) + e.prefill(s)))
		if e.end.After(t) {
			return
		}
	}
	s.passTokens, e.end = whole, end
}

// waitsForParts reports whether the sequence only waits for helpers' parts.
func (s *sequence) waitsForParts() bool {
	return s.admitted && s.promptLeft <= 0 && s.first.IsZero() && !s.Part
}

// anyReady reports whether the helpers' parts of a request are ready at t, so that its
// first token needs only one more step.
func (e *Engine) anyReady(t time.Time) bool {
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.waitsForParts() && !s.NotBefore.After(t) {
			return true
		}
	}
	return false
}

// minPassTime ensures that a prediction advances even if all times of the model are 0.
const minPassTime = 100 * time.Microsecond

// waitOrIdle handles a pass without work: the engine is idle or waits for helpers'
// parts.
func (e *Engine) waitOrIdle(t time.Time) {
	e.idle = true
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.waitsForParts() && s.NotBefore.After(t) {
			if e.idle || s.NotBefore.Before(e.end) {
				e.end = s.NotBefore
			}
			e.idle, e.waiting = false, true
		}
	}
}

// admit assigns free slots to the most urgent requests, those of equal urgency in
// the order of their arrival.
func (e *Engine) admit() {
	free := e.model.Slots
	waiting := false
	for i := range e.sequences {
		s := &e.sequences[i]
		switch {
		case s.Part:
			s.admitted = true
		case s.admitted:
			free--
		case !s.released:
			waiting = true
		}
	}
	for waiting && free > 0 {
		best := -1
		for i := range e.sequences {
			s := &e.sequences[i]
			if !s.admitted && !s.released && (best < 0 || s.Urgency < e.sequences[best].Urgency) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		e.sequences[best].admitted = true
		free--
	}
}

// decoders returns the number of decoding sequences and the sum of their context.
func (e *Engine) decoders() (n int, context float64) {
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.decoding {
			n++
			context += float64(s.Context)
		}
	}
	return n, context
}

// schedulePrefill distributes up to budget tokens of the pass among the prompts, joint
// ones first, and returns their prefill time in nanoseconds. Without decoders the pass
// ends with the first prompt.
func (e *Engine) schedulePrefill(decoding bool, budget int) float64 {
	total := 0.0
	tokensLeft := float64(budget)
	for _, joint := range [2]bool{true, false} {
		for n := range e.sequences {
			i := n
			if joint {
				i = len(e.sequences) - 1 - n // the newest first
			}
			s := &e.sequences[i]
			if s.Joint != joint {
				continue
			}
			s.passTokens = 0
			if !s.admitted || s.promptLeft <= 0 || tokensLeft <= 0 || !decoding && total > 0 {
				continue
			}
			s.passTokens = min(s.promptLeft, tokensLeft)
			tokensLeft -= s.passTokens
			total += e.prefill(s)
		}
	}
	return total
}

// prefill returns the prefill time of s in this pass in nanoseconds.
func (e *Engine) prefill(s *sequence) float64 {
	linear := s.passTokens / e.model.PrefillRate * float64(time.Second)
	return linear + s.passPairs()/1e6*float64(e.model.PairTime)
}

// passPairs returns the attention pairs of s in this pass. Later tokens have more
// pairs: their number grows with the square of the position in the prompt.
func (s *sequence) passPairs() float64 {
	if s.passTokens >= s.promptLeft || s.Tokens == 0 {
		return s.pairsLeft
	}
	done := float64(s.Tokens) - s.promptLeft
	whole := float64(s.Tokens) * float64(s.Tokens)
	share := ((done+s.passTokens)*(done+s.passTokens) - done*done) / whole
	return min(s.pairsLeft, share*s.Pairs)
}

// passTokens returns the prompt tokens of the current pass.
func (e *Engine) passTokens() float64 {
	sum := 0.0
	for i := range e.sequences {
		sum += e.sequences[i].passTokens
	}
	return sum
}

// finishPass applies the current pass. If the request of o is ready at its end, that
// is recorded in o, if given.
func (e *Engine) finishPass(o *prediction) {
	length := e.end.Sub(e.start)
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.decoding {
			s.outputLeft -= float64(e.model.Stride)
			if s.MaxPause > 0 {
				s.worstPause = max(s.worstPause, float64(length)/float64(s.MaxPause))
			}
			continue
		}
		if s.passTokens > 0 {
			s.pairsLeft -= s.passPairs()
			s.promptLeft -= s.passTokens
			s.passTokens = 0
		}
		if s.admitted && s.promptLeft <= 0 && s.first.IsZero() && !e.end.Before(s.NotBefore) {
			s.first = e.end
			s.decoding = !s.Part
			if o != nil && s.ID == o.id {
				o.first = s.first
			}
		}
	}
}
