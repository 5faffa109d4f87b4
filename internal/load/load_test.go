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

// TestInstancesDoNotHerd gives seven instances the same old reports, in which
// one engine is empty and the others have 20k tokens queued. Each of 70 requests
// takes the engine with the least work; the test looks at the empty one.
func TestInstancesDoNotHerd(t *testing.T) {
	const engines, instances, requests, queued, work = 15, 7, 70, 20_000, 1000
	herd := func(withHints bool) (toEmpty int) {
		random := rand.New(rand.NewPCG(1, 2))
		var views [instances][engines]*Tracker
		for i := range views {
			for e := range views[i] {
				views[i][e] = NewTracker()
				report := upstream.LoadReport{Sequence: 1, Boot: "b"}
				if e > 0 {
					report.QueuedPromptTokens = queued
				}
				views[i][e].Report(report, epoch)
			}
		}
		for r := range requests {
			self := random.IntN(instances)
			best := 0
			for e := range engines {
				if views[self][e].Estimate(epoch).Queued < views[self][best].Estimate(epoch).Queued {
					best = e
				}
			}
			if best == 0 {
				toEmpty += work
			}
			views[self][best].Sent(Send{ID: string(rune(r)), Work: work, SentAt: epoch.Add(1)}, 0)
			if withHints && r%5 == 0 {
				shareHints(views[:])
			}
		}
		return toEmpty
	}
	with, without := herd(true), herd(false)
	t.Logf("tokens sent to the empty engine: %d with hints, %d without", with, without)
	if with > queued+7*work || without < 3*queued {
		t.Error("hints must keep the engine from getting more than the others have")
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
