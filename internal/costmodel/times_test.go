package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// work draws a work time: a mean of 60 ms, a long tail, 450 ms at most.
func work(r *rand.Rand) time.Duration {
	const sigma = 0.94
	ms := min(60*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2), 450)
	return time.Duration(ms * float64(time.Millisecond))
}

// observed returns what is known after n work times, 10 ms apart.
func observed(n int, r *rand.Rand) (*Times, time.Time) {
	times, now := NewTimes(), start
	for range n {
		now = now.Add(10 * time.Millisecond)
		times.Observe("web", "search", work(r), now)
	}
	return times, now
}

// TestRemainingWork guards against a remaining time that is the mean however long work has run:
// with a long tail, work that has run for long is expected to run longer, and work close to the
// longest time to end soon.
func TestRemainingWork(t *testing.T) {
	times, now := observed(1000, rand.New(rand.NewPCG(1, 2)))
	w := times.Predict("web", "search", now)
	if w.Mean < 45*time.Millisecond || w.Mean > 70*time.Millisecond {
		t.Errorf("the mean is %v, want some 55 ms", w.Mean)
	}
	fresh, run, late := w.Remaining(0, 1), w.Remaining(100*time.Millisecond, 1), w.Remaining(420*time.Millisecond, 1)
	if run < fresh*5/4 || late > fresh {
		t.Errorf("the remaining time is %v at first, %v after 100 ms, %v after 420 ms", fresh, run, late)
	}
	if slow := w.Remaining(500*time.Millisecond, 5); slow < 5*run*9/10 || slow > 5*run*11/10 {
		t.Errorf("at a fifth of the pace the remaining time after 500 ms is %v, want 5 times %v", slow, run)
	}
}

// TestTimesFallBack guards against routes with few answers that are predicted from these, or not
// at all though the service is known, and against predictions of what is unknown.
func TestTimesFallBack(t *testing.T) {
	times, now := observed(100, rand.New(rand.NewPCG(2, 2)))
	times.Observe("web", "export", 3*time.Second, now)
	if w := times.Predict("web", "export", now); w == nil || w.Mean > 200*time.Millisecond {
		t.Errorf("a route with one answer is predicted as %+v", w)
	}
	if w := times.Predict("other", "search", now); w != nil {
		t.Error("the work time of an unknown service is predicted")
	}
	if w := times.Predict("web", "search", now.Add(10*halfLife)); w != nil {
		t.Error("the work time is predicted long after the last answer")
	}
	if n := len(times.Known(2, now)); n != 2 {
		t.Errorf("%d routes are listed, want 2", n)
	}
}

// TestPace guards against a slow upstream that is not noticed within a few answers, against a
// slow phase that outlasts its end by more than a few, and against ones that are due to chance.
func TestPace(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 2))
	times, now := observed(2000, r)
	w := times.Predict("web", "search", now)
	var noticed, ended, byChance, missed int
	const rounds = 200
	for range rounds {
		var p Pace
		for range 10 {
			p.Observe(work(r), w, now)
			if p.Factor(now) > 1 {
				byChance++
			}
		}
		for p.Factor(now) == 1 {
			p.Observe(5*work(r), w, now)
			noticed++
		}
		for range 20 {
			p.Observe(5*work(r), w, now)
		}
		if p.Factor(now) < 2 {
			missed++
		}
		for p.Factor(now) > 1 {
			p.Observe(work(r), w, now)
			ended++
		}
	}
	t.Logf("slow after %.1f answers, usual after %.1f, by chance after %d of %d, usual after 20 slow ones in %d of %d", float64(noticed)/rounds, float64(ended)/rounds, byChance, 10*rounds, missed, rounds)
	if noticed > 7*rounds || ended > 4*rounds || byChance > rounds/20 || missed > rounds/20 {
		t.Error("want 7 and 4 answers at most, and few slow by chance")
	}
}

// TestPaceOfSilentUpstream guards against a slow phase that never ends because the upstream gets
// no work any more.
func TestPaceOfSilentUpstream(t *testing.T) {
	times, now := observed(100, rand.New(rand.NewPCG(4, 2)))
	w := times.Predict("web", "search", now)
	var p Pace
	for range 20 {
		p.Observe(time.Second, w, now)
	}
	later := now.Add(15 * time.Second)
	if p.Factor(now) == 1 || p.Factor(later) != 1 {
		t.Errorf("the pace is %.2f, and %.2f later", p.Factor(now), p.Factor(later))
	}
}
