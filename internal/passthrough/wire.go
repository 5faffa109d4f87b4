package passthrough

import (
	"net/http"
	"time"
)

// Call is what a request's header says beside its method and path.
type Call struct {
	// ID names this attempt of the caller; each has its own.
	ID string
	// Remaining is how long the caller waits; zero if it does not say.
	Remaining time.Duration
	// Key is the API key; empty if none was sent.
	Key string
	// PromptTokens and MaxOutputTokens are the size of a generation; zero if
	// the header does not say.
	PromptTokens    int
	MaxOutputTokens int
	// LikelyOutputTokens is the caller's estimate, often far off; zero if
	// unknown.
	LikelyOutputTokens int
}

// Helper is an engine that computes a part of a prompt.
type Helper struct {
	// Address is host:port.
	Address string
	// Reservation names the memory there that takes the part's cache; empty if
	// the first engine keeps it.
	Reservation string
}

// Outgoing is what the system tells an upstream beside the caller's request.
type Outgoing struct {
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Upstream is the ID of the upstream that is meant; any other refuses.
	Upstream string
	// Workspace is the caller's; empty on a public route.
	Workspace string
	// Urgency orders prompts in an engine: 0 first, 9 last.
	Urgency int
	// Generation requests carry the urgency and helpers.
	Generation bool
	Helpers    []Helper
	// LastEventID resumes a stream after an event; empty sends the caller's.
	LastEventID string
}

// Reply is what an answer's header says beside its status.
type Reply struct {
	// CallID is the ID of the call that is answered; empty if not said.
	CallID string
	// Signed answers come from an upstream's own program.
	Signed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Encoded bodies are not the upstream's own bytes.
	Encoded bool
}

// Codec translates between headers and what they mean.
type Codec interface {
	ReadCall(h http.Header) Call
	// WriteCall sets dst to what is sent to an upstream.
	WriteCall(dst, caller http.Header, o Outgoing)
	ReadReply(status int, h http.Header) Reply
	// WriteReply sets dst to what the caller gets of an upstream's header.
	WriteReply(dst, upstream http.Header)
	// WriteCallID names the answered call in an answer of the system's own.
	WriteCallID(dst http.Header, id string)
}
