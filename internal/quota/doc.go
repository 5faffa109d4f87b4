// Package quota enforces each workspace's limits for the fleet as a whole.
//
// Each workspace has a keeper among the live instances, chosen by rendezvous
// hashing. The keeper lends shares of the limit to the instances that have
// demand, as leases that are short where the limit is nearly used. Traffic
// calls Take, which draws on the local share and does no I/O. An instance
// without a valid lease falls back to the limit divided by the number of
// instances. A small part of each limit is never lent: each instance may use its
// allowance of it without asking. See docs/design for the weighed ways and the bound on overshoot.
package quota
