// Package dispatch runs requests: it acquires an upstream from the scheduler,
// sends the request, relays the answer, and decides what to do when the upstream
// refuses, sends nothing for too long, or is lost.
//
// The lifecycle of a generation request is defined in charts/request.yaml. A call
// of a plain service is run by Idempotent, which may retry, or by AtMostOnce,
// which sends it only under a claim of the ledger and never lets it run twice.
package dispatch
