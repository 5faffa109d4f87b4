// Package placement chooses the upstream of each request. It minimizes the value
// that the requests of a service, those in flight included, lose by lateness.
//
// A job is one attempt of a request. Its upstream is a process of a plain service, or
// a model engine for a generation. A long prompt may be prefilled by a gang of engines:
// one of them also decodes the answer, the others are its helpers, each of which
// prefills a part of the prompt.
//
// A Planner tracks the work that was placed and predicts each engine with package
// enginemodel. Every instance has a Planner, but for each service one instance,
// the home instance, plans for all; a Fleet sends the jobs there. Rendezvous hashing
// over the live instances picks the home, so that no agreement is needed; while two
// instances both act as home, placements are only suboptimal. An instance whose home
// does not answer plans alone with what it knows.
package placement
