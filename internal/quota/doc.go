// Package quota enforces each workspace's limits for the fleet as a whole: on
// requests per second, on tokens per second, and on requests in flight (slots).
//
// Each workspace's limit has an owner among the live instances, chosen by
// rendezvous hashing. The owner grants shares of the limit to the instances that
// have demand, as leases that are short where the limit is nearly used. Request
// handlers call Take, which draws on the local share and does no I/O. An instance
// without a valid lease falls back to the limit divided by the number of
// instances. A small part of each limit is never granted as leases: it is divided
// evenly among the instances, and each may use its part, its allowance, at any
// time without a lease. See docs/design for the alternatives considered and the
// bound on overshoot, the requests admitted in excess of a limit.
package quota
