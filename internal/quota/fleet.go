package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// fleet follows the membership: it chooses the owners of workspaces and detects
// that a part of the fleet may be partitioned off.
type fleet struct {
	self    string
	members []peer.Member
	// current holds the members by ID.
	current map[string]peer.Member
	// lost holds the instances that disappeared without having announced that
	// they leave.
	lost map[string]lostMember
	// candidates lists the instances that can own workspaces: those that are
	// not leaving.
	candidates []candidateHash
}

type lostMember struct {
	member peer.Member
	at     time.Time
}

type candidateHash struct {
	id   string
	hash uint64
}

func newFleet(self string) *fleet {
	return &fleet{self: self, current: map[string]peer.Member{}, lost: map[string]lostMember{}}
}

// change describes the effect of an update of the membership.
type change struct {
	// members reports whether the members, and so the candidates for ownership,
	// have changed.
	members bool
	// healed reports whether a process reappeared that had been lost: it, or
	// this instance, may have been partitioned off or paused.
	healed bool
}

// update applies the current members. The slices that the bus returns are
// immutable, so the same slice means no change.
func (f *fleet) update(members []peer.Member, now time.Time) change {
	for id, l := range f.lost {
		if now.Sub(l.at) > lostMemberRetention {
			delete(f.lost, id)
		}
	}
	if sameMembers(f.members, members) {
		return change{}
	}
	f.members = members
	c := change{members: true}
	current := make(map[string]peer.Member, len(members))
	for _, m := range members {
		current[m.ID] = m
		if l, ok := f.lost[m.ID]; ok {
			c.healed = c.healed || l.member.Incarnation == m.Incarnation
			delete(f.lost, m.ID)
		}
	}
	for id, m := range f.current {
		if _, ok := current[id]; !ok && !m.Leaving {
			f.lost[id] = lostMember{m, now}
		}
	}
	f.current = current
	f.setCandidates()
	return c
}

func sameMembers(a, b []peer.Member) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (f *fleet) setCandidates() {
	f.candidates = f.candidates[:0]
	for _, m := range f.members {
		if !m.Leaving {
			f.candidates = append(f.candidates, candidateHash{m.ID, xxhash.Sum64String(m.ID)})
		}
	}
	if len(f.candidates) == 0 {
		f.candidates = append(f.candidates, candidateHash{f.self, xxhash.Sum64String(f.self)})
	}
}

// owner returns the owner of the workspace with this hash by rendezvous hashing:
// the candidate whose combined hash is highest.
func (f *fleet) owner(hash uint64) string {
	best, highest := "", uint64(0)
	for _, k := range f.candidates {
		if h := mix(k.hash ^ hash); best == "" || h > highest {
			best, highest = k.id, h
		}
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// size is the number of instances that may be running, whether visible or
// partitioned off.
func (f *fleet) size(listed int) int { return max(len(f.current)+len(f.lost), listed, 1) }

// visibleFraction is the fraction of those instances that this one can see.
func (f *fleet) visibleFraction(listed int) float64 {
	return float64(max(1, len(f.current))) / float64(f.size(listed))
}
