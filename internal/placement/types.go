package placement

import "time"

// Job is one attempt that needs an upstream. Times are durations, because
// instances share no clock.
type Job struct {
	_ struct{} `cbor:",toarray"`
	// ID is unique per attempt.
	ID string
	// Owner is the incarnation, as named by OwnerName, of the instance that holds the
	// caller's connection.
	Owner   string
	Service string
	// Prompt and Output are token counts, Output an estimate; both are zero for a
	// plain service.
	Prompt int
	Output int
	// MaxOutput is the maximum number of output tokens that the caller accepts.
	// Engines refuse a prompt that does not fit into memory together with it.
	MaxOutput int
	// FirstAnswer and MaxPause are the latency objectives.
	FirstAnswer time.Duration
	MaxPause    time.Duration
	// Waited is the time since the caller's request arrived.
	Waited time.Duration
	// Remaining is how long the caller still waits for the first answer.
	Remaining time.Duration
	// Lifetime is the maximum duration of the whole job.
	Lifetime time.Duration
	// Avoid lists upstreams that must not be chosen, such as those tried already.
	Avoid []string
	// Fingerprint identifies the caller's workspace, path and body; 0 if unknown.
	Fingerprint uint64
	// Parts are the keys of the prompt's parts that other requests may share, each a hash
	// of the service and the part's ID.
	Parts []uint64
	// Stalled reports whether another attempt of the request is in flight that gets no
	// answer; its upstream may have crashed.
	Stalled bool
	// MayWait reports whether the caller of Place will retry soon. The job is then not
	// bound to an engine whose slots are all taken, because it is unknown which
	// engine frees a slot first.
	MayWait bool
	// MayDefer reports whether a long job can be placed again soon and still be
	// answered, perhaps late. It is then deferred while it would cost other jobs more
	// than its gain justifies.
	MayDefer bool
	// Workspace and Route are the names of the caller's workspace and of the request's route;
	// empty if unknown.
	Workspace string `wire:"added"`
	Route     string `wire:"added"`
	// Rank is one more than the configured priority of the workspace or else of the route, so
	// that 1 is the most urgent; 0 if unknown.
	Rank int `wire:"added"`
	// expect is the output in tokens that this planner has learned to expect; 0 if it has not. It
	// is not sent.
	expect int
}

// value returns the value of the job if it is answered in time: a fixed part, and the
// size of the job, in which the users count an output token as ten prompt tokens. The time
// that engines need for a token grows with its prompt, so without a weight that grows alike the
// largest prompts would always be those that wait.
func (j *Job) value() float64 {
	value := valuePerJob + (float64(j.Prompt)+outputValue*float64(j.expectedOutput()))/valueUnit
	return value * max(1, float64(j.Prompt)/evenTokens)
}

const (
	// outputValue is the value of an output token relative to a prompt token.
	outputValue = 10
	// valueUnit scales values to about 1 for a short prompt.
	valueUnit = 20_000.0
	// evenTokens is the size up to which prompts are weighted alike.
	evenTokens = 200_000.0
	// valuePerJob is the value of a request apart from its size.
	valuePerJob = 0.3
)

// Part is the share of one helper in a job whose prompt several engines prefill.
type Part struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// ReservedTokens is the KV memory to reserve at the helper; 0 for none.
	ReservedTokens int
}

// Decision is the result of placing a job.
type Decision struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is empty if the job is refused.
	Upstream string
	// Helpers prefill parts of the prompt.
	Helpers []Part
	// Urgency orders the job in the engine's queue, from 0 (first) to 9.
	Urgency int
	// Expect is the predicted time to the first token or answer.
	Expect time.Duration
	// RetryAfter is the time after which a refused job may be retried.
	RetryAfter time.Duration
	// Reason is why the job is refused; NoReason if it is not.
	Reason Reason
	// Suspect reports whether the request was in flight in a crash, or may have been.
	Suspect bool
	// Apart reports whether no other suspect runs on the upstream.
	Apart bool
	// Trial lists the suspect prompt parts of which the job is a trial.
	Trial []uint64
	// Cold reports whether the job was counted against the rate of a cold upstream.
	Cold bool `wire:"added"`
	// decidedAt is when the job was placed, as known to the instance that sends it; not later
	// than it was counted.
	decidedAt time.Time
}

// Reason is the reason why a job is refused.
type Reason uint8

// Reasons of refusals.
const (
	NoReason Reason = iota
	// NoUpstream: no upstream is listed, or all were tried.
	NoUpstream
	// TooLate: no engine can send the first token in the remaining time.
	TooLate
	// TooLarge: the engines' free memory cannot hold the job now.
	TooLarge
	// Full: the slots of all engines are taken.
	Full
	// Poisoned: the same request has crashed several upstreams.
	Poisoned
	// Deferred: placed now, the job would cost other jobs too much, or there is no
	// memory for it yet.
	Deferred
	// Suspected: the request was lost on several upstreams, and it is not known yet
	// whether they crashed.
	Suspected
	// PartPoisoned: a part of the prompt crashes upstreams.
	PartPoisoned
	// PartSuspected: a part of the prompt may crash upstreams, and another request with
	// it is on trial.
	PartSuspected
	// Limited: all upstreams that could take the job name limits, and have got as many
	// requests as they take.
	Limited
)

// known reports whether this build knows the reason. A refusal for another one counts as
// NoUpstream.
func (r Reason) known() bool { return r <= Limited }

// String returns the reason's name in metrics.
func (r Reason) String() string {
	names := [...]string{"placed", "no-upstream", "too-late", "too-large", "full", "poisoned", "deferred", "suspected", "part-poisoned", "part-suspected", "limited"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Completed: the complete answer arrived.
	Completed Outcome = iota + 1
	// Abandoned: the caller left or its time ran out.
	Abandoned
	// Unreached: no connection could be established.
	Unreached
	// Refused: the upstream stated that it did not run the request.
	Refused
	// Failed: the upstream answered with an error or with an invalid answer.
	Failed
	// Lost: the connection broke.
	Lost
	// Stalled: nothing was received for too long.
	Stalled
)

// End is how an attempt ended.
type End struct {
	_       struct{} `cbor:",toarray"`
	Outcome Outcome
	// Silence is the time since the last event of the answer; 0 if there was none. Of an
	// abandoned attempt it is the time since the upstream sent anything at all, or, if it has
	// not, since the request was sent; 0 if it was not sent.
	Silence time.Duration
	// Duration is the time from the placement to the end, and Events the number of events of the
	// answer; 0 if unknown. Events is unknown if the attempt resumed an answer.
	Duration time.Duration `wire:"added"`
	Events   int           `wire:"added"`
	// AtFault is the ID of the helper that a refusal names as its cause; empty if there is none.
	AtFault string `wire:"added"`
}

// known reports whether this build knows the outcome. An attempt with another one has ended, and
// is evidence of nothing.
func (o Outcome) known() bool { return o >= Completed && o <= Stalled }

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "completed", "abandoned", "unreached", "refused", "failed", "lost", "stalled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
