package deployment

import "github.com/banyanroute/banyanroute/internal/peer"

// Instances that follow the store for the others.
const (
	// minWatchers is the least number of watchers; with two, one can fail.
	minWatchers = 2
	// instancesPerWatcher bounds the calls that wait at one watcher: one for each source and
	// instance.
	instancesPerWatcher = 64
)

// Watchers returns the members that follow the store themselves, in order of preference. Strong
// instances answer in time. Members that are leaving pass their part on at once.
func Watchers(members []peer.Member) []peer.Member {
	ranked := peer.Ranked(peer.Strong(members), "store watchers")
	n := max(minWatchers, (len(members)+instancesPerWatcher-1)/instancesPerWatcher)
	return ranked[:min(n, len(ranked))]
}

// RelaysOf returns the watchers through which a member follows the store, in an order that spreads
// the members over them; none if it is a watcher, or there is none.
func RelaysOf(id string, members []peer.Member) []string {
	var ids []string
	for _, m := range peer.Ranked(Watchers(members), id) {
		if m.ID == id {
			return nil
		}
		ids = append(ids, m.ID)
	}
	return ids
}
