package main

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// guarantee describes one of the guarantees that the run checks. The text is stored
// in reports, so it does not change between versions.
type guarantee string

// Guarantees that are checked from outside.
const (
	endsInTime       guarantee = "each request finishes or fails within its time"
	correctAnswer    guarantee = "each caller gets its whole own answer, in order"
	notRunCorrect    guarantee = "a refusal that says not-run is true"
	atMostOnce       guarantee = "a non-idempotent call runs at most once"
	memoryReleased   guarantee = "no engine loses memory for good"
	editApplied      guarantee = "an accepted edit is in force everywhere and never reverts"
	gracefulShutdown guarantee = "a planned stop cuts off no request"
	noNewWork        guarantee = "an upstream that leaves gets no new work"
	crashesContained guarantee = "a request that crashes upstreams is not sent for ever"
	limitsKept       guarantee = "an upstream gets no more requests than it names as its limit"
	pausesKept       guarantee = "an upstream that wants a pause gets no requests"
	evacuationKept   guarantee = "an evacuated data centre gets no requests"
	recovered        guarantee = "requests are served again after the faults"
)

// guarantees lists the guarantees in the order of the report.
var guarantees = []guarantee{
	endsInTime, correctAnswer, notRunCorrect, atMostOnce, memoryReleased,
	editApplied, gracefulShutdown, noNewWork, crashesContained, limitsKept, pausesKept, evacuationKept, recovered,
}

// maxExamples bounds the violations that a verdict describes.
const maxExamples = 10

// verdict is the result of the checks of one guarantee.
type verdict struct {
	Guarantee  guarantee `json:"promise"`
	Checked    int       `json:"checked"`
	Violations int       `json:"violations"`
	// Examples describes the first violations. Like the guarantees, the
	// descriptions keep their wording between versions.
	Examples []string `json:"examples,omitempty"`
}

// report collects verdicts. It is safe for concurrent use.
type report struct {
	mu       sync.Mutex
	Command  string         `json:"command"`
	Seed     uint64         `json:"seed"`
	Duration string         `json:"duration"`
	Machine  string         `json:"machine"`
	Faults   []string       `json:"faults"`
	Results  map[string]int `json:"results"`
	// RecoverySeconds is, per fault, the time from its end until requests
	// succeeded again without a failure for one second.
	RecoverySeconds map[string][]float64 `json:"recovery_seconds"`
	Verdicts        []*verdict           `json:"verdicts"`
	// lastFailure is when a request last failed.
	lastFailure time.Time
}

func newReport(o options) *report {
	r := &report{
		Command: fmt.Sprintf("go run ./tools/faults -seed %d -duration %s -instances %d -engines %d -pairs=%t -rolling=%t -platform=%t -slack %s",
			o.seed, o.duration, o.instances, o.engines, o.pairs, o.rolling, o.platform, o.slack),
		Seed: o.seed, Duration: o.duration.String(),
		Machine: fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()),
		Results: map[string]int{}, RecoverySeconds: map[string][]float64{},
	}
	for _, g := range guarantees {
		r.Verdicts = append(r.Verdicts, &verdict{Guarantee: g})
	}
	return r
}

// check counts one check of a guarantee; problem describes a violation and is empty
// if there is none.
func (r *report) check(g guarantee, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.Verdicts[slices.Index(guarantees, g)]
	v.Checked++
	if problem == "" {
		return
	}
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, problem)
	}
	fmt.Printf("faults: VIOLATION of %q: %s\n", g, problem)
}

// result counts the outcome of one request; kind is its name in the report.
func (r *report) result(kind string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Results[kind]++
	if failed {
		r.lastFailure = time.Now()
	}
}

// failedSince reports whether a request failed after t.
func (r *report) failedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailure.After(t)
}

// lastFailureTime returns when a request last failed.
func (r *report) lastFailureTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailure
}

// fault records and prints a fault that was caused.
func (r *report) fault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults = append(r.Faults, text)
	fmt.Println("faults:", text)
}

// recovery records how long a fault's effects lasted after its end.
func (r *report) recovery(fault string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RecoverySeconds[fault] = append(r.RecoverySeconds[fault], took.Seconds())
}

// finish prints the report and writes it to file unless file is empty. It returns an
// error if a guarantee was violated.
func (r *report) finish(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf("\n%s\n\nrequests by result:\n", r.Command)
	for _, kind := range sortedKeys(r.Results) {
		fmt.Printf("  %-44s %d\n", kind, r.Results[kind])
	}
	fmt.Println("\nseconds until requests succeeded again, by fault:")
	for _, name := range sortedKeys(r.RecoverySeconds) {
		fmt.Printf("  %-32s %s\n", name, formatSeconds(r.RecoverySeconds[name]))
	}
	fmt.Println("\nguarantees:")
	violations := 0
	for _, v := range r.Verdicts {
		fmt.Printf("  %-62s checked %6d, violations %d\n", v.Guarantee, v.Checked, v.Violations)
		violations += v.Violations
	}
	if file != "" {
		if err := writeJSON(file, r); err != nil {
			return err
		}
	}
	if violations > 0 {
		return trace.BadParameter("%d checks found a violation", violations)
	}
	return nil
}

func formatSeconds(list []float64) string {
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%.1f", s))
	}
	return strings.Join(parts, " ")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
