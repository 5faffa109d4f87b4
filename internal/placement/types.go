package placement

import "time"

// Job is one attempt that needs a place. Times are spans, since instances share
// no clock.
type Job struct {
	_ struct{} `cbor:",toarray"`
	// ID is unique per attempt.
	ID string
	// Owner is the instance that holds the caller's connection.
	Owner   string
	Service string
	// Prompt and Output are token counts; zero for a plain service.
	Prompt int
	Output int
	// MaxOutput is the most output tokens that the caller takes. Engines refuse a
	// prompt that does not fit with it.
	MaxOutput int
	// FirstAnswer and MaxPause are the objectives.
	FirstAnswer time.Duration
	MaxPause    time.Duration
	// Waited is how long ago the caller's request arrived.
	Waited time.Duration
	// Remaining is how long the caller still waits for the first answer.
	Remaining time.Duration
	// Lifetime is how long the job may last at all.
	Lifetime time.Duration
	// Avoid lists upstreams that were tried already.
	Avoid []string
	// Fingerprint identifies the caller's workspace, path and body; 0 if unknown.
	Fingerprint uint64
	// MayWait says that the job can be asked for again soon. It is then not bound
	// to an engine whose slots are all taken, since nobody knows which engine has
	// one free first.
	MayWait bool
	// MayDefer says that a long job can be asked for again soon and still be
	// answered, perhaps late. It is then put off while it would cost others more
	// than it gains.
	MayDefer bool
}

// value is what the job is worth in time, in the users' unit: tokens in and ten
// times the tokens out.
func (j *Job) value() float64 {
	return valuePerJob + (float64(j.Prompt)+outputValue*float64(j.Output))/valueUnit
}

const (
	// outputValue is the worth of an output token over one of the prompt.
	outputValue = 10
	// valueUnit scales values to about 1 for a short question.
	valueUnit = 20_000.0
	// valuePerJob is the worth of a request apart from its size.
	valuePerJob = 0.3
)

// Part is an engine's part in a job whose prompt several engines compute.
type Part struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// ReservedTokens is the memory to reserve there; 0 for none.
	ReservedTokens int
}

// Decision is where a job goes.
type Decision struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is empty if the job is refused.
	Upstream string
	// Helpers compute parts of the prompt.
	Helpers []Part
	// Urgency orders the job in the engine's queue, from 0 (first) to 9.
	Urgency int
	// Expect is the predicted time to the first answer.
	Expect time.Duration
	// RetryAfter is when a refused job may come back.
	RetryAfter time.Duration
	// Reason says why the job is refused.
	Reason Reason
}

// Reason says why a job is refused.
type Reason uint8

// Reasons of refusals.
const (
	NoReason Reason = iota
	// NoUpstream: none is listed, or all were tried.
	NoUpstream
	// TooLate: the job cannot have its first answer in the time that is left.
	TooLate
	// TooLarge: the engines' memory cannot hold the job now.
	TooLarge
	// Full: the slots of all engines are taken.
	Full
	// Poisoned: the same request has crashed several upstreams.
	Poisoned
	// Deferred: placed now, the job would cost others more than it gains.
	Deferred
)

// String returns the reason's name in metrics.
func (r Reason) String() string {
	names := [...]string{"placed", "no-upstream", "too-late", "too-large", "full", "poisoned", "deferred"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Completed: the whole answer arrived.
	Completed Outcome = iota + 1
	// Abandoned: the caller left or its time ran out.
	Abandoned
	// Unreached: no connection was had.
	Unreached
	// Refused: the upstream said that it did not run the request.
	Refused
	// Failed: the upstream answered with an error of its own or with garbage.
	Failed
	// Lost: the connection broke.
	Lost
	// Stalled: nothing came for too long.
	Stalled
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "completed", "abandoned", "unreached", "refused", "failed", "lost", "stalled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
