// Package deployment holds an instance's view of its deployment on a platform: the
// active configuration and the list of upstreams. The platform's adapter delivers
// both as they change; readers get immutable snapshots.
//
// A snapshot is never replaced by an older one, whichever source delivers it.
package deployment
