package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/result"
)

var epoch = time.Unix(1_000_000, 0)

func attempt() Attempt {
	return Attempt{Workspace: "w", Upstream: "e", Ran: result.NotRun, Deadline: epoch.Add(time.Minute), Number: 1}
}

// TestNotRetryableWhateverBudget checks that a full budget allows no other attempt if
// the request may not run twice, has no time left, or was tried too often.
func TestNotRetryableWhateverBudget(t *testing.T) {
	cases := map[string]func(*Attempt){
		"ran":                        func(a *Attempt) { a.Ran = result.Ran },
		"may have run, at most once": func(a *Attempt) { a.Ran, a.NonIdempotent = result.MayHaveRun, true },
		"past the deadline":          func(a *Attempt) { a.Deadline = epoch },
		"no time for the work":       func(a *Attempt) { a.Needs = time.Hour },
		"too many attempts":          func(a *Attempt) { a.Number = MaxAttempts },
	}
	for name, change := range cases {
		a := attempt()
		change(&a)
		if e := NewPolicy().Allow(a, epoch); e == nil || e.Execution != a.Ran {
			t.Errorf("%s: got %v", name, e)
		}
	}
	a := attempt()
	a.NonIdempotent = true
	if e := NewPolicy().Allow(a, epoch); e != nil {
		t.Errorf("an attempt that did not run must be retryable: %v", e)
	}
}

// TestRetriesAreBoundedBySuccesses checks on random sequences that the retries do
// not exceed the initial budget plus a fraction of the successes.
func TestRetriesAreBoundedBySuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPolicy()
		successes, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				p.Success("w", "e")
				successes++
			} else if p.Allow(attempt(), epoch) == nil {
				retries++
			}
		}
		if float64(retries) > maxWorkspaceRetries+retriesPerSuccess*float64(successes)+1e-6 {
			t.Fatalf("%d retries after %d successes", retries, successes)
		}
	})
}
