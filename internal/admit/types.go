// Package admit decides when a request may run, on which upstream and at which
// priority. It keeps a bounded queue that is fair between workspaces, refuses
// at once what cannot finish in time, and feeds the results of requests back
// into load, health, retry and poison tracking.
package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/gang"
)

// Upstream is one engine or one process of a plain service.
type Upstream struct {
	ID         string
	URL        string
	DataCentre string
	// Models lists the models that an engine serves.
	Models []string
	// Service is the plain service that the upstream belongs to; empty for
	// an engine.
	Service string
	// MemoryTokens is an engine's KV memory in tokens.
	MemoryTokens int
}

// Request is what the decision needs to know of one request.
type Request struct {
	// ID is "OWNER/INCARNATION/UUID", as in upstream.HeaderRequestID.
	ID        string
	Workspace string
	// Weight is the workspace's share under contention; 0 means 1.
	Weight float64
	// Target is the name of the model or service.
	Target string
	// Service says that Target is a plain service.
	Service bool
	Adapter string
	Class   catalogue.Class
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Blocks holds the prefix block hashes, first block first.
	Blocks   []uint64
	Deadline time.Time
	// Fingerprint identifies workspace and body.
	Fingerprint uint64
	// DataCentre is where the request entered; upstreams there are preferred.
	DataCentre string
	// Avoid lists upstreams that were tried already.
	Avoid []string
	// Suspect says that the caller of Acquire saw the request's upstream
	// lost; the scheduler's own record of losses decides what it means.
	Suspect bool
	// Attempt counts from 1.
	Attempt int
	// NonIdempotent requests must run at most once.
	NonIdempotent bool
}

// Part is one reservation of a prompt larger than one engine.
type Part struct {
	Upstream Upstream
	// Name is the reservation's name on the engine.
	Name string
	// Tokens is the memory reserved.
	Tokens int
}

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Completed: the whole answer arrived.
	Completed Outcome = iota
	// RefusedNotRun: the upstream refused before running the request.
	RefusedNotRun
	// Unreached: nothing was written, for example because the connection was
	// refused. The request is not blamed for the upstream's state.
	Unreached
	// Lost: the connection was lost or the upstream crashed.
	Lost
	// Failed: the upstream answered with an error of its own.
	Failed
	// Cancelled: the caller left or the deadline passed.
	Cancelled
	// Stalled: the answer made no progress.
	Stalled
)

// Options are the fixed settings of a Scheduler. Zero values take defaults.
type Options struct {
	// Instance is this instance's ID.
	Instance string
	// Incarnation is this process's incarnation, for names of reservations.
	Incarnation uint64
	// Seed makes random choices repeatable.
	Seed uint64
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// MaxQueuedWork bounds the work of the waiting requests in tokens.
	MaxQueuedWork float64
	// MaxRunningPerEngine bounds the requests that this instance has in
	// flight on one upstream.
	MaxRunningPerEngine int
	// Reserver reserves memory for prompts larger than one engine; nil
	// refuses such prompts.
	Reserver gang.Reserver
	// OnPoison receives a CBOR payload that is to be broadcast to the other
	// instances' ObservePoison. It must not block; nil drops payloads.
	OnPoison func(payload []byte)
}

// Defaults of Options.
const (
	defaultMaxQueued           = 4096
	defaultMaxQueuedWork       = 64 << 20
	defaultMaxRunningPerEngine = 64
)

// withDefaults replaces zero values.
func (o Options) withDefaults() Options {
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MaxQueuedWork == 0 {
		o.MaxQueuedWork = defaultMaxQueuedWork
	}
	if o.MaxRunningPerEngine == 0 {
		o.MaxRunningPerEngine = defaultMaxRunningPerEngine
	}
	return o
}
