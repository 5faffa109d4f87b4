package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Work is what one request asks of one engine.
type Work struct {
	// ID names the request.
	ID string
	// Tokens is how many prompt tokens this engine computes; Offset how many
	// come before them in the prompt.
	Tokens int
	// Pairs is this engine's share of the prompt's pairs.
	Pairs float64
	// Output is the expected number of output tokens; 0 for an engine that
	// only computes a part of the prompt.
	Output int
	// Context is what each decoding step reads here, in tokens.
	Context int
	// Part says that another engine decodes: the work needs no slot.
	Part bool
	// Joint says that several engines compute the prompt. Such work goes before
	// whole prompts, the newest first, also before what has begun.
	Joint bool
	// Memory is the KV memory of the request here, in tokens.
	Memory int
	// Urgency orders the wait for a slot; lower goes first.
	Urgency int
	// NotBefore is when the parts at other engines are ready.
	NotBefore time.Time
	// FirstBy and MaxPause are the objectives for the first token and for the
	// pauses after it; zero is none.
	FirstBy  time.Time
	Start    time.Time
	MaxPause time.Duration
	// Value is what the request is worth in time, in any unit.
	Value float64
	// ReadyBy is when the whole prompt was expected to be computed: a part that is
	// ready sooner gains nothing.
	ReadyBy time.Time
}

// sequence is a Work under way.
type sequence struct {
	Work
	left     float64 // prompt tokens still to compute
	pairs    float64 // pairs still to compute
	take     float64 // prompt tokens of the present pass
	output   float64 // output tokens still expected
	admitted bool
	decoding bool
	released bool
	// worst is the worst pause so far over MaxPause.
	worst float64
	// first is when the first token came, as predicted.
	first time.Time
}

// Engine predicts one engine from the work that is known to be there. It is not
// safe for concurrent use.
type Engine struct {
	model     *Model
	sequences []sequence
	// now is the start of the present pass, end its end.
	now, end time.Time
	idle     bool
	// waiting says that the present pass only waits for parts elsewhere.
	waiting bool
	// run says that the present pass is steps without decoders.
	run bool
	// version changes with each change of the work.
	version uint64
	// scratch is reused by predictions.
	scratch []sequence
	// pace is the observed time over the predicted time; over 1 is slow.
	pace float64
}

// NewEngine returns an idle engine.
func NewEngine(m *Model) *Engine { return &Engine{model: m, idle: true, pace: 1} }

// SetModel replaces the cost model.
func (e *Engine) SetModel(m *Model) { e.model = m }

// Pace returns the observed time over the predicted time.
func (e *Engine) Pace() float64 { return e.pace }

// SetPace sets the observed time over the predicted time.
func (e *Engine) SetPace(p float64) { e.pace = p }

// Version changes with each change of the work that is known here.
func (e *Engine) Version() uint64 { return e.version }

// UsedTokens returns the KV memory of the work that has it: requests that wait
// for a slot hold none.
func (e *Engine) UsedTokens() int {
	used := 0
	for i := range e.sequences {
		if s := &e.sequences[i]; s.admitted || s.Part {
			used += s.Memory
		}
	}
	return used
}

// FreeTokens returns the KV memory that is left.
func (e *Engine) FreeTokens() int { return e.model.MemoryTokens - e.UsedTokens() }

// Requests returns the number of requests that decode here or will.
func (e *Engine) Requests() int {
	n := 0
	for i := range e.sequences {
		if !e.sequences[i].Part {
			n++
		}
	}
	return n
}

// PendingPrefill returns the time that the prompts still to be computed take.
func (e *Engine) PendingPrefill() time.Duration {
	var sum time.Duration
	for i := range e.sequences {
		s := &e.sequences[i]
		sum += e.model.PrefillTime(int(s.left), s.pairs)
	}
	return time.Duration(float64(sum) * e.pace)
}

// Add adds work that arrives at now.
func (e *Engine) Add(w Work, now time.Time) {
	e.Advance(now)
	e.version++
	e.insert(w, now)
}

