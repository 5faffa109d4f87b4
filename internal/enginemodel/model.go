// Package enginemodel predicts how long a model engine with continuous batching
// takes: when a prompt's first token comes, and how long the pauses of the
// streams beside it become. It is pure: no I/O, no clock.
package enginemodel

import "time"

// Model is the cost model of one kind of engine, from the configuration.
type Model struct {
	// Slots is the number of requests in a batch.
	Slots int
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// Step is the time of one decoding step.
	Step time.Duration
	// StepPerSequence is added to a step for each sequence that decodes.
	StepPerSequence time.Duration
	// StepPerContext is added to a step per 1,000 tokens of context that
	// decodes.
	StepPerContext time.Duration
	// PrefillRate is prompt tokens per second.
	PrefillRate float64
	// PairTime is the attention's part of prefill, per million pairs of a token
	// and an earlier one.
	PairTime time.Duration
	// Chunk is the most prompt tokens in one step.
	Chunk int
	// Stride is the number of steps in a pass that decodes; 1 if unset.
	Stride int
	// Joint engines can share the prefill of one prompt.
	Joint bool
}

// PrefillTime returns the time to compute tokens of a prompt on an otherwise
// idle engine, with the attention share of the whole prompt's pairs.
func (m *Model) PrefillTime(tokens int, pairs float64) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	read := time.Duration(float64(tokens) / m.PrefillRate * float64(time.Second))
	return read + time.Duration(pairs/1e6*float64(m.PairTime))
}

// Pairs returns the number of pairs of a token and an earlier one in a prompt.
func Pairs(tokens int) float64 { return float64(tokens) * float64(tokens) / 2 }
