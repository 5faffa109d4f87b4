// Package report collects the outcomes of load experiments, writes them as text and
// JSON, compares two results and draws plots.
package report

import (
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
)

// Quantiles holds the quantiles of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Group is the result of one kind of request in one phase.
type Group struct {
	// Name is the name of the bucket of prompt lengths, or the kind of call.
	Name string `json:"name"`
	// MinTokens and MaxTokens bound the prompt lengths; zero for calls.
	MinTokens int `json:"min_tokens,omitempty"`
	MaxTokens int `json:"max_tokens,omitempty"`
	// Sent counts requests, Complete those with a complete answer, and InTime
	// those whose complete answer arrived within the time limit.
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	InTime   int `json:"in_time"`
	// FirstToken, TokenGap and Total cover complete requests; the first two
	// cover streams only.
	FirstToken Quantiles `json:"time_to_first_token"`
	TokenGap   Quantiles `json:"time_between_tokens"`
	Total      Quantiles `json:"total_time"`
}

// Count is the number of refusals or failures of one kind.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Phase is the result of one phase.
type Phase struct {
	Name        string  `json:"name"`
	Load        float64 `json:"load"`
	WithoutLong bool    `json:"without_long"`
	// Seconds is the planned duration, without the time for draining.
	Seconds float64 `json:"seconds"`
	Groups  []Group `json:"groups"`
	// Offered and Goodput are the requests sent and the requests completed in
	// time, per second of the phase; TokensPerSecond counts the output tokens of
	// the latter.
	Offered         float64 `json:"offered_per_second"`
	Goodput         float64 `json:"goodput_per_second"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Refusals counts answers with a result code, and Failures requests
	// without a complete answer and without a result code.
	Refusals []Count `json:"refusals"`
	Failures []Count `json:"failures"`
	// NotSent counts requests omitted because MaxInFlight was reached.
	NotSent int `json:"not_sent"`
	// SendDelay is the delay between the scheduled and the actual sending time,
	// caused by the load generator itself.
	SendDelay Quantiles `json:"send_delay"`
}

// Slowdown compares the short requests of two phases of the same load, with and
// without long requests.
type Slowdown struct {
	// Group is the name of a group of short prompts.
	Group string  `json:"group"`
	Load  float64 `json:"load"`
	// With and Without are the names of the phases with and without long
	// requests.
	With    string `json:"with"`
	Without string `json:"without"`
	// The other fields are the ratios of the quantiles with long requests to
	// those without.
	FirstTokenP50 float64 `json:"first_token_p50"`
	FirstTokenP95 float64 `json:"first_token_p95"`
	TotalP50      float64 `json:"total_p50"`
	TotalP95      float64 `json:"total_p95"`
}

// Machine describes the machine that the experiment ran on.
type Machine struct {
	OS   string `json:"os"`
	Arch string `json:"arch"`
	CPU  string `json:"cpu,omitempty"`
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
}

// Result is the result of one run of a scenario.
type Result struct {
	Version  string            `json:"version"`
	Command  []string          `json:"command"`
	Started  time.Time         `json:"started"`
	Machine  Machine           `json:"machine"`
	Scenario scenario.Scenario `json:"scenario"`
	Phases   []Phase           `json:"phases"`
	Slowdown []Slowdown        `json:"slowdown"`
	Timeline []Second          `json:"timeline"`
	// Violations lists violated guarantees, at most maxViolations of them;
	// ViolationCount counts all.
	Violations     []string `json:"violations"`
	ViolationCount int      `json:"violation_count"`
	// Checked lists the guarantees that were checked against the records of the
	// stand-ins after the run. Its texts and those of Violations are stored, so
	// they do not change between versions.
	Checked []string `json:"checked"`
}

// maxViolations bounds the violations that a result lists.
const maxViolations = 100

// AddViolation records a violated guarantee.
func (r *Result) AddViolation(text string) {
	r.ViolationCount++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, text)
	}
}

// Load reads a result from a JSON file.
func Load(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, trace.BadParameter("decoding %s: %v", file, err)
	}
	return &r, nil
}

// Save writes the result to a JSON file.
func (r *Result) Save(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(file, append(data, '\n'), 0o644))
}

// group returns the group with a name, or nil.
func (p *Phase) group(name string) *Group {
	for i := range p.Groups {
		if p.Groups[i].Name == name {
			return &p.Groups[i]
		}
	}
	return nil
}
