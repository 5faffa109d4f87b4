// Package admit decides when a request may run, on which upstream and at which
// priority. It keeps a bounded queue that is fair between workspaces, refuses
// immediately a request that cannot finish before its deadline, and feeds the
// outcomes of requests into load, health, retry and poison tracking.
//
// The upstreams of one model or service form a pool, which has a queue with lanes:
// one for each class and size of requests, one for aged requests, which have
// waited for long, and one for suspects, which may have crashed an upstream (see
// package poison). A Grant is the permission to run on an upstream. A prompt that
// is larger than the memory of one engine gets several, a gang (see package gang).
//
// Two kinds of upstreams are not open to all requests: short-only ones get a long
// request only if it is aged, and exclusive ones are kept free for one request.
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

// Request describes a request to the scheduler.
type Request struct {
	// ID is "OWNER/INCARNATION/UUID", as in upstream.HeaderRequestID.
	ID        string
	Workspace string
	// Weight is the workspace's share under contention; 0 means 1.
	Weight float64
	// Target is the name of the model or service.
	Target string
	// Service reports whether Target is a plain service.
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
	// Parts are the keys of the prompt's parts that other requests may share.
	Parts []uint64
	// DataCentre is where the request entered; upstreams there are preferred.
	DataCentre string
	// Avoid lists upstreams that were tried already.
	Avoid []string
	// Attempt counts from 1.
	Attempt int
	// NonIdempotent requests must run at most once.
	NonIdempotent bool
}

// Part is the reservation on one engine for a prompt that is larger than one
// engine.
type Part struct {
	Upstream Upstream
	// Name is the reservation's name on the engine.
	Name string
	// Tokens is the memory reserved.
	Tokens int
}

// Outcome is how one attempt ended.
type Outcome int

// Outcomes.
const (
	// Completed means that the complete answer arrived.
	Completed Outcome = iota
	// RefusedNotRun means that the upstream refused the request and did not run
	// it.
	RefusedNotRun
	// Unreached means that nothing was written, for example because the
	// connection was refused. The request does not become a suspect.
	Unreached
	// Lost means that the connection was lost or the upstream crashed.
	Lost
	// Failed means that the upstream answered with an error of its own.
	Failed
	// Cancelled means that the caller left or the deadline passed.
	Cancelled
	// Stalled means that the answer made no progress although the upstream was
	// alive.
	Stalled
)

// Options configures a Scheduler. Zero limits are replaced by defaults.
type Options struct {
	// Instance is this instance's ID.
	Instance string
	// Incarnation is this process's incarnation, for names of reservations.
	Incarnation uint64
	// Seed makes random choices repeatable.
	Seed uint64
	// MaxQueued bounds the number of waiting requests of one model or service.
	MaxQueued int
	// MaxQueuedWork bounds the work of these requests, in prompt tokens.
	MaxQueuedWork float64
	// MaxRunningPerEngine bounds the requests that this instance has in
	// flight on one upstream.
	MaxRunningPerEngine int
	// Reserver reserves memory for prompts that are larger than one engine; if
	// it is nil, such prompts are refused.
	Reserver gang.Reserver
	// OnPoison is called with a CBOR payload to broadcast to ObservePoison of
	// the other instances. It must not block. If it is nil, payloads are
	// dropped.
	OnPoison func(payload []byte)
}

// Defaults of Options.
const (
	defaultMaxQueued           = 4096
	defaultMaxQueuedWork       = 64 << 20
	defaultMaxRunningPerEngine = 64
)

// withDefaults returns o with zero limits replaced by defaults.
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
