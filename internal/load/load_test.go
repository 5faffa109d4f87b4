package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

var epoch = time.Unix(1_000_000, 0)

func TestReportIsCorrectedByOwnSends(t *testing.T) {
	tr := NewTracker()
	tr.Report(upstream.LoadReport{Sequence: 1, Boot: "a", MemoryTokens: 1000, Requests: []string{"old"}}, epoch)
	tr.Sent(Send{ID: "old", Work: 500, SentAt: epoch.Add(-time.Millisecond)}, 0)
	tr.Sent(Send{ID: "new", Work: 700, Memory: 90, SentAt: epoch.Add(time.Millisecond)}, 0)
	tr.FirstToken("old", epoch)
	e := tr.Estimate(epoch)
	if e.Queued != 700 || e.UsedTokens != 90 || e.Streams != 2 {
		t.Errorf("got %+v, want the uncounted send alone", e)
	}
}

func TestOldReportsAreNotTaken(t *testing.T) {
	tr := NewTracker()
	tr.Report(upstream.LoadReport{Sequence: 5, Boot: "a", QueuedPromptTokens: 9000}, epoch)
	if taken, _ := tr.Report(upstream.LoadReport{Sequence: 4, Boot: "a"}, epoch); taken {
		t.Error("a lower sequence of the same boot was taken")
	}
	if taken, restarted := tr.Report(upstream.LoadReport{Sequence: 1, Boot: "b"}, epoch); !taken || !restarted {
		t.Error("a new boot must be taken and told")
	}
}

func TestPeerHintsExpire(t *testing.T) {
	tr := NewTracker()
	tr.PeerHint("p", Outstanding{Work: [4]float64{3: 4000}, Streams: 1}, epoch)
	if e := tr.Estimate(epoch.Add(time.Second)); e.Queued != 4000 {
		t.Errorf("got %+v", e)
	}
	if e := tr.Estimate(epoch.Add(hintLifetime + 1)); e.Queued != 0 {
		t.Errorf("an expired hint counts: %+v", e)
	}
}

// TestInstancesDoNotHerd sends requests from seven instances that all see the
// same stale reports and compares the fullest engine with the mean.
func TestInstancesDoNotHerd(t *testing.T) {
	const engines, instances, requests = 15, 7, 600
	peak := func(withHints bool) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		var views [instances][engines]*Tracker
		for i := range views {
			for e := range views[i] {
				views[i][e] = NewTracker()
				views[i][e].Report(upstream.LoadReport{Sequence: 1, Boot: "b"}, epoch)
			}
		}
		var truth [engines]float64
		for r := range requests {
			self := random.IntN(instances)
			best := 0
			for e := range engines {
				if views[self][e].Estimate(epoch).Queued < views[self][best].Estimate(epoch).Queued {
					best = e
				}
			}
			truth[best] += 1000
			views[self][best].Sent(Send{ID: string(rune(r)), Work: 1000, SentAt: epoch.Add(1)}, 0)
			if withHints && r%20 == 0 {
				shareHints(views[:])
			}
		}
		top := 0.0
		for _, w := range truth {
			top = max(top, w)
		}
		return top / (requests * 1000 / engines)
	}
	if with, without := peak(true), peak(false); with > 1.25 || without <= with {
		t.Errorf("fullest engine over mean: %.2f with hints, %.2f without", with, without)
	}
}

func shareHints(views [][15]*Tracker) {
	for from := range views {
		for to := range views {
			for e := range views[from] {
				if from != to {
					views[to][e].PeerHint(string(rune('a'+from)), views[from][e].Outstanding(), epoch)
				}
			}
		}
	}
}

func TestHintRoundTripAndLimits(t *testing.T) {
	entries := make([]HintEntry, 100)
	for i := range entries {
		entries[i] = HintEntry{Key: Key(i), Outstanding: Outstanding{Work: [4]float64{3: float64(i)}}}
	}
	entries[0].Outstanding.Exclusive = true
	data, err := EncodeHint(entries)
	if err != nil {
		t.Fatal(err)
	}
	h, err := DecodeHint(data)
	if err != nil || len(h.Entries) != MaxHintEntries || h.Entries[0].Key != 0 || h.Entries[1].Key != 99 {
		t.Fatalf("got %d entries, %v", len(h.Entries), err)
	}
	if _, err := DecodeHint([]byte{0xff}); err == nil {
		t.Error("a broken hint was taken")
	}
	t.Logf("%d entries take %d bytes", MaxHintEntries, len(data))
}

func TestPrefixIndex(t *testing.T) {
	x := NewPrefixIndex()
	x.Add(1, "a")
	x.Add(1, "b")
	x.Add(2, "b")
	var out [MaxHolders]PrefixHolder
	if n := x.Lookup([]uint64{1, 2, 3}, &out); n != 1 || out[0] != (PrefixHolder{"b", 1024}) {
		t.Errorf("got %d %v", n, out)
	}
	x.Forget("b")
	if n := x.Lookup([]uint64{1, 2, 3}, &out); n != 1 || out[0] != (PrefixHolder{"a", 512}) {
		t.Errorf("got %d %v", n, out)
	}
}
