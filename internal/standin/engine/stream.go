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
	// Priority orders requests; lower runs sooner.
	Priority int
	// Deadline is when everything of the request is freed.
	Deadline time.Time
	Model    string
	// PromptBytes and Prompt are the length and the hash of the prompt.
	PromptBytes int
	Prompt      answer.Hash
	// MaxTokens is the number of tokens to generate.
	MaxTokens int
	// Start is the number of tokens that another engine has generated already;
	// generation goes on after it.
	Start int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []string
	// Reservations name the memory of a prompt larger than the engine, in
	// this engine and in others.
	Reservations []string
}

// tokens returns the KV memory of the prompt and of what is to be generated.
func (r Request) tokens() int {
	return promptTokens(r.PromptBytes) + max(0, r.MaxTokens-r.Start)
}

// Refusal is the error of a request or call that the engine doesn't take.
type Refusal struct {
	// Status is the HTTP status of the answer.
	Status int
	// NotRun states whether nothing of the request was computed.
	NotRun bool
	// RetryAfter is when to come back; zero if that doesn't help.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, NotRun: true, Message: fmt.Sprintf(format, args...)}
}

// phase is where a stream is in its life.
type phase int

const (
	// queued streams wait for memory.
	queued phase = iota
	// prefilling streams have memory and an incomplete prompt.
	prefilling
	// decoding streams generate tokens.
	decoding
	// finished streams hold no memory. They stay known for a while.
	finished
)

// stream is the engine's state of one request.
type stream struct {
	req    Request
	phase  phase
	order  uint64
	prompt int
	// started states whether the stream got memory.
	started bool
	// computed counts prompt tokens that are cached or computed, and cached
	// those that were found in the prefix cache.
	computed int
	cached   int
	// position is the number of generated tokens.
	position int
	// private tokens and shared blocks are the stream's memory.
	private int
	shared  []string
	// reserved is the local reservation that the stream uses, if any.
	reserved *hold
	// connection counts the connections that the stream had; only the latest
	// one reads it.
	connection int
	attached   bool
	// expires is when a stream without a connection is given up, or when a
	// finished one is forgotten.
	expires time.Time
	// failure is why a finished stream is incomplete.
	failure *Refusal
	record  *RequestRecord
	// changed is closed when there is news for the reader.
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

// deadline returns when the stream is given up at the latest.
func (s *stream) deadline() time.Time {
	if s.attached || s.req.Deadline.Before(s.expires) {
		return s.req.Deadline
	}
	return s.expires
}

// RequestRecord is what an outside checker may know about one request.
type RequestRecord struct {
	ID string `json:"id"`
	// Starts counts how often computing began.
	Starts int `json:"starts"`
	// Attempts lists the attempts that were accepted.
	Attempts []int `json:"attempts"`
	// Resumes counts the connections that took up a stream again.
	Resumes int `json:"resumes"`
	// PromptTokens is the length of the prompt, ComputedTokens what was
	// computed of it and CachedTokens what was found in the prefix cache.
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	// GeneratedTokens counts over all attempts.
	GeneratedTokens int `json:"generated_tokens"`
	// Reservations are the names that the request used.
	Reservations []string `json:"reservations,omitempty"`
	// Outcome of the latest attempt: "running", "complete" or why it ended.
	Outcome string `json:"outcome"`
	// WhileLeavingMs is how long after the engine began to leave the request
	// arrived, in milliseconds; zero if it didn't.
	WhileLeavingMs int64 `json:"while_leaving_ms,omitempty"`
}

var (
	errFenced   = &Refusal{Status: http.StatusConflict, Message: "a later connection or attempt took the stream over"}
	errDeadline = &Refusal{Status: http.StatusGatewayTimeout, Message: "deadline exceeded"}
	errCanceled = &Refusal{Status: 499, Message: "cancelled"}
	errLostHold = &Refusal{Status: http.StatusConflict, Message: "the reservation was released"}
)
