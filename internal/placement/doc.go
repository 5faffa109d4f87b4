// Package placement chooses the upstream of each request. It minimizes the value
// that the requests of a service, those in flight included, lose by lateness.
//
// A Planner tracks the work that was placed and predicts each engine with package
// enginemodel. Every instance has a Planner, but for each service one instance,
// the home instance, plans for all. Rendezvous hashing over the live instances
// picks the home, so that no agreement is needed; while two instances both act as
// home, placements are only suboptimal. An instance whose home does not answer
// plans alone with what it knows.
package placement