// insert adds work at now, which the prediction has reached.
func (e *Engine) insert(w Work, now time.Time) {
	e.sequences = append(e.sequences, newSequence(w))
	if e.idle || e.waiting {
		e.startPass(now)
	} else {
		e.cut(now)
	}
}

func newSequence(w Work) sequence {
	return sequence{Work: w, left: float64(w.Tokens), pairs: w.Pairs, output: float64(w.Output)}
}

// Remove ends a request.
func (e *Engine) Remove(id string, now time.Time) {
	e.Advance(now)
	e.version++
	e.cut(now)
	e.sequences = slices.DeleteFunc(e.sequences, func(s sequence) bool { return s.ID == id })
}

// FirstToken corrects the prediction: the request's first token came at now. It
// returns the predicted time of it, or zero if it was not predicted yet.
func (e *Engine) FirstToken(id string, now time.Time) time.Time {
	e.Advance(now)
	e.version++
	e.cut(now)
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.ID != id {
			continue
		}
		predicted := s.first
		s.left, s.pairs, s.take = 0, 0, 0
		s.decoding = !s.Part
		if s.first.IsZero() {
			s.first = now
		}
		return predicted
	}
	return time.Time{}
}

// Advance moves the prediction to now.
func (e *Engine) Advance(now time.Time) {
	for !e.idle && !e.end.After(now) {
		e.finishPass(nil)
		e.startPass(e.end)
	}
}

// PassEnd returns when the present pass ends; ok is false for an idle engine.
func (e *Engine) PassEnd() (end time.Time, ok bool) { return e.end, !e.idle }

// Progress is how far a request has come in the prediction.
type Progress struct {
	ID string
	// First is when the first token came, or a part was computed; zero before.
	First time.Time
	// WorstPause is the longest pause so far over the request's MaxPause.
	WorstPause float64
	// OutputLeft is the output tokens still expected.
	OutputLeft float64
	Part       bool
}

// Each calls f for each request that is known here.
func (e *Engine) Each(f func(Progress)) {
	for i := range e.sequences {
		s := &e.sequences[i]
		f(Progress{ID: s.ID, First: s.first, WorstPause: s.worst, OutputLeft: s.output, Part: s.Part})
	}
}

// PartsReady says that the parts of a request at other engines are computed.
func (e *Engine) PartsReady(id string, now time.Time) {
	for i := range e.sequences {
		if s := &e.sequences[i]; s.ID == id {
			s.NotBefore = now
		}
	}
	if e.waiting {
		e.startPass(now)
	} else {
		e.cut(now)
	}
}

// startPass plans the pass that begins at t. Without decoders a pass is a run of
// steps that read one prompt; it is cut where something changes.
func (e *Engine) startPass(t time.Time) {
	e.now, e.waiting, e.run = t, false, false
	e.admit()
	decoding, context := e.decoders()
	budget := math.MaxInt
	if decoding > 0 {
		budget = e.model.Stride * e.model.Chunk
	}
	prefill := e.takePrefill(decoding > 0, budget)
	if decoding == 0 && prefill == 0 && !e.anyReady(t) {
		e.waitOrIdle(t)
		return
	}
	steps := float64(e.model.Stride)
	if decoding == 0 {
		steps = e.stepsFor(e.taken())
	}
	step := float64(e.model.Step) + float64(decoding)*float64(e.model.StepPerSequence) +
		context/1000*float64(e.model.StepPerContext)
	e.idle = false
	e.end = t.Add(e.span(steps*step + prefill))
	e.run = decoding == 0 && prefill > 0
	for i := range e.sequences {
		if s := &e.sequences[i]; s.waitsForParts() && s.NotBefore.After(t) {
			e.cut(s.NotBefore)
		}
	}
}

// stepsFor returns the number of steps without decoders that read tokens.
func (e *Engine) stepsFor(tokens float64) float64 {
	return math.Ceil(tokens / float64(max(e.model.Chunk, 1)))
}

