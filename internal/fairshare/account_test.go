package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestFirstRequestIsBelowItsShare guards against a workspace that is held to account for the
// flood of another one.
func TestFirstRequestIsBelowItsShare(t *testing.T) {
	a := New()
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		a.Charge("flood", Work{Time: 0.05}, now, now)
		a.Wait("flood", now)
	}
	if got := a.Level("flood", now); got > 1.01 {
		t.Errorf("a workspace that is alone is at %.2f of its share, want at most 1", got)
	}
	a.Wait("new", now)
	now = now.Add(refreshTime)
	if got := a.Level("new", now); got != 0 {
		t.Errorf("a workspace without work is at %.2f of its share, want 0", got)
	}
	if got := a.Level("flood", now); got < 1.9 {
		t.Errorf("the flood is at %.2f of its share beside another workspace, want 2", got)
	}
}

// TestUnusedSharesAreLent guards against a workspace that counts as above its share although the
// others leave theirs, and against shares that their owners do not get back within a second.
func TestUnusedSharesAreLent(t *testing.T) {
	a := New()
	now := start
	for i := range 9 {
		a.Charge(fmt.Sprint("small", i), Work{Memory: 0.02}, now, now)
	}
	a.Charge("large", Work{Memory: 0.8}, now, now)
	a.Wait("large", now)
	now = now.Add(refreshTime)
	if got := a.Level("large", now); math.Abs(got-1) > 0.01 {
		t.Errorf("the only workspace that waits is at %.2f of its share, want 1", got)
	}
	for i := range 9 {
		a.Wait(fmt.Sprint("small", i), now)
	}
	if got := a.Level("large", now.Add(time.Second-time.Millisecond)); got < 8 {
		t.Errorf("the large workspace is at %.2f of its share while all wait, want 8.2", got)
	}
}

// TestDominantResource guards against a workspace that hides its use of one resource behind
// little use of the other.
func TestDominantResource(t *testing.T) {
	a := New()
	a.Charge("memory", Work{Time: 0.1, Memory: 0.6}, start, start)
	a.Charge("time", Work{Time: 0.6, Memory: 0.1}, start, start)
	if m, w := a.Level("memory", start), a.Level("time", start); math.Abs(m-w) > 1e-9 {
		t.Errorf("levels %.3f and %.3f, want the same", m, w)
	}
}

// TestWeights guards against weights that do not scale the share.
func TestWeights(t *testing.T) {
	a := New()
	a.SetWeight("double", 2, start)
	for _, name := range []string{"double", "single"} {
		a.Charge(name, Work{Time: 0.3}, start, start)
		a.Wait(name, start)
	}
	now := start.Add(refreshTime)
	if d, s := a.Level("double", now), a.Level("single", now); math.Abs(s-2*d) > 1e-9 {
		t.Errorf("levels %.3f and %.3f, want half of the other", d, s)
	}
}

// TestAccountProperties guards against accounts that grow without bound, become negative, give
// more than was done, or leave all that wait above or all below their shares.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New()
		now := start
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-f]"), 1, 6, rapid.ID).Draw(t, "names")
		name := rapid.SampledFrom(names)
		amount := rapid.Float64Range(0, 2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			w := Work{amount.Draw(t, "time"), amount.Draw(t, "memory")}
			at := now.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				a.Charge(name.Draw(t, "name"), w, at, now)
			case 1:
				a.Refund(name.Draw(t, "name"), w, at, now)
			case 2:
				a.Wait(name.Draw(t, "name"), now)
			case 3:
				a.SetWeight(name.Draw(t, "name"), rapid.Float64Range(0.1, 8).Draw(t, "weight"), now)
			}
		}
		now = now.Add(refreshTime) // the fair share is computed again
		states := a.States(maxEntries, now)
		total, waiting, above, below := 0.0, 0, 0, 0
		for _, s := range states {
			if s.Share < 0 || math.IsNaN(s.Level) || s.Level < 0 {
				t.Fatalf("account %+v", s)
			}
			total += s.Share
			if s.Level > 1+1e-6 {
				above++
			}
			if s.Waiting {
				waiting++
				if s.Level < 1-1e-6 {
					below++
				}
			}
		}
		if math.Abs(total-a.Total(now)) > 1e-6*float64(len(names)) {
			t.Fatalf("total %.6f, sum of all %.6f", a.Total(now), total)
		}
		if total > 1e-3 && waiting > 0 && below == waiting && above == 0 {
			t.Fatalf("all that wait are below their shares, and nobody is above: %+v", states)
		}
		if total > 1e-3 && waiting == 1 && len(states) == 1 && above > 0 {
			t.Fatalf("a workspace that is alone is above its share: %+v", states)
		}
	})
}

// TestRefundUndoesCharge guards against a job that is counted twice when its home changes and
// its jobs are reported again.
func TestRefundUndoesCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New()
		w := Work{rapid.Float64Range(0, 3).Draw(t, "time"), rapid.Float64Range(0, 3).Draw(t, "memory")}
		at := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "at")) * time.Millisecond)
		end := at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "duration")) * time.Millisecond)
		a.Charge("w", Work{1, 1}, start, start)
		before := a.Share("w", end)
		a.Charge("w", w, at, at)
		a.Refund("w", w, at, end)
		if got := a.Share("w", end); math.Abs(got-before) > 1e-9 {
			t.Fatalf("share %.9f after a refund, %.9f without the charge", got, before)
		}
	})
}

// TestAccountIsBounded guards against memory that grows with the names that callers state.
func TestAccountIsBounded(t *testing.T) {
	a := New()
	a.Charge("large", Work{Time: 1}, start, start)
	for i := range 3 * maxEntries {
		a.Charge(fmt.Sprint(i), Work{Time: 0.001}, start, start)
		if len(a.entries) > maxEntries {
			t.Fatalf("%d entries, want at most %d", len(a.entries), maxEntries)
		}
	}
	if a.Share("large", start) == 0 {
		t.Error("the workspace with the most work was dropped")
	}
	a.Charge("later", Work{Time: 1}, start, start.Add(time.Minute))
	a.prune(start.Add(2 * time.Minute))
	if len(a.entries) != 0 {
		t.Errorf("%d entries are kept without work", len(a.entries))
	}
}
