package hosted

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// TestFewStrongInstancesRelay checks that in large fleets few and strong instances follow the
// store, that the others are spread over them, and that in small ones each follows it by itself.
func TestFewStrongInstancesRelay(t *testing.T) {
	for _, n := range []int{2, 7, 29, 30, 65, 195, 410} {
		members := make([]peer.Member, n)
		for i := range members {
			members[i] = peer.Member{ID: fmt.Sprint("m", i), Capacity: uint32(200 + 600*(i%2))}
		}
		served := map[string]int{}
		direct := 0
		for _, m := range members {
			relays := relaysOf(m.ID, members)
			if len(relays) == 0 {
				direct++
				continue
			}
			if len(relays) < minWatchers {
				t.Errorf("%d members: %s has %d relays, want %d at least", n, m.ID, len(relays), minWatchers)
			}
			served[relays[0]]++
		}
		want := max(minWatchers, (n+instancesPerWatcher-1)/instancesPerWatcher)
		if n < relayedFleet {
			want = n
		}
		if direct != want {
			t.Errorf("%d members: %d follow the store by themselves, want %d", n, direct, want)
		}
		for _, m := range members {
			if served[m.ID] > 0 && m.Capacity < 800 {
				t.Errorf("%d members: %s is weak and relays to %d", n, m.ID, served[m.ID])
			}
			if served[m.ID] > 2*instancesPerWatcher {
				t.Errorf("%d members: %s relays to %d instances", n, m.ID, served[m.ID])
			}
		}
	}
}
