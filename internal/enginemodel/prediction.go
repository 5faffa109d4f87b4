package enginemodel

import "time"

// prediction records when one request is ready during a prediction.
type prediction struct {
	id string
	// first is when the first token is sent, or the part is ready.
	first time.Time
}

// Bounds of a prediction.
const (
	// maxPasses bounds the processor time of one prediction.
	maxPasses = 32
	// minPasses is the minimum number of predicted passes, so that pauses right after
	// the first token count.
	minPasses = 3
)

// minOutputLeft is the fraction of the expected output that a prediction assumes to be
// outstanding at least: the callers' estimates are often far off, so a request that
// has sent about as much as was expected may still send more.
const minOutputLeft = 0.8

// Weights of lateness.
const (
	// LateCost is the fraction of a request's value that is lost if it is late: the
	// users pay about a quarter for late answers.
	LateCost = 0.75
	// marginStart is the fraction of an objective from which on lateness is likely
	// enough to count, because predictions are not exact.
	marginStart = 0.7
	// lateSlope prefers the earlier of two late answers.
	lateSlope = 0.05
	// inTimeSlope prefers the earlier of two answers in time.
	inTimeSlope = 0.02
)

// LatenessCost returns the cost of lateness: the fraction of a request's value that is
// expected to be lost if it takes ratio times its objective.
func LatenessCost(ratio float64) float64 {
	cost := inTimeSlope * min(ratio, 1)
	switch {
	case ratio >= 1:
		cost += LateCost + lateSlope*min(ratio-1, 4)
	case ratio > marginStart:
		cost += LateCost * (ratio - marginStart) / (1 - marginStart)
	}
	return cost
}

// Predict advances e to now and predicts from there, on a copy, the value that the
// engine's requests lose by lateness until about horizon, with extra added at now if it
// is given. It also returns when extra is ready: its first token, or the end of its part.
func (e *Engine) Predict(extra *Work, now, horizon time.Time) (cost float64, ready time.Time) {
	e.Advance(now)
	c := Engine{model: e.model, start: e.start, end: e.end, idle: e.idle, waiting: e.waiting, prefillOnly: e.prefillOnly, speedFactor: e.speedFactor}
	c.sequences = append(e.scratch[:0], e.sequences...)
	defer func() { e.scratch = c.sequences[:0] }()
	for i := range c.sequences {
		s := &c.sequences[i]
		sent := float64(s.Output) - s.outputLeft
		s.outputLeft = max(s.outputLeft, minOutputLeft*float64(s.Output))
		if sent > float64(s.Output) {
			s.outputLeft = max(s.outputLeft, s.Tail*sent)
		}
	}
	var o prediction
	if extra != nil {
		o.id = extra.ID
		c.insert(*extra, now)
	}
	for pass := 0; pass < maxPasses && !c.idle; pass++ {
		if pass >= minPasses && c.start.After(horizon) && (extra == nil || !o.first.IsZero()) {
			break
		}
		c.finishPass(&o)
		c.releaseFinished()
		c.startPass(c.end)
	}
	if extra != nil && o.first.IsZero() {
		o.first = c.start.Add(c.PendingPrefill())
	}
	return c.cost(), o.first
}

// releaseFinished frees the slots of requests that have sent all expected output.
// Their lateness still counts.
func (e *Engine) releaseFinished() {
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.decoding && s.outputLeft <= 0 {
			s.released, s.decoding, s.admitted = true, false, false
		}
	}
}

// cost returns the value that the requests of e are expected to lose by lateness.
func (e *Engine) cost() float64 {
	sum := 0.0
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.Value == 0 {
			continue
		}
		ratio := 0.0
		if s.MaxPause > 0 {
			ratio = s.worstPause
		}
		if objective := s.FirstBy.Sub(s.Start); objective > 0 {
			first := s.first
			if first.IsZero() {
				first = e.start.Add(e.PendingPrefill())
			}
			if first.Before(s.ReadyBy) {
				first = s.ReadyBy
			}
			ratio = max(ratio, float64(first.Sub(s.Start))/float64(objective))
		}
		sum += s.Value * LatenessCost(ratio)
	}
	return sum
}
