package placement

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// work returns the job's work on the engine that decodes. That engine prefills the
// given number of tokens; helpers prefill the rest.
func (j *Job) work(tokens int, now time.Time) enginemodel.Work {
	start := now.Add(-j.Waited)
	share := 1.0
	if j.Prompt > 0 {
		share = float64(tokens) / float64(j.Prompt)
	}
	tail := 0.0
	if j.expect > 0 {
		tail = learnedTail
	}
	return enginemodel.Work{
		Tail:     tail,
		ID:       j.ID,
		Tokens:   tokens,
		Pairs:    share * enginemodel.Pairs(j.Prompt),
		Output:   max(j.expectedOutput(), 1),
		Context:  j.Prompt,
		Memory:   j.Prompt + j.expectedOutput(),
		Start:    start,
		FirstBy:  start.Add(j.FirstAnswer),
		MaxPause: j.MaxPause,
		Value:    j.value(),
	}
}

// tokens returns the KV memory, in tokens, that engines require for the job.
func (j *Job) tokens() int { return j.Prompt + max(j.Output, j.MaxOutput) }

// part returns the work of a helper that prefills the given number of tokens.
func (j *Job) part(tokens int) enginemodel.Work {
	return enginemodel.Work{
		ID:     j.ID,
		Tokens: tokens,
		Pairs:  float64(tokens) / float64(j.Prompt) * enginemodel.Pairs(j.Prompt),
		Part:   true,
		Joint:  true,
	}
}

// placedWork is the work of a job on one engine.
type placedWork struct {
	upstream string
	work     enginemodel.Work
}

// works returns the work that a decision causes on each of its engines.
func (pl *pool) works(j *Job, d Decision, now time.Time) []placedWork {
	size := 1 + len(d.Helpers)
	tokens := (j.Prompt + size - 1) / size
	first := j.work(tokens, now)
	first.Urgency = d.Urgency
	first.NotBefore = now.Add(d.Expect)
	first.Joint = size > 1
	if size == 1 {
		first.NotBefore = time.Time{}
	}
	list := []placedWork{{d.Upstream, first}}
	for _, h := range d.Helpers {
		w := j.part(tokens)
		// A late part makes the whole prompt late.
		w.Start, w.FirstBy, w.ReadyBy, w.Value = first.Start, first.FirstBy, first.NotBefore, first.Value
		w.Memory = h.ReservedTokens
		list[0].work.Memory -= h.ReservedTokens
		list = append(list, placedWork{h.Upstream, w})
	}
	return list
}
