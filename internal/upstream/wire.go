// Package upstream is the typed client of model engines and plain services.
//
// Engines serve the OpenAI HTTP API with some headers and paths of their own.
// docs/UPSTREAM.md describes the protocol; this file defines its types.
package upstream

// Headers of a generation request to an engine.
const (
	// HeaderRequestID names the request; the engine uses it for cancellation
	// and resumption. It is "OWNER/INCARNATION/UUID".
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt counts attempts from 1; the engine drops the stream of a
	// lower attempt of the same request when a higher one arrives.
	HeaderAttempt = "X-Attempt"
	// HeaderPriority is an integer; lower values run first.
	HeaderPriority = "X-Priority"
	// HeaderDeadline is the request's remaining time in milliseconds; when it
	// has passed, the engine frees all resources of the request.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPromptTokens is the router's estimate of the prompt's length in tokens.
	HeaderPromptTokens = "X-Prompt-Tokens"
	// HeaderPrefixBlocks lists the prompt's prefix block hashes in hex,
	// separated by commas, at most MaxPrefixBlocks of them.
	HeaderPrefixBlocks = "X-Prefix-Blocks"
	// HeaderReservation names the reservations, separated by commas, whose
	// memory is used by a prompt that is larger than one engine's memory.
	HeaderReservation = "X-Reservation"
	// HeaderLastEventID resumes a stream after this position (standard
	// header of server-sent events). An engine that still holds the stream
	// sends the chunks after the position again; one that does not answers 409.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderContinueFrom is the position after which to continue an answer
	// whose first chunks another engine generated: chunk positions start after
	// it, and the body carries the text so far in the field "continuation".
	HeaderContinueFrom = "X-Continue-From"
	// HeaderLoad carries a LoadReport as JSON, without requests, on the answer
	// of a generation request, so that a router learns the load of an engine
	// that it uses without polling.
	HeaderLoad = "X-Load-Report"
	// HeaderNotRun is "true" on an error answer of an upstream that refused
	// the request before running it.
	HeaderNotRun = "X-Not-Run"
)

// Sizes and limits that the router and the engines share.
const (
	// BlockTokens is the number of tokens of one prefix block.
	BlockTokens = 512
	// BytesPerToken is the estimated length of a token, used to convert prompt
	// bytes to tokens.
	BytesPerToken = 4
	// MaxReportRequests bounds the request IDs in a load report for one owner;
	// older requests are assumed to be included in its figures.
	MaxReportRequests = 16
	// MaxPrefixBlocks bounds the number of blocks in HeaderPrefixBlocks.
	MaxPrefixBlocks = 64
)

// Paths of an engine besides the OpenAI ones.
const (
	PathCancel   = "/engine/cancel"
	PathLoad     = "/engine/load"
	PathEvents   = "/engine/events"
	PathHolds    = "/engine/holds"
	PathReserve  = "/engine/reserve"
	PathExport   = "/engine/export"
	PathImport   = "/engine/import"
	PathOrder    = "/engine/order"
	PathObserved = "/engine/observed"
	PathHealth   = "/health"
)

