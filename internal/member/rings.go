package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// localRings is the number of rings within each data centre.
	localRings = 2
	// bridgeRings is the number of rings through the bridges of all data
	// centres.
	bridgeRings = 2
	// minBridges is the minimum number of bridges per data centre; in a smaller
	// data centre all members are bridges.
	minBridges = 4
	// membersPerBridge is the number of members per bridge in a large data
	// centre.
	membersPerBridge = 8
	// maxDegree bounds the neighbours of a member: two per ring.
	maxDegree = 2 * (localRings + bridgeRings)
)

// bridges returns the members of one data centre that link it to the others: the
// first in ring order, so that all instances with the same view agree.
func bridges(dataCentre []peer.Member) []peer.Member {
	n := max(minBridges, len(dataCentre)/membersPerBridge)
	if len(dataCentre) <= n {
		return dataCentre
	}
	return ringOrder("bridge", dataCentre)[:n]
}

// ringOrder returns the members in their order on the named ring: by a hash of
// the ring's name and the member's ID.
func ringOrder(ring string, members []peer.Member) []peer.Member {
	type position struct {
		hash   uint64
		member peer.Member
	}
	positions := make([]position, len(members))
	for i, m := range members {
		positions[i] = position{xxhash.Sum64String(ring + "/" + m.ID), m}
	}
	sort.Slice(positions, func(i, j int) bool { return positions[i].hash < positions[j].hash })
	ordered := make([]peer.Member, len(members))
	for i, p := range positions {
		ordered[i] = p.member
	}
	return ordered
}

// successor returns the first member after self on the ring that skip does not
// exclude, or false if there is none.
func successor(ring, self string, members []peer.Member, skip func(string) bool) (peer.Member, bool) {
	ordered := ringOrder(ring, members)
	start := -1
	for i, m := range ordered {
		if m.ID == self {
			start = i
		}
	}
	if start < 0 {
		return peer.Member{}, false
	}
	for i := 1; i < len(ordered); i++ {
		m := ordered[(start+i)%len(ordered)]
		if !skip(m.ID) {
			return m, true
		}
	}
	return peer.Member{}, false
}

// wantedNeighbours returns the members that self dials: its successor on each
// ring that it belongs to. With equal views each member has at most maxDegree
// neighbours, dialled and accepted together.
func wantedNeighbours(self peer.Member, members []peer.Member, skip func(string) bool) map[string]peer.Member {
	wanted := map[string]peer.Member{}
	add := func(ring string, ringMembers []peer.Member) {
		if m, ok := successor(ring, self.ID, ringMembers, skip); ok {
			wanted[m.ID] = m
		}
	}
	byDataCentre := groupByDataCentre(members)
	for i := range localRings {
		add("local"+string(rune('0'+i)), byDataCentre[self.DataCentre])
	}
	if len(byDataCentre) == 1 {
		return wanted
	}
	var all []peer.Member
	for _, group := range byDataCentre {
		all = append(all, bridges(group)...)
	}
	for i := range bridgeRings {
		add("bridge"+string(rune('0'+i)), all)
	}
	return wanted
}

func groupByDataCentre(members []peer.Member) map[string][]peer.Member {
	groups := map[string][]peer.Member{}
	for _, m := range members {
		groups[m.DataCentre] = append(groups[m.DataCentre], m)
	}
	return groups
}
