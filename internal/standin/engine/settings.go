// Package engine simulates a model engine with continuous batching: each step
// computes chunks of the waiting prompts and one token of each running stream.
// The simulation covers KV memory (of the attention keys and values, counted in
// tokens) with a prefix cache, a queue ordered by priority, resumable streams,
// reservations, exports and imports of KV, delayed load reports and cache events,
// and orders of the routers: to load or unload a model, to load an adapter, or to
// take a role. It generates the text of package answer.
//
// Package enginehttp serves the simulated engine over HTTP.
package engine

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Settings configures an Engine. Durations apply at time scale 1.
type Settings struct {
	Name string
	// Boot identifies the incarnation; it must differ after each restart.
	Boot string
	// Models lists the models that are loaded at the start, each as
	// "MODEL" or "MODEL:VERSION".
	Models []string
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// ChunkTokens bounds the prompt tokens of one step.
	ChunkTokens int
	// MaxStreams bounds the streams in memory, MaxQueue those in the queue.
	MaxStreams int
	MaxQueue   int

	// A step takes StepBase, PerPromptToken for each prompt token computed,
	// PerStream for each stream that generates, and PerResidentToken for
	// each KV token of the streams in memory.
	StepBase         time.Duration
	PerPromptToken   time.Duration
	PerStream        time.Duration
	PerResidentToken time.Duration

	// StreamRetention is how long a stream is kept after its connection is closed.
	StreamRetention time.Duration
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the delay of cache events; EventLossRate is the share of
	// events that is dropped, chosen at random from Seed.
	EventLag      time.Duration
	EventLossRate float64
	Seed          uint64
	// LoadTime is the time to load a model or an adapter.
	LoadTime time.Duration
	// TransferTokensPerSecond is the transfer rate of KV imports.
	TransferTokensPerSecond int

	// Fencing makes the engine refuse orders with an outdated fencing token.
	Fencing bool
	// OrderKey, if set, is the key that verifies the signature of orders.
	OrderKey []byte
	// TimeScale divides the durations of steps, loads and transfers.
	TimeScale float64
}

// Default returns the settings of an engine that computes about 20,000 prompt
// tokens per second and generates a token in 10 ms without prompts to compute.
func Default() Settings {
	return Settings{
		Name:                    "engine",
		Boot:                    "1",
		MemoryTokens:            500_000,
		ChunkTokens:             1024,
		MaxStreams:              256,
		MaxQueue:                256,
		StepBase:                6 * time.Millisecond,
		PerPromptToken:          40 * time.Microsecond,
		PerStream:               50 * time.Microsecond,
		PerResidentToken:        20 * time.Nanosecond,
		StreamRetention:         10 * time.Second,
		DefaultDeadline:         10 * time.Minute,
		ReportLag:               200 * time.Millisecond,
		EventLag:                500 * time.Millisecond,
		EventLossRate:           0.02,
		Seed:                    1,
		LoadTime:                5 * time.Second,
		TransferTokensPerSecond: 1_000_000,
		TimeScale:               1,
	}
}

// scaled returns d divided by the time scale.
func (s Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.TimeScale)
}

// promptTokens returns the number of tokens of a prompt of the given bytes.
func promptTokens(bytes int) int {
	return max(1, (bytes+upstream.BytesPerToken-1)/upstream.BytesPerToken)
}

// Check returns an error for the first setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.MemoryTokens <= 0:
		return trace.BadParameter("memory-tokens must be positive, not %d", s.MemoryTokens)
	case s.ChunkTokens <= 0:
		return trace.BadParameter("chunk-tokens must be positive, not %d", s.ChunkTokens)
	case s.MaxStreams <= 0:
		return trace.BadParameter("max-streams must be positive, not %d", s.MaxStreams)
	case s.TimeScale <= 0:
		return trace.BadParameter("time-scale must be positive, not %v", s.TimeScale)
	case s.TransferTokensPerSecond <= 0:
		return trace.BadParameter("transfer-rate must be positive, not %d", s.TransferTokensPerSecond)
	case s.StepBase <= 0:
		return trace.BadParameter("step-base must be positive, not %v", s.StepBase)
	}
	return nil
}
