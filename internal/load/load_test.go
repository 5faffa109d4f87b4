package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

var epoch = time.Unix(1_000_000, 0)

// TestReportIsCorrectedByOwnSends checks that a request which the last report does
// not list is added to it, and that one which it lists is not counted twice.
func TestReportIsCorrectedByOwnSends(t *testing.T) {
	tr := NewTracker()
	tr.Report(upstream.LoadReport{Sequence: 1, Boot: "a", MemoryTokens: 1000, Requests: []string{"old"}}, epoch)
	tr.Sent(Send{ID: "old", Work: 500, SentAt: epoch.Add(-time.Millisecond)}, 0)
	tr.Sent(Send{ID: "new", Work: 700, MemoryTokens: 90, SentAt: epoch.Add(time.Millisecond)}, 0)
	tr.FirstToken("old", epoch)
	e := tr.Estimate(epoch)
	if e.Queued != 700 || e.UsedTokens != 90 || e.Streams != 2 {
		t.Errorf("got %+v, want two streams, and the work and memory of the new request alone", e)
	}
}

// TestOldReportsAreRejected checks that a report which arrives out of order is
// rejected, and that a restart of the upstream, which begins a new sequence, is
// recognised.
func TestOldReportsAreRejected(t *testing.T) {
	tr := NewTracker()
	tr.Report(upstream.LoadReport{Sequence: 5, Boot: "a", QueuedPromptTokens: 9000}, epoch)
	if accepted, _ := tr.Report(upstream.LoadReport{Sequence: 4, Boot: "a"}, epoch); accepted {
		t.Error("a report with a lower sequence number of the same boot was accepted")
	}
	if accepted, restarted := tr.Report(upstream.LoadReport{Sequence: 1, Boot: "b"}, epoch); !accepted || !restarted {
		t.Error("a report of a new boot was rejected or not recognised as a restart")
	}
}

// TestPeerHintsExpire checks that a peer's hint counts until hintLifetime has passed.
func TestPeerHintsExpire(t *testing.T) {
	tr := NewTracker()
	tr.PeerHint("p", Outstanding{Work: [4]float64{3: 4000}, Streams: 1}, epoch)
	if e := tr.Estimate(epoch.Add(time.Second)); e.Queued != 4000 {
		t.Errorf("got %+v, want the 4000 tokens of the hint", e)
	}
	if e := tr.Estimate(epoch.Add(hintLifetime + 1)); e.Queued != 0 {
		t.Errorf("an expired hint counts: %+v", e)
	}
}

// TestInstancesDoNotHerd checks that instances which share hints do not overload an
// engine that is empty according to an old report. Seven instances have the same
// reports, which show 20k tokens queued on the other engines; each of 70 requests
// goes to the engine for which its instance estimates the least work.
func TestInstancesDoNotHerd(t *testing.T) {
	const engines, instances, requests, queued, work = 15, 7, 70, 20_000, 1000
	sentToEmpty := func(withHints bool) (tokens int) {
		random := rand.New(rand.NewPCG(1, 2))
		var trackers [instances][engines]*Tracker
		for i := range trackers {
			for e := range trackers[i] {
				trackers[i][e] = NewTracker()
				report := upstream.LoadReport{Sequence: 1, Boot: "b"}
				if e > 0 {
					report.QueuedPromptTokens = queued
				}
				trackers[i][e].Report(report, epoch)
			}
		}
		for r := range requests {
			self := random.IntN(instances)
			best := 0
			for e := range engines {
				if trackers[self][e].Estimate(epoch).Queued < trackers[self][best].Estimate(epoch).Queued {
					best = e
				}
			}
			if best == 0 {
				tokens += work
			}
			trackers[self][best].Sent(Send{ID: string(rune(r)), Work: work, SentAt: epoch.Add(1)}, 0)
			if withHints && r%5 == 0 {
				shareHints(trackers[:])
			}
		}
		return tokens
	}
	with, without := sentToEmpty(true), sentToEmpty(false)
	t.Logf("tokens sent to the empty engine: %d with hints, %d without", with, without)
	if with > queued+7*work || without < 3*queued {
		t.Error("want with hints hardly more tokens than the other engines have queued, and without them at least three times as many")
	}
}

// shareHints passes the outstanding requests of each instance to all others.
func shareHints(trackers [][15]*Tracker) {
	for from := range trackers {
		for to := range trackers {
			for e := range trackers[from] {
				if from != to {
					trackers[to][e].PeerHint(string(rune('a'+from)), trackers[from][e].Outstanding(), epoch)
				}
			}
		}
	}
}

// TestHintRoundTripAndLimits checks that a hint with too many entries keeps those of
// exclusive and of the busiest upstreams, and that an invalid payload is rejected.
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
	h, err := DecodeHint("peer", data)
	if err != nil || len(h.Entries) != MaxHintEntries || h.Entries[0].Key != 0 || h.Entries[1].Key != 99 {
		t.Fatalf("got %d entries, %v", len(h.Entries), err)
	}
	if _, err := DecodeHint("peer", []byte{0xff}); err == nil {
		t.Error("an invalid payload was accepted")
	}
	t.Logf("%d entries take %d bytes", MaxHintEntries, len(data))
}

// TestPrefixIndex checks that a lookup finds the holder of the longest prefix, and
// another one after that holder is removed.
func TestPrefixIndex(t *testing.T) {
	x := NewPrefixIndex()
	x.Add(1, "a")
	x.Add(1, "b")
	x.Add(2, "b")
	var out [MaxHolders]PrefixHolder
	if n := x.Lookup([]uint64{1, 2, 3}, &out); n != 1 || out[0] != (PrefixHolder{"b", 1024}) {
		t.Errorf("got %d %v", n, out)
	}
	x.RemoveUpstream("b")
	if n := x.Lookup([]uint64{1, 2, 3}, &out); n != 1 || out[0] != (PrefixHolder{"a", 512}) {
		t.Errorf("got %d %v", n, out)
	}
}
