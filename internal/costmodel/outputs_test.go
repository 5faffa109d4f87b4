package costmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// answers observes n answers, 50 ms apart, whose lengths vary around ratio times the hint by a
// factor of e^0.5, and returns the time of the last one.
func answers(l *Learner, r *rand.Rand, workspace string, ratio float64, n int, from time.Time) time.Time {
	for i := range n {
		from = start.Add(from.Sub(start) + 50*time.Millisecond)
		hint := 200 << (i % 4)
		actual := int(ratio * float64(hint) * math.Exp(0.5*r.NormFloat64()))
		l.Observe(Sample{Query: query(workspace, hint), Actual: actual}, from)
	}
	return from
}

func query(workspace string, hint int) Query {
	return Query{Service: "llm", Route: "ask", Workspace: workspace, Prompt: 3000, Hint: hint, Most: 100_000}
}

// wantMedian checks the median predicted for a hint of 400 tokens, which may be off by a factor.
func wantMedian(t *testing.T, l *Learner, workspace string, want, factor float64, now time.Time) {
	t.Helper()
	got := float64(l.Predict(query(workspace, 400), now).Median)
	if got < want/factor || got > want*factor {
		t.Errorf("%q: %.0f tokens are expected, want %.0f within a factor of %.2f", workspace, got, want, factor)
	}
}

// TestWithoutObservations guards against estimates that differ from the caller's figure although
// nothing has been observed.
func TestWithoutObservations(t *testing.T) {
	l := NewLearner()
	for _, c := range []struct{ hint, most, want int }{{400, 1000, 400}, {400, 0, 400}, {0, 1000, 1000}, {2000, 1000, 1000}, {0, 0, 0}} {
		e := l.Predict(Query{Service: "llm", Route: "ask", Workspace: "w", Prompt: 10, Hint: c.hint, Most: c.most}, start)
		if e != (Estimate{Median: c.want, Mean: c.want, High: c.want}) {
			t.Errorf("hint %d, maximum %d: estimate is %+v, want %d tokens without samples", c.hint, c.most, e, c.want)
		}
	}
}

// TestHintsAreScaled guards against hints that are taken as they are, or against a distribution
// that is reduced to one figure.
func TestHintsAreScaled(t *testing.T) {
	for _, ratio := range []float64{0.2, 1, 5} {
		l := NewLearner()
		now := answers(l, rand.New(rand.NewPCG(1, 1)), "w", ratio, 200, start)
		wantMedian(t, l, "w", 400*ratio, 1.2, now)
		e := l.Predict(query("w", 400), now)
		// The quantile 0.9 of the lengths is e^(0.5*1.28) times their median.
		if high := float64(e.High) / float64(e.Median); high < 1.5 || high > 2.4 {
			t.Errorf("ratio %.1f: the high estimate is %.2f times the median, want 1.9", ratio, high)
		}
	}
}

// TestUnderReportingGainsNothing guards against a workspace that gets a lower estimate than others
// by stating a fifth of what it uses, and against one that raises the others' estimates thereby.
func TestUnderReportingGainsNothing(t *testing.T) {
	l, r := NewLearner(), rand.New(rand.NewPCG(2, 1))
	now := start
	for range 60 {
		for w := range 9 {
			now = answers(l, r, fmt.Sprint("honest", w), 1, 1, now)
		}
		now = answers(l, r, "false", 5, 1, now)
	}
	wantMedian(t, l, "false", 2000, 1.4, now)
	wantMedian(t, l, "honest0", 400, 1.3, now)
	wantMedian(t, l, "unknown", 400, 1.4, now)
}

// TestFewSamplesFollowTheRoute guards against estimates that rest on one or two answers.
func TestFewSamplesFollowTheRoute(t *testing.T) {
	l, r := NewLearner(), rand.New(rand.NewPCG(3, 1))
	now := answers(l, r, "usual", 1, 200, start)
	now = answers(l, r, "new", 20, 1, now)
	wantMedian(t, l, "new", 400, 1.5, now)
}

// TestObservationsAge guards against estimates that do not follow a change within a minute, and
// against observations that are used long after the last one.
func TestObservationsAge(t *testing.T) {
	l, r := NewLearner(), rand.New(rand.NewPCG(4, 1))
	now := answers(l, r, "w", 5, 1000, start)
	now = answers(l, r, "w", 0.5, 1200, now)
	wantMedian(t, l, "w", 200, 1.3, now)
	if e := l.Predict(query("w", 400), now.Add(20*halfLife)); e != (Estimate{Median: 400, Mean: 400, High: 400}) {
		t.Errorf("long after the last answer the estimate is %+v, want the hint", e)
	}
}

// TestMemoryIsBounded guards against groups that are kept for each workspace ever seen, and
// against the loss of groups that are in use.
func TestMemoryIsBounded(t *testing.T) {
	const most, workspaces = 4096, 10_000
	l, r := NewLearner(), rand.New(rand.NewPCG(5, 1))
	now := answers(l, r, "used", 5, 50, start)
	for i := range workspaces {
		l.Observe(Sample{Query: query(fmt.Sprint(i), 400), Actual: 400}, now)
		l.Predict(query("used", 400), now)
	}
	if n := l.Groups(); n > most {
		t.Errorf("%d groups are remembered, want %d at most", n, most)
	}
	wantMedian(t, l, "used", 2000, 1.6, now)
}

// TestOddFigures guards against failures on figures that no honest caller sends.
func TestOddFigures(t *testing.T) {
	l := NewLearner()
	for _, n := range []int{math.MinInt, -1, 0, 1, math.MaxInt} {
		q := Query{Prompt: n, Hint: n, Most: n}
		for range 3 {
			l.Observe(Sample{Query: q, Actual: n}, start)
			if e := l.Predict(q, start); e.Median < 0 || e.High < 0 {
				t.Errorf("figure %d: estimate is %+v", n, e)
			}
		}
	}
	l.Observe(Sample{Actual: 100}, start.Add(-time.Hour))
}
