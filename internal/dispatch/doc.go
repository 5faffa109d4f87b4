// Package dispatch runs requests: it acquires an upstream from the scheduler,
// sends the request, relays the answer, and decides what to do when the upstream
// refuses, sends nothing for too long, or is lost.
//
// A generation request, that is, one to a model, is run by Generate; its lifecycle
// is defined in charts/request.yaml. If the connection breaks while the engine is
// alive, the stream is resumed on the same engine. If the engine is lost, another
// one may continue the answer after the text delivered so far.
//
// A call of a plain service is run by Idempotent, which may retry, or by AtMostOnce,
// which sends it only while the ledger holds a claim for its idempotency key (see
// package ledger) and never lets it run twice.
package dispatch
