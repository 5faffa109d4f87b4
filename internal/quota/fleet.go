package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// fleet follows the membership, to choose keepers and to notice that a part of
// the fleet may be cut off.
type fleet struct {
	self    string
	members []peer.Member
	present map[string]peer.Member
	// lost holds the instances that vanished without leaving.
	lost map[string]lostMember
	// keepers lists the instances that can be keepers: those not leaving.
	keepers []keeperHash
}

type lostMember struct {
	member peer.Member
	at     time.Time
}

type keeperHash struct {
	id   string
	hash uint64
}

func newFleet(self string) *fleet {
	return &fleet{self: self, present: map[string]peer.Member{}, lost: map[string]lostMember{}}
}

// change says what an update of the membership means.
type change struct {
	// members states that the set of possible keepers differs.
	members bool
	// healed states that a process came back that had been missing: it, or
	// this instance, may have been cut off or paused.
	healed bool
}

// update takes the present members. Slices of the bus are immutable, so the
// same slice means no change.
func (f *fleet) update(members []peer.Member, now time.Time) change {
	for id, l := range f.lost {
		if now.Sub(l.at) > lostMemory {
			delete(f.lost, id)
		}
	}
	if sameMembers(f.members, members) {
		return change{}
	}
	f.members = members
	c := change{members: true}
	present := make(map[string]peer.Member, len(members))
	for _, m := range members {
		present[m.ID] = m
		if l, ok := f.lost[m.ID]; ok {
			c.healed = c.healed || l.member.Incarnation == m.Incarnation
			delete(f.lost, m.ID)
		}
	}
	for id, m := range f.present {
		if _, ok := present[id]; !ok && !m.Leaving {
			f.lost[id] = lostMember{m, now}
		}
	}
	f.present = present
	f.setKeepers()
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

func (f *fleet) setKeepers() {
	f.keepers = f.keepers[:0]
	for _, m := range f.members {
		if !m.Leaving {
			f.keepers = append(f.keepers, keeperHash{m.ID, xxhash.Sum64String(m.ID)})
		}
	}
	if len(f.keepers) == 0 {
		f.keepers = append(f.keepers, keeperHash{f.self, xxhash.Sum64String(f.self)})
	}
}

// keeper returns the workspace's keeper: the member with the highest hash.
func (f *fleet) keeper(workspaceHash uint64) string {
	best, highest := "", uint64(0)
	for _, k := range f.keepers {
		if h := mix(k.hash ^ workspaceHash); best == "" || h > highest {
			best, highest = k.id, h
		}
	}
	return best
}

// mix is a finalizer of a 64-bit hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// size is the number of instances that may be running, here or cut off.
func (f *fleet) size(listed int) int { return max(len(f.present)+len(f.lost), listed, 1) }

// part is the fraction of those instances that this one can see.
func (f *fleet) part(listed int) float64 {
	return float64(max(1, len(f.present))) / float64(f.size(listed))
}
