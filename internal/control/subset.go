package control

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// Size of the subset of upstreams that one instance uses.
const (
	// maxWithoutSubset is the number of upstreams up to which each instance uses
	// all.
	maxWithoutSubset = 64
	// minSubset is the minimum number of upstreams per model or service in a
	// subset.
	minSubset = 8
	// instancesPerUpstream is the minimum number of instances that use each
	// upstream, on average.
	instancesPerUpstream = 4
)

// subset returns the upstreams that this instance uses. In a large fleet, following
// every upstream would cost an instance more than its requests, so each chooses a
// few upstreams of every model and service by rendezvous hashing, up to half of
// them in its own data centre. The choice is stable: an upstream that is added or
// removed changes it by at most one per model or service.
func subset(entries []*catalogue.Entry, self peer.Member, members int) []*catalogue.Entry {
	if len(entries) <= maxWithoutSubset {
		return entries
	}
	chosen := map[string]bool{}
	for target, group := range byTarget(entries) {
		size := max(minSubset, (instancesPerUpstream*len(group)+members-1)/max(1, members))
		for _, e := range choose(group, target, self, size) {
			chosen[e.Name] = true
		}
	}
	var out []*catalogue.Entry
	for _, e := range entries {
		if chosen[e.Name] {
			out = append(out, e)
		}
	}
	return out
}

// byTarget groups upstreams by the models and services that they serve.
func byTarget(entries []*catalogue.Entry) map[string][]*catalogue.Entry {
	groups := map[string][]*catalogue.Entry{}
	for _, e := range entries {
		if e.Upstream.Service != "" {
			groups["service/"+e.Upstream.Service] = append(groups["service/"+e.Upstream.Service], e)
		}
		for _, model := range e.Upstream.Models {
			groups["model/"+model] = append(groups["model/"+model], e)
		}
	}
	return groups
}

// choose returns size upstreams of a group, those with the highest hashes: up to
// half from the instance's data centre, the rest from any.
func choose(group []*catalogue.Entry, target string, self peer.Member, size int) []*catalogue.Entry {
	rank := func(e *catalogue.Entry) uint64 {
		return xxhash.Sum64String(self.ID + "\x00" + target + "\x00" + e.Name)
	}
	ranked := slices.Clone(group)
	slices.SortFunc(ranked, func(a, b *catalogue.Entry) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			if ra > rb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	var near, rest []*catalogue.Entry
	for _, e := range ranked {
		if e.Upstream.DataCentre == self.DataCentre && len(near) < size/2 {
			near = append(near, e)
		} else {
			rest = append(rest, e)
		}
	}
	return append(near, rest[:min(len(rest), size-len(near))]...)
}
