// Package member is the membership and messaging layer: it discovers the other
// instances of the deployment, detects which of them are alive, and carries
// messages between them. It implements peer.Bus.
//
// Each instance keeps a bounded number of links to others, chosen as its
// neighbours on rings (see rings.go), and exchanges heartbeats over them; these
// links form the overlay. A neighbour from which nothing is received and that
// cannot be dialled again is suspected; the suspicion is gossiped, and the suspect
// refutes it with a higher sequence number or is declared dead after a timeout.
// The reachability of whole data centres is monitored by counters that travel with
// the heartbeats. Broadcasts flood the overlay with duplicate suppression: a link
// on which a duplicate arrives becomes lazy, that is, carries only announcements of
// later broadcasts (except large ones), so that the others, the eager links, form a
// spanning tree. Calls between instances without an overlay link use a direct link
// that is opened on demand.
//
// One goroutine, Run, owns the control state; other goroutines read immutable
// snapshots behind atomic pointers.
package member
