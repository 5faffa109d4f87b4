// Package deployment holds an instance's view of its deployment on a platform: the
// active configuration and the list of upstreams. The platform's adapter delivers
// both as they change; readers get immutable snapshots.
//
// A State holds the current snapshot, a View. A Source is a table of the platform's
// store, and a Follower keeps the State up to date from it. A revision is the store's
// version at a change; through an Exchange, instances compare the revisions that they
// have seen and fetch from each other what the store does not deliver.
//
// A snapshot is never replaced by an older one, whichever source delivers it.
package deployment
