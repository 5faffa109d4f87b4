// Package upstreamlimit keeps track of the rates that upstreams name: how many requests a
// second one takes from all instances together, for as long as its answers say so.
package upstreamlimit
