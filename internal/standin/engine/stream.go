package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Request is one generation request.
type Request struct {
	ID string
	// Attempt counts from 1.
	Attempt int
	// Priority orders requests; lower values run first.
	Priority int
	// Deadline is when the request ends and all of its memory is freed.
	Deadline time.Time
	Model    string
	// PromptBytes and Prompt are the length and the hash of the prompt.
	PromptBytes int
	Prompt      answer.Hash
	// MaxTokens is the number of tokens to generate.
	MaxTokens int
	// Start is the number of tokens that another engine has generated already;
	// generation continues after them.
	Start int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []string
	// Reservations are the names of the reservations, in this and in other
	// engines, for a prompt that is larger than the engine.
	Reservations []string
}

// tokens returns the KV memory of the prompt and of the tokens to generate.
func (r Request) tokens() int {
	return promptTokens(r.PromptBytes) + max(0, r.MaxTokens-r.Start)
}

// Refusal is the error of a request or call that the engine refuses or ends.
type Refusal struct {
	// Status is the HTTP status of the answer.
	Status int
	// NotRun reports whether the request ended before any of it was computed.
	NotRun bool
	// RetryAfter is the suggested delay before a retry; zero if there is none.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// refuse returns the refusal of a request of which nothing was computed.
func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, NotRun: true, Message: fmt.Sprintf(format, args...)}
}

// phase is the state of a stream in its life cycle.
type phase int

const (
	// queued streams wait for memory.
	queued phase = iota
	// prefilling streams have memory and an incomplete prompt.
	prefilling
	// decoding streams generate tokens.
	decoding
	// finished streams hold no memory. They can be resumed until they expire.
	finished
)

// stream is the engine's state of one request.
type stream struct {
	req   Request
	phase phase
	// arrival numbers the streams in order of submission.
	arrival uint64
	// prompt is the length of the prompt in tokens.
	prompt int
	// started reports whether memory was ever allocated to the stream.
	started bool
	// computed counts the prompt tokens that are computed or cached, and cached
	// those that were found in the prefix cache.
	computed int
	cached   int
	// position is the number of generated tokens, req.Start included.
	position int
	// The stream's memory consists of private tokens and shared blocks.
	private int
	shared  []string
	// reservation is the local reservation that the stream uses, if any.
	reservation *hold
	// connection counts the connections of the stream; only the latest one may
	// read it.
	connection int
	// attached reports whether the latest connection is open.
	attached bool
	// expires is when a stream without a connection is ended, or when a finished
	// one is removed.
	expires time.Time
	// failure is the reason why a finished stream is incomplete.
	failure *Refusal
	record  *RequestRecord
	// changed is closed and replaced when the reader's view may have changed.
	changed chan struct{}
}

// notify wakes the reader.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokens returns the KV memory that belongs to the stream.
func (s *stream) tokens() int {
	return s.private + len(s.shared)*upstream.BlockTokens
}

// deadline returns when an unfinished stream is ended.
func (s *stream) deadline() time.Time {
	if s.attached || s.req.Deadline.Before(s.expires) {
		return s.req.Deadline
	}
	return s.expires
}

// RequestRecord is the record of one request for checkers.
type RequestRecord struct {
	ID string `json:"id"`
	// Starts counts how often computation of the request began.
	Starts int `json:"starts"`
	// Attempts lists the attempts that were accepted.
	Attempts []int `json:"attempts"`
	// Resumes counts the connections that resumed the stream.
	Resumes int `json:"resumes"`
	// PromptTokens is the length of the prompt, ComputedTokens the part of it
	// that was computed and CachedTokens the part found in the prefix cache.
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	// GeneratedTokens is the total over all attempts.
	GeneratedTokens int `json:"generated_tokens"`
	// Reservations are the names of the request's reservations.
	Reservations []string `json:"reservations,omitempty"`
	// Outcome is that of the latest attempt: "running", "complete" or the reason
	// why it ended.
	Outcome string `json:"outcome"`
	// WhileLeavingMs is the time in milliseconds from when the engine began to
	// leave to the arrival of the request; zero if it was not leaving.
	WhileLeavingMs int64 `json:"while_leaving_ms,omitempty"`
}

// Failures of streams. errFenced is that of a connection or attempt that a later
// one has replaced.
var (
	errFenced       = &Refusal{Status: http.StatusConflict, Message: "a later connection or attempt took the stream over"}
	errDeadline     = &Refusal{Status: http.StatusGatewayTimeout, Message: "deadline exceeded"}
	errCanceled     = &Refusal{Status: 499, Message: "cancelled"}
	errHoldReleased = &Refusal{Status: http.StatusConflict, Message: "the reservation was released"}
)
