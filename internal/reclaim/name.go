package reclaim

import (
	"strconv"
	"strings"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// holdName is a parsed name of a hold, "OWNER/INCARNATION/UUID".
type holdName struct {
	owner       string
	incarnation uint64
}

// parseName parses the name of a hold; false means that it names no owner.
func parseName(name string) (holdName, bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return holdName{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return holdName{}, false
	}
	return holdName{owner: parts[0], incarnation: incarnation}, true
}

// sweeperOf returns the ID of the member that sweeps an engine, by rendezvous
// hashing: the member with the highest hash of engine and member. A change of the
// members reassigns only the engines of the members that joined or left.
func sweeperOf(engine string, members []peer.Member) string {
	return peer.Owner(members, engine, nil)
}
