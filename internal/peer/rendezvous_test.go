package peer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestOwnerIsFirstOfRanked checks that Owner and Ranked agree, that both omit
// leaving members, and that without its owner a key moves to the second of the
// ranking.
func TestOwnerIsFirstOfRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		for i := range rapid.IntRange(1, 30).Draw(t, "n") {
			members = append(members, Member{ID: fmt.Sprint("m", i), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		key := rapid.String().Draw(t, "key")
		ranked := Ranked(members, key)
		owner := Owner(members, key, nil)
		if len(ranked) == 0 {
			if owner != "" {
				t.Fatalf("owner %q although all members are leaving", owner)
			}
			return
		}
		if owner != ranked[0].ID {
			t.Fatalf("owner %q, first of the ranking %q", owner, ranked[0].ID)
		}
		next := Owner(members, key, func(m Member) bool { return m.ID != owner })
		if len(ranked) > 1 && next != ranked[1].ID {
			t.Fatalf("without %q the owner is %q, want %q", owner, next, ranked[1].ID)
		}
	})
}
