package admit

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/gang"
)

// TestEndOfGangKeepsEngineOfAnotherFree checks that an engine that two gangs keep free stays
// free until both have ended.
func TestEndOfGangKeepsEngineOfAnotherFree(t *testing.T) {
	s := New(Options{Instance: "i1", Incarnation: 1, Seed: 1})
	s.SetUpstreams([]Upstream{{ID: "e1", URL: "http://e1", Models: []string{"m"}, MemoryTokens: 1000}})
	shares := []gang.Share{{UpstreamID: "e1", Tokens: 500}}
	isFree := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.byID["e1"].candidate.Exclusive
	}
	p := s.pools[poolKey{"m", false}]
	r := &Request{ID: "r", Target: "m", PromptTokens: 1500}
	for range 2 {
		s.locked(func() { s.addGangPlan(shares, 1) })
	}
	suspect := s.grantGang(p, r, []gang.Reservation{{Share: shares[0], Name: "r"}})
	suspect.exclusiveShares, suspect.parts = shares, nil
	suspect.Done(Completed)
	if !isFree() {
		t.Error("the end of a suspect reopened an engine that another gang keeps free")
	}
	s.reopenGang(shares)
	if isFree() {
		t.Error("the engine is still kept free after both ended")
	}
}
