package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func newTracker(t testing.TB, warm bool) *Tracker {
	factory, err := NewTrackerFactory()
	if err != nil {
		t.Fatal(err)
	}
	return factory.NewTracker(epoch, warm)
}

// TestNewUpstreamIsWarmedUp checks that the share of a new upstream grows from
// firstShare to 1 within warmUpTime.
func TestNewUpstreamIsWarmedUp(t *testing.T) {
	h := newTracker(t, false)
	if s := h.Share(epoch, false); s != firstShare {
		t.Errorf("share %v at the start of the warm-up, want firstShare", s)
	}
	if s := h.Share(epoch.Add(warmUpTime), false); s != 1 || h.State() != StateHealthy {
		t.Errorf("share %v in state %s after the warm-up, want 1 and healthy", s, h.State())
	}
}

// TestFailedUpstreamReturnsThroughWarming checks that two failed probes in a row, but
// not one, fail an upstream, and that it is warmed up when a probe succeeds.
func TestFailedUpstreamReturnsThroughWarming(t *testing.T) {
	h := newTracker(t, true)
	h.Probe(false, epoch)
	if h.Share(epoch, false) != 1 {
		t.Error("one failed probe must not fail an upstream")
	}
	h.Probe(false, epoch)
	if h.Share(epoch, false) != 0 || h.Share(epoch, true) != 1 {
		t.Error("a failed upstream must have no share, unless panicking, and then the full share")
	}
	h.Probe(true, epoch)
	if h.State() != StateWarming {
		t.Errorf("state %s after a successful probe, want warming", h.State())
	}
}

// TestErrorsFailUpstreamWithoutProbes checks that failed requests alone fail an
// upstream, although no probe has failed.
func TestErrorsFailUpstreamWithoutProbes(t *testing.T) {
	h := newTracker(t, true)
	for range 4 {
		h.Failure(epoch)
	}
	if h.State() != StateFailed {
		t.Errorf("state %s after four errors in a row, want failed", h.State())
	}
}

// TestSlowUpstreamGetsLessTraffic checks that an upstream which is slower than its
// peers gets slowShare, and is warmed up when its latency is normal again.
func TestSlowUpstreamGetsLessTraffic(t *testing.T) {
	h := newTracker(t, true)
	for range 10 {
		h.Latency(8)
	}
	h.Compare(1, epoch)
	if s := h.Share(epoch, false); s != slowShare {
		t.Errorf("share %v of a slow upstream, want slowShare", s)
	}
	for range 30 {
		h.Latency(1)
	}
	h.Compare(1, epoch)
	if h.State() != StateWarming {
		t.Errorf("state %s after the latency is normal again, want warming", h.State())
	}
}

// TestPanicThreshold checks that the health states are not trusted if less than half
// of several upstreams are usable.
func TestPanicThreshold(t *testing.T) {
	if !Panicking(0, 15) || !Panicking(7, 15) || Panicking(8, 15) || Panicking(0, 1) {
		t.Error("panic threshold is not half of the upstreams")
	}
}

// TestLeavingUpstreamGetsNoTraffic checks on random sequences of events that a
// leaving upstream gets no traffic, which is part of the chart's first invariant.
func TestLeavingUpstreamGetsNoTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factory, err := NewTrackerFactory()
		if err != nil {
			t.Fatal(err)
		}
		h := factory.NewTracker(epoch, true)
		now, leaving := epoch, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				h.Probe(rapid.Bool().Draw(t, "ok"), now)
			case 1:
				h.Success(now)
			case 2:
				h.Failure(now)
			case 3:
				h.Latency(rapid.Float64Range(0, 10).Draw(t, "ratio"))
			case 4:
				h.Compare(1, now)
			case 5:
				leaving = rapid.Bool().Draw(t, "leaving")
				h.SetLeaving(leaving, now)
			case 6:
				h.Restarted(now)
			}
			if leaving && h.Share(now, rapid.Bool().Draw(t, "panic")) != 0 {
				t.Fatal("a leaving upstream has a share")
			}
		}
	})
}
