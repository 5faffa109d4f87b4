// Package fairshare accounts for the work of workspaces that share a set of engines.
//
// Work has two resources, engine time and engine memory, each stated as a fraction of what all
// engines offer in a second. The dominant share of a workspace is the larger of the two, averaged
// over a window in which older work counts exponentially less. The fair share follows from
// max-min fairness: workspaces that do not wait for room keep what they use, and what they leave
// of their shares is divided among those that wait. It is thus reclaimed as soon as its owner
// waits for room.
//
// The package reads no clock and does no I/O.
package fairshare
