// Package passthrough is an HTTP reverse proxy for unmodified callers: it finds the
// route by host and path, checks the API key, and forwards the request unchanged to
// an upstream that the placer chooses. Answers are returned unchanged. Streams are
// relayed event by event; if the engine is lost, a stream is resumed at another
// engine after the last complete event.
//
// A request that may have run is retried only if its route allows it and the retry
// budget, which all instances share, is not exhausted. A refusal (status 503)
// promises that the request has not run: it is sent only if nothing was sent to an
// upstream, or if the upstream itself stated so.
//
// A prompt that several engines prefill may need memory at more than one of them. The
// memory reserved for it at one engine is a hold, which is renewed as a lease until
// the attempt ends.
package passthrough
