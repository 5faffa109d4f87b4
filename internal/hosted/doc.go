// Package hosted runs an instance on a platform that provides configuration, the
// list of upstreams and a store for persistent data. It wires the components,
// starts them as actors of a run group, and shuts them down in order.
package hosted
