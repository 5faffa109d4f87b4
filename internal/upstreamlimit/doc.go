// Package upstreamlimit keeps track of what upstreams ask of all instances together: how many
// requests a second one takes, for as long as its answers say so, and for how long one wants
// none.
package upstreamlimit