// span turns predicted nanoseconds into a time at the engine's pace.
func (e *Engine) span(predicted float64) time.Duration {
	return max(time.Duration(predicted*e.pace), minPass)
}

// cut ends a run of steps after the one that is under way at t: the next step
// deals with what has changed.
func (e *Engine) cut(t time.Time) {
	if !e.run || !t.Before(e.end) {
		return
	}
	reader := slices.IndexFunc(e.sequences, func(s sequence) bool { return s.take > 0 })
	if reader < 0 {
		return
	}
	s := &e.sequences[reader]
	whole, end := s.take, e.end
	steps := e.stepsFor(whole)
	for n := max(1, math.Floor(steps*float64(t.Sub(e.now))/float64(end.Sub(e.now)))); n < steps; n++ {
		s.take = n * float64(e.model.Chunk)
		e.end = e.now.Add(e.span(n*float64(e.model.Step) + e.prefill(s)))
		if e.end.After(t) {
			return
		}
	}
	s.take, e.end = whole, end
}

// waitsForParts states whether only parts at other engines are missing.
func (s *sequence) waitsForParts() bool {
	return s.admitted && s.left <= 0 && s.first.IsZero() && !s.Part
}

// anyReady states whether a request's parts have just become ready, so that its
// first token needs only a step.
func (e *Engine) anyReady(t time.Time) bool {
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.waitsForParts() && !s.NotBefore.After(t) {
			return true
		}
	}
	return false
}

// minPass keeps a prediction from standing still where the model has no times.
const minPass = 100 * time.Microsecond

// waitOrIdle handles a pass without work: the engine is idle, or only waits for
// parts at other engines.
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

// admit gives slots to the most urgent requests, equals in the order in which
// they came.
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

// decoders returns how many sequences decode and their context together.
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

// takePrefill deals up to budget tokens to the prompts, joint ones first, and
// returns the time that they take in nanoseconds. Without decoders the pass ends
// with the first prompt.
func (e *Engine) takePrefill(decoding bool, budget int) float64 {
	total := 0.0
	left := float64(budget)
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
			s.take = 0
			if !s.admitted || s.left <= 0 || left <= 0 || !decoding && total > 0 {
				continue
			}
			s.take = min(s.left, left)
			left -= s.take
			total += e.prefill(s)
		}
	}
	return total
}

// prefill returns the time in nanoseconds of what s takes in this pass.
func (e *Engine) prefill(s *sequence) float64 {
	read := s.take / e.model.PrefillRate * float64(time.Second)
	return read + s.pairsTaken()/1e6*float64(e.model.PairTime)
}

// pairsTaken returns the pairs of what s takes. Later tokens have more pairs, so
// the rest of a prompt loses them as the square.
func (s *sequence) pairsTaken() float64 {
	if s.take >= s.left || s.Tokens == 0 {
		return s.pairs
	}
	done := float64(s.Tokens) - s.left
	whole := float64(s.Tokens) * float64(s.Tokens)
	share := ((done+s.take)*(done+s.take) - done*done) / whole
	return min(s.pairs, share*s.Pairs)
}

func (e *Engine) taken() float64 {
	sum := 0.0
	for i := range e.sequences {
		sum += e.sequences[i].take
	}
	return sum
}

// finishPass applies the present pass and adds its events to o, if given.
func (e *Engine) finishPass(o *outlook) {
	length := e.end.Sub(e.now)
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.decoding {
			s.output -= float64(e.model.Stride)
			if s.MaxPause > 0 {
				s.worst = max(s.worst, float64(length)/float64(s.MaxPause))
			}
			continue
		}
		if s.take > 0 {
			s.pairs -= s.pairsTaken()
			s.left -= s.take
			s.take = 0
		}
		if s.admitted && s.left <= 0 && s.first.IsZero() && !e.end.Before(s.NotBefore) {
			s.first = e.end
			s.decoding = !s.Part
			if o != nil && s.ID == o.id {
				o.first = s.first
			}
		}
	}
}
