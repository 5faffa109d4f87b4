package enginemodel

import "time"

// outlook collects what a look ahead finds.
type outlook struct {
	id    string
	first time.Time
}

// Bounds of a look ahead.
const (
	// maxPasses bounds the work of one look ahead.
	maxPasses = 32
	// minPasses are looked at even if the first token comes sooner, so that
	// pauses right after it count.
	minPasses = 3
)

// overrun is the part of the expected output that is taken to be still to come
// from a request that has sent about as much as was expected: the callers'
// estimates are often far off.
const overrun = 0.8

// Weights of lateness.
const (
	// LateLoss is the part of a request's value that is lost if it is late: the
	// users pay about a quarter for late answers.
	LateLoss = 0.75
	// marginStart is the part of an objective from which on lateness is likely
	// enough to count, since predictions are not exact.
	marginStart = 0.7
	// lateSlope lets those that are late already still be served sooner rather
	// than later.
	lateSlope = 0.05
	// soonSlope prefers the sooner of two answers in time.
	soonSlope = 0.02
)

// Lateness returns the part of a request's value that is expected to be lost if
// it needs ratio times its objective.
func Lateness(ratio float64) float64 {
	loss := soonSlope * min(ratio, 1)
	switch {
	case ratio >= 1:
		loss += LateLoss + lateSlope*min(ratio-1, 4)
	case ratio > marginStart:
		loss += LateLoss * (ratio - marginStart) / (1 - marginStart)
	}
	return loss
}

// Outlook predicts, without changing e, what the engine's requests lose by
// lateness until horizon, with extra added at now if it is given. It also returns
// when extra is ready: its first token, or the end of its part.
func (e *Engine) Outlook(extra *Work, now, horizon time.Time) (loss float64, ready time.Time) {
	e.Advance(now)
	c := Engine{model: e.model, now: e.now, end: e.end, idle: e.idle, waiting: e.waiting, run: e.run, pace: e.pace}
	c.sequences = append(e.scratch[:0], e.sequences...)
	defer func() { e.scratch = c.sequences[:0] }()
	for i := range c.sequences {
		s := &c.sequences[i]
		s.output = max(s.output, overrun*float64(s.Output))
	}
	var o outlook
	if extra != nil {
		o.id = extra.ID
		c.insert(*extra, now)
	}
	for pass := 0; pass < maxPasses && !c.idle; pass++ {
		if pass >= minPasses && c.now.After(horizon) && (extra == nil || !o.first.IsZero()) {
			break
		}
		c.finishPass(&o)
		c.dropFinished()
		c.startPass(c.end)
	}
	if extra != nil && o.first.IsZero() {
		o.first = c.now.Add(c.PendingPrefill())
	}
	return c.loss(), o.first
}

// dropFinished frees the slots of those that have sent all that is expected of
// them. They are still judged.
func (e *Engine) dropFinished() {
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.decoding && s.output <= 0 {
			s.released, s.decoding, s.admitted = true, false, false
		}
	}
}

// loss sums what the requests of e are expected to lose.
func (e *Engine) loss() float64 {
	sum := 0.0
	for i := range e.sequences {
		s := &e.sequences[i]
		if s.Value == 0 {
			continue
		}
		ratio := 0.0
		if s.MaxPause > 0 {
			ratio = s.worst
		}
		if aim := s.FirstBy.Sub(s.Start); aim > 0 {
			first := s.first
			if first.IsZero() {
				first = e.now.Add(e.PendingPrefill())
			}
			if first.Before(s.ReadyBy) {
				first = s.ReadyBy
			}
			ratio = max(ratio, float64(first.Sub(s.Start))/float64(aim))
		}
		sum += s.Value * Lateness(ratio)
	}
	return sum
}
