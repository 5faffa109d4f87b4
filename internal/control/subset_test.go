package control

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// fleetEntries returns engines of some models in five data centres.
func fleetEntries(engines, models int) []*catalogue.Entry {
	var out []*catalogue.Entry
	for i := range engines {
		out = append(out, &catalogue.Entry{Kind: catalogue.KindUpstream, Name: fmt.Sprintf("e%d", i), Upstream: &catalogue.UpstreamSpec{
			DataCentre: fmt.Sprintf("dc%d", i%5), Models: []string{fmt.Sprintf("m%d", i%models)},
		}})
	}
	return out
}

// TestSubsetAtTargetSize checks the subsets of 410 instances with 800 engines and
// 29 models: each is small and covers all models, and each engine is used by
// enough instances.
func TestSubsetAtTargetSize(t *testing.T) {
	const instances, engines, models = 410, 800, 29
	entries := fleetEntries(engines, models)
	users := map[string]int{}
	for i := range instances {
		self := peer.Member{ID: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%5)}
		chosen := subset(entries, self, instances)
		if len(chosen) > models*minSubset {
			t.Fatalf("instance %d follows %d engines", i, len(chosen))
		}
		perModel := map[string]int{}
		for _, e := range chosen {
			users[e.Name]++
			perModel[e.Upstream.Models[0]]++
		}
		if len(perModel) != models {
			t.Fatalf("instance %d reaches %d of %d models", i, len(perModel), models)
		}
	}
	for _, e := range entries {
		if users[e.Name] < instancesPerUpstream {
			t.Errorf("engine %s is used by %d instances", e.Name, users[e.Name])
		}
	}
}

// TestSubsetIsStable checks that adding an engine changes the subset by at most one
// engine, and that in a small fleet all engines are used.
func TestSubsetIsStable(t *testing.T) {
	entries := fleetEntries(800, 29)
	self := peer.Member{ID: "i1", DataCentre: "dc1"}
	before := map[string]bool{}
	for _, e := range subset(entries[1:], self, 410) {
		before[e.Name] = true
	}
	changed := 0
	for _, e := range subset(entries, self, 410) {
		if !before[e.Name] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d engines changed", changed)
	}
	if got := subset(entries[:25], self, 7); len(got) != 25 {
		t.Errorf("%d of 25 engines of a small fleet are used", len(got))
	}
}

// TestPollTrafficIsWithinBudget checks that the polls of one instance at the target
// size use at most half of its control traffic budget of 3 KB/s.
func TestPollTrafficIsWithinBudget(t *testing.T) {
	net := peertest.NewNet(0)
	for i := range 409 {
		net.Join(peer.Member{ID: fmt.Sprintf("i%d", i)})
	}
	c := New(Options{
		Bus: net.Join(peer.Member{ID: "self"}), Scheduler: admit.New(admit.Options{}), Limiter: &fakeEnvironment{},
		Upstreams: &fakeEnvironment{}, LiveList: &fakeEnvironment{},
	})
	c.setUpstreams(fleetEntries(800, 29))
	perSecond := float64(len(c.polls)) / c.interval().Seconds() * pollBytes
	if perSecond > 1500 {
		t.Fatalf("%d polls every %s are %.0f bytes per second", len(c.polls), c.interval(), perSecond)
	}
}
