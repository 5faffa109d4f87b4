// Package hosted runs an instance on a platform that provides configuration,
// the list of upstreams and a store for what must last. It wires the parts,
// starts them as actors of a run group, and stops them in order.
package hosted