// Role is the kind of work that an engine does.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// LoadReport is the answer of GET PathLoad. It lags behind the engine's actual
// state.
type LoadReport struct {
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Boot is the engine's incarnation; it changes when the engine restarts.
	Boot string `json:"boot"`
	// AgeMs is the age of the figures in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// QueuedPromptTokens is the number of prompt tokens not yet prefilled.
	QueuedPromptTokens int `json:"queued_prompt_tokens"`
	// RunningStreams is the number of streams that generate tokens.
	RunningStreams int `json:"running_streams"`
	// QueuedRequests is the number of requests that wait for memory.
	QueuedRequests int `json:"queued_requests"`
	// UsedTokens and MemoryTokens are the used and the total KV memory.
	UsedTokens   int `json:"used_tokens"`
	MemoryTokens int `json:"memory_tokens"`
	// ReservedTokens are held by reservations, exports and imports.
	ReservedTokens int `json:"reserved_tokens"`
	// Leaving reports whether the engine is about to stop.
	Leaving bool `json:"leaving"`
	// Requests lists the IDs of the latest requests that the figures include,
	// so that a router does not count its own requests twice. With ?owner=NAME
	// only the IDs of that owner are listed, up to MaxReportRequests.
	Requests []string `json:"requests,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Added and Removed are the hashes, in hex, of the prefix blocks that were
	// added to and removed from the cache.
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// CacheEvents is the answer of GET PathEvents?after=SEQUENCE. Events arrive late
// and some are lost; a lost event shows as a missing sequence number.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
}

// HoldKind is a kind of Hold.
type HoldKind string

// Kinds of holds.
const (
	HoldStream      HoldKind = "stream"
	HoldReservation HoldKind = "reservation"
	HoldExport      HoldKind = "export"
	HoldImport      HoldKind = "import"
)

// Hold is memory that an engine keeps for the router beyond the lifetime of a
// connection. Its name contains the owner, so that any instance can check whether
// the owner is still running.
type Hold struct {
	Kind HoldKind `json:"kind"`
	// Name is "OWNER/INCARNATION/UUID".
	Name string `json:"name"`
	// Tokens is the memory held.
	Tokens int `json:"tokens"`
	// DeadlineUnixMs is the time from which any instance may release the hold,
	// in milliseconds since the Unix epoch; zero means no deadline.
	DeadlineUnixMs int64 `json:"deadline_unix_ms"`
}

// Holds is the answer of GET PathHolds. DELETE PathHolds?name=NAME releases
// one; releasing an absent hold succeeds.
type Holds struct {
	Boot  string `json:"boot"`
	Holds []Hold `json:"holds"`
}

// ReserveRequest is the body of POST PathReserve: memory for one part of a
// prompt larger than one engine. The engine answers 200, or 409 if it does not have
// enough free memory. Repeating a reservation with the same name succeeds.
type ReserveRequest struct {
	Name           string `json:"name"`
	Tokens         int    `json:"tokens"`
	DeadlineUnixMs int64  `json:"deadline_unix_ms"`
}

// CancelRequest is the body of POST PathCancel. Cancelling an absent request
// succeeds.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// OrderKind is a kind of order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderUnloadModel OrderKind = "unload-model"
	OrderSetRole     OrderKind = "set-role"
)

// Order is the body of POST PathOrder. An engine that honours fencing answers
// 412 to a token below the highest it has seen; one that checks issuers
// answers 403 to a missing or wrong signature.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    Role      `json:"role,omitempty"`
	// Fence is the fencing token of the lease under which the order is sent.
	Fence uint64 `json:"fence"`
	// Issuer is the instance that sends the order.
	Issuer string `json:"issuer"`
	// Signature is the hex HMAC-SHA256 of the order without this field,
	// encoded as JSON, with the deployment's order key.
	Signature string `json:"signature,omitempty"`
}

// LoadedModel is a model that an engine has in memory.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Loading reports whether the model is still being loaded and not usable yet.
	Loading bool `json:"loading,omitempty"`
}

// ObservedState is the answer of GET PathObserved: the actual state of an engine.
type ObservedState struct {
	Boot   string        `json:"boot"`
	Role   Role          `json:"role"`
	Models []LoadedModel `json:"models"`
	// Fence is the highest fencing token seen; zero if the engine ignores fencing.
	Fence   uint64 `json:"fence"`
	Leaving bool   `json:"leaving"`
}

// ExportRequest is the body of POST PathExport: it pins the cached blocks that
// start the prefix, so that another engine can import them. The engine answers
// 404 if it has none of them.
type ExportRequest struct {
	Name           string   `json:"name"`
	Blocks         []string `json:"blocks"`
	DeadlineUnixMs int64    `json:"deadline_unix_ms"`
}

// ExportAnswer lists the pinned blocks and their total number of tokens.
type ExportAnswer struct {
	Blocks []string `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// ImportRequest is the body of POST PathImport: the engine allocates memory and
// answers 200 when the transfer is complete and the blocks are in its prefix
// cache, or 409 if it does not have enough free memory. The blocks stay pinned
// until the hold is released.
type ImportRequest struct {
	Name           string   `json:"name"`
	Blocks         []string `json:"blocks"`
	DeadlineUnixMs int64    `json:"deadline_unix_ms"`
}

// Health is the answer of GET PathHealth of an engine or a plain service.
type Health struct {
	// Status is "ok".
	Status string `json:"status"`
	// Leaving reports whether the upstream is about to stop.
	Leaving bool `json:"leaving"`
}
