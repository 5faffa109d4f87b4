package placement

import "math"

// Prefilling a part of a very long prompt makes the streams on its engine pause. The pauses
// that short prompts allow are so short that a stream beside such parts is late, and once it
// is, further parts beside it cost nothing more. A burst of long prompts would therefore make
// all streams of all engines late, and they would stay so into the next burst of short ones.
// So the engines at the front of their order, as many as the other prompts fill, take no parts
// of very long prompts.
const (
	// veryLongTokens is the prompt size from which on a prompt counts as very long.
	veryLongTokens = 100_000
	// frontFill is the fraction of the slots in the front that its jobs fill.
	frontFill = 0.9
	// behindFrontCost is the fraction of a job's value that an engine behind the front costs.
	behindFrontCost = 0.8
	// minBehindShare is the fraction of all engines that take very long prompts at least.
	minBehindShare = 0.12
)

// isVeryLong reports whether the job's prompt is prefilled behind the front only.
func (j *Job) isVeryLong() bool { return j.Prompt >= veryLongTokens }

// front returns the part of the engines' order, from 0 to 1 or more, that the jobs in flight
// need whose prompts are not very long.
func (pl *pool) front() float64 {
	engines := math.Ceil(float64(pl.frontJobs)/(frontFill*float64(max(pl.service.Engine.Slots, 1)))) + 1
	return engines / float64(max(len(pl.order), 1))
}

// behindFront returns the candidates behind the front, or the last ones if they are less
// than minBehindShare of all engines.
func behindFront(candidates []*member, front float64, engines int) []*member {
	behind := filter(candidates, func(m *member) bool { return m.position >= front })
	if least := int(math.Ceil(minBehindShare * float64(engines))); len(behind) < least {
		return candidates[max(0, len(candidates)-least):]
	}
	return behind
}
