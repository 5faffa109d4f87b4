// Package deployment holds what an instance on a platform believes about its
// deployment: the configuration in force and the upstreams. The platform's
// adapter delivers both as they change; readers see immutable snapshots.
//
// A snapshot never gives way to an older one, whichever source offers it.
package deployment
