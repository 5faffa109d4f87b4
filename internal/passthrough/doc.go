// Package passthrough serves callers over HTTP as they are: it finds the route
// by host and path, checks the key, and forwards the request unchanged to an
// upstream that the placer chooses. Answers come back unchanged; streams are
// relayed event by event and go on at another engine after the last whole event
// if the first one is lost.
//
// A request that may have run is sent again only if its route allows it and the
// retry budget of all instances has room. A refusal promises that the request
// has not run: it is given only if nothing was sent, or if the upstream itself
// said so.
package passthrough
