// Package dispatch runs one request's life: it asks the scheduler for an
// upstream, sends the request, relays the answer, and decides what to do when
// the upstream refuses, falls silent, or is lost.
//
// The life of a generation request follows charts/request.yaml. A call of a
// plain service follows either Idempotent, which may try again, or AtMostOnce,
// which sends only under a claim of the ledger and never twice.
package dispatch
