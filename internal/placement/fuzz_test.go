package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// FuzzPeerMessages checks that no message of another instance ends the process of a home,
// or keeps it from placing a job.
func FuzzPeerMessages(f *testing.F) {
	long := shortJob("long")
	long.Prompt, long.MaxOutput, long.Parts = 130_000, 600, []uint64{1, 2}
	adopted := Adoption{Job: long, Decision: Decision{Upstream: "e0", Helpers: []Part{{Upstream: "e1", ReservedTokens: 65_000}}, Trial: []uint64{1}}, Answered: true}
	for _, r := range []placeRequest{
		{Job: &long},
		{Events: []event{{Kind: eventAdopt, ID: "long", Adopted: &adopted}, {Kind: eventFirst, ID: "long"}, {Kind: eventTrialPassed, ID: "long"}, {Kind: eventEnd, ID: "long", End: End{Outcome: Lost}}}},
		{Events: []event{{Kind: eventReset, Owner: "i1", Service: "llm"}, {Kind: eventSuspects, Notices: []poison.Notice{
			{Fingerprint: 1, Crashes: []poison.Crash{{ID: 1}, {ID: 2}}, IsPart: true}, {Parts: []uint64{1, 2}}, {Fingerprint: 1, IsPart: true, Cleared: true},
		}}}},
	} {
		f.Add(encode(r), false)
	}
	notices, err := poison.Encode([]poison.Notice{{Fingerprint: 7, Crashes: []poison.Crash{{ID: 1, Alone: true}}}, {Parts: []uint64{3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(notices, true)
	f.Fuzz(func(t *testing.T, payload []byte, broadcast bool) {
		synctest.Test(t, func(t *testing.T) {
			home := newNodes(peertest.NewNet(time.Millisecond), 1)[0]
			if broadcast {
				home.fleet.handleNotices("peer", payload)
			} else if _, err := home.fleet.handleCall(t.Context(), "peer", payload); err != nil {
				return
			}
			home.fleet.Place(t.Context(), shortJob("next"))
			home.fleet.Ended("llm", "next", End{Outcome: Completed})
			time.Sleep(time.Minute)
			home.fleet.dropDeadOwners(time.Now())
		})
	})
}
