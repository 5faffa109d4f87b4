// Package enginemodel predicts the timing of a model engine with continuous
// batching: when the first token of a prompt is sent, and how long the pauses in
// concurrent streams become. It does no I/O and reads no clock.
//
// An engine computes in steps. A step prefills prompt tokens, which stores their keys
// and values in the KV memory, and decodes one output token of each sequence whose
// prompt is complete. A pass is a series of steps at whose end tokens are sent: a
// fixed number of steps (Model.Stride) while anything is decoded, otherwise the steps
// that prefill one prompt. A pause in a stream therefore lasts one pass.
//
// Several engines can share the prefill of one prompt: one of them decodes, and the
// others, its helpers, prefill a part each.
package enginemodel

import "time"

// Model is the cost model of one kind of engine, from the configuration.
type Model struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// Step is the base time of one step.
	Step time.Duration
	// StepPerSequence is added to a step for each sequence that decodes.
	StepPerSequence time.Duration
	// StepPerContext is added to a step per 1,000 tokens of context of the sequences
	// that decode.
	StepPerContext time.Duration
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	// PairTime is the attention time of prefill per million pairs of a token and an
	// earlier one.
	PairTime time.Duration
	// Chunk is the maximum number of prompt tokens in one step.
	Chunk int
	// Stride is the number of steps in a pass that decodes; 1 if unset.
	Stride int
	// Joint reports whether several engines can share the prefill of one prompt.
	Joint bool
}

// PrefillTime returns the time to prefill a number of tokens with a number of
// attention pairs on an otherwise idle engine.
func (m *Model) PrefillTime(tokens int, pairs float64) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	linear := time.Duration(float64(tokens) / m.PrefillRate * float64(time.Second))
	return linear + time.Duration(pairs/1e6*float64(m.PairTime))
}

// Pairs returns the approximate number of attention pairs in a prompt, that is of
// pairs of a token and an earlier one.
func Pairs(tokens int) float64 { return float64(tokens) * float64(tokens) / 2 }
