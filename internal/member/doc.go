// Package member finds the other instances of the deployment, tells which of
// them are alive, and carries messages between them. It implements peer.Bus.
//
// Each instance keeps a bounded number of links to others, chosen as its
// neighbours on rings (see rings.go), and exchanges heartbeats over them. A
// neighbour that falls silent and cannot be dialled again is suspected; the
// suspicion is gossiped, and the suspect refutes it with a higher sequence
// number or is declared dead after a timeout. Whole data centres are watched
// by counters that travel with the heartbeats. Broadcasts flood the links with
// duplicate suppression; calls use a direct link that is opened on demand.
//
// One goroutine, Run, owns the control state; what others read are immutable
// snapshots behind atomic pointers.
package member
