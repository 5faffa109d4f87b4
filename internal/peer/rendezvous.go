package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns the members that are not leaving in the order of rendezvous
// hashing for key, the highest hash first. A change of the members reassigns only
// the keys of the members that joined or left.
func Ranked(members []Member, key string) []Member {
	type ranked struct {
		member Member
		hash   uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			list = append(list, ranked{m, rendezvous(key, m.ID)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.member.ID, b.member.ID))
	})
	out := make([]Member, len(list))
	for i, r := range list {
		out[i] = r.member
	}
	return out
}

// Owner returns the ID of the first member in the order of Ranked for which accept
// returns true, or an empty ID if there is none. A nil accept allows all members.
func Owner(members []Member, key string, accept func(Member) bool) string {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		if m.Leaving || accept != nil && !accept(m) {
			continue
		}
		hash := rendezvous(key, m.ID)
		if best == "" || hash > bestHash || hash == bestHash && m.ID < best {
			best, bestHash = m.ID, hash
		}
	}
	return best
}

// strongShare is the fraction of the largest capacity from which on an instance is strong.
const strongShare = 0.5

// Strong returns the members that are strong compared with the others. Tasks that one instance
// does for all go to them while there are any.
func Strong(members []Member) []Member {
	largest := uint32(0)
	for _, m := range members {
		if !m.Leaving {
			largest = max(largest, m.Capacity)
		}
	}
	strong := make([]Member, 0, len(members))
	for _, m := range members {
		if float64(m.Capacity) >= strongShare*float64(largest) {
			strong = append(strong, m)
		}
	}
	return strong
}

// rendezvous returns the hash of key and member.
func rendezvous(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
