package passthrough

import (
	"net/http"
	"time"
)

// Call is the information in a request's header beside its method and path.
type Call struct {
	// ID identifies this attempt of the caller; each attempt has its own.
	ID string
	// Remaining is how long the caller waits; zero if unknown.
	Remaining time.Duration
	// Key is the API key; empty if none was sent.
	Key string
	// PromptTokens and MaxOutputTokens are the size of a generation; zero if
	// unknown.
	PromptTokens    int
	MaxOutputTokens int
	// LikelyOutputTokens is the caller's estimate of the output, often far off; zero if
	// unknown.
	LikelyOutputTokens int
}

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	// Address is host:port.
	Address string
	// Reservation names the reserved memory there that holds the part's KV cache; empty
	// if the decoding engine holds it.
	Reservation string
}

// Outgoing is the information sent to an upstream beside the caller's request.
type Outgoing struct {
	// Remaining is the remaining time for the answer.
	Remaining time.Duration
	// Upstream is the ID of the intended upstream; any other refuses the request.
	Upstream string
	// Workspace is the caller's; empty on a public route.
	Workspace string
	// Urgency orders prompts in an engine: 0 first, 9 last.
	Urgency int
	// Generation states that the urgency and the helpers are sent.
	Generation bool
	Helpers    []Helper
	// LastEventID resumes a stream after an event; if empty, the caller's is sent.
	LastEventID string
}

// Reply is the information in an answer's header beside its status.
type Reply struct {
	// CallID is the ID of the answered call; empty if unknown.
	CallID string
	// Signed states that the answer comes from the upstream's own program.
	Signed bool
	// NotRun states that the upstream did not run the request and never will.
	NotRun bool
	// Encoded states that the body has a content encoding and so is not the upstream's
	// own bytes.
	Encoded bool
}

// Codec translates between HTTP headers and the information in them.
type Codec interface {
	ReadCall(h http.Header) Call
	// WriteCall sets dst to the header that is sent to an upstream.
	WriteCall(dst, caller http.Header, o Outgoing)
	ReadReply(status int, h http.Header) Reply
	// WriteReply sets dst to the header that the caller receives for an upstream's
	// header.
	WriteReply(dst, upstream http.Header)
	// WriteCallID sets the ID of the answered call in an answer that this process
	// generates.
	WriteCallID(dst http.Header, id string)
}
