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
	// smallFleet is the number of upstreams up to which each instance uses all.
	smallFleet = 64
	// minSubset is the least number of upstreams per model or service.
	minSubset = 8
	// coverage is the least number of instances that use each upstream, on
	// average.
	coverage = 4
)

// subset returns the upstreams that this instance uses. In a large fleet an
// instance that followed every upstream would spend more on it than on its
// requests, so each takes a few of every model and service by rendezvous
// hashing, half of them in its own data centre as far as there are any. The
// choice is stable: an upstream that comes or goes changes it by one.
func subset(entries []*catalogue.Entry, self peer.Member, members int) []*catalogue.Entry {
	if len(entries) <= smallFleet {
		return entries
	}
	chosen := map[string]bool{}
	for target, group := range byTarget(entries) {
		size := max(minSubset, (coverage*len(group)+members-1)/max(1, members))
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

// choose returns size upstreams of a group: up to half from the instance's data
// centre, the rest from anywhere, each time those with the highest hash.
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
