// Package placement chooses the upstream of each request so that the requests of
// a service lose as little as possible by lateness, those under way included.
//
// A Planner knows the work that was placed and predicts each engine with package
// enginemodel. Every instance has one, but for each service one instance, its
// home, plans for all: rendezvous hashing over the live instances picks it, so no
// agreement is needed, and two homes at once only plan less well. An instance
// whose home does not answer plans by itself with what it knows.
package placement
