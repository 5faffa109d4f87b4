package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a stable number that names one outcome of a request or an edit.
type Code int

// Execution reports whether the upstream executed the request.
type Execution string

// Values of Execution, as sent to callers.
const (
	NotRun     Execution = "not-run"
	MayHaveRun Execution = "may-have-run"
	Ran        Execution = "ran"
)

// Result codes. 1xxx: the caller's input. 2xxx: admission and limits.
// 3xxx: upstreams. 4xxx: idempotency. 5xxx: catalogue and operators.
// 9xxx: this instance.
const (
	OK Code = 0

	BadRequest         Code = 1001
	Unauthenticated    Code = 1002
	Forbidden          Code = 1003
	UnknownModel       Code = 1004
	UnknownService     Code = 1005
	BodyTooLarge       Code = 1006
	NeverFits          Code = 1007
	MissingKey         Code = 1008
	UnknownRoute       Code = 1009
	BodyTimeout        Code = 1010
	CallerGone         Code = 1011
	Overloaded         Code = 2001
	WorkspaceLimit     Code = 2002
	DeadlineUnmeetable Code = 2003
	QueueTimeout       Code = 2004
	Draining           Code = 2005
	NoUpstream         Code = 3001
	UpstreamRefused    Code = 3002
	UpstreamLost       Code = 3003
	DeadlineExceeded   Code = 3004
	Stalled            Code = 3005
	PoisonSuspect      Code = 3006
	RetryBudget        Code = 3007
	UpstreamFailed     Code = 3008
	OutcomeUnknown     Code = 4001
	StillRunning       Code = 4002
	KeyReused          Code = 4003
	StoreUnavailable   Code = 4004
	ClaimLost          Code = 4005
	AnswerUnavailable  Code = 4006
	EditInvalid        Code = 5001
	EditConflict       Code = 5002
	EditForbidden      Code = 5003
	EditUnknown        Code = 5004
	EntryNotFound      Code = 5005
	NotReady           Code = 9001
	Internal           Code = 9002
)

// Info is one row of the table of result codes.
type Info struct {
	Code Code
	// Name is the code's stable text form.
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// Execution is what is known about execution unless an Error carries a
	// more precise value.
	Execution Execution
	// RetryHelps reports whether the same request may succeed later.
	RetryHelps bool
	// Meaning explains the code to a caller or operator.
	Meaning string
}

var table = []Info{
	{OK, "ok", http.StatusOK, Ran, false, "The request ran and its answer is complete."},
	{BadRequest, "bad-request", http.StatusBadRequest, NotRun, false, "The request is malformed; the message names the field."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, false, "The key or token is missing or unknown."},
	{Forbidden, "forbidden", http.StatusForbidden, NotRun, false, "The workspace may not use this model or service."},
	{UnknownModel, "unknown-model", http.StatusNotFound, NotRun, false, "No catalogue entry has this model name."},
	{UnknownService, "unknown-service", http.StatusNotFound, NotRun, false, "No catalogue entry has this service name."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, false, "The body is over the limit of the listener or the entry."},
	{NeverFits, "never-fits", http.StatusUnprocessableEntity, NotRun, false, "The prompt needs more memory than the model's engines have together."},
	{MissingKey, "missing-idempotency-key", http.StatusBadRequest, NotRun, false, "A non-idempotent call needs an Idempotency-Key header."},
	{UnknownRoute, "unknown-route", http.StatusNotFound, NotRun, false, "The listener has no such path or method."},
	{BodyTimeout, "body-timeout", http.StatusRequestTimeout, NotRun, true, "The caller sent the body too slowly."},
	{CallerGone, "caller-gone", 499, MayHaveRun, false, "The caller closed the connection before the answer was complete."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, true, "The queue is full; come back after Retry-After."},
	{WorkspaceLimit, "workspace-limit", http.StatusTooManyRequests, NotRun, true, "The workspace has used its limit; come back after Retry-After."},
	{DeadlineUnmeetable, "deadline-unmeetable", http.StatusServiceUnavailable, NotRun, true, "The request cannot finish within its time at the present load."},
	{QueueTimeout, "queue-timeout", http.StatusServiceUnavailable, NotRun, true, "The request waited in the queue for as long as its time allows."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, true, "The instance is stopping and takes no new request."},
	{NoUpstream, "no-upstream", http.StatusServiceUnavailable, NotRun, true, "No upstream of the model or service can take a request now."},
	{UpstreamRefused, "upstream-refused", http.StatusServiceUnavailable, NotRun, true, "Each upstream that was tried refused the request before running it."},
	{UpstreamLost, "upstream-lost", http.StatusBadGateway, MayHaveRun, true, "The upstream was lost after the request had been sent."},
	{DeadlineExceeded, "deadline-exceeded", http.StatusGatewayTimeout, MayHaveRun, true, "The request did not finish within its time."},
	{Stalled, "stalled", http.StatusGatewayTimeout, MayHaveRun, true, "The answer made no progress and could not be resumed."},
	{PoisonSuspect, "poison-suspect", http.StatusUnprocessableEntity, NotRun, true, "This request was in flight in repeated upstream crashes and is refused for a while."},
	{RetryBudget, "retry-budget", http.StatusBadGateway, MayHaveRun, true, "The attempt failed and the retry budget is used up."},
	{UpstreamFailed, "upstream-failed", http.StatusBadGateway, Ran, false, "The upstream answered with an error of its own."},
	{OutcomeUnknown, "outcome-unknown", http.StatusConflict, MayHaveRun, false, "An earlier attempt with this key was sent and its outcome is unknown; it is never sent again."},
	{StillRunning, "still-running", http.StatusConflict, MayHaveRun, true, "An earlier attempt with this key is still running."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, false, "The idempotency key was used with another body or route."},
	{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, NotRun, true, "The table service is down; non-idempotent work is refused until it is back."},
	{ClaimLost, "claim-lost", http.StatusConflict, NotRun, true, "Another instance claimed the key first; this call was not sent."},
	{AnswerUnavailable, "answer-unavailable", http.StatusServiceUnavailable, Ran, true, "The request ran; its stored answer cannot be read now."},
	{EditInvalid, "edit-invalid", http.StatusUnprocessableEntity, NotRun, false, "The edit breaks a rule; the message names the field and what is allowed."},
	{EditConflict, "edit-conflict", http.StatusConflict, NotRun, false, "Another edit came first; the answer shows what changed."},
	{EditForbidden, "edit-forbidden", http.StatusForbidden, NotRun, false, "The operator does not own the entry."},
	{EditUnknown, "edit-unknown", http.StatusServiceUnavailable, MayHaveRun, true, "The edit's outcome is unknown; look for its edit ID in the history."},
	{EntryNotFound, "entry-not-found", http.StatusNotFound, NotRun, false, "The catalogue has no such entry."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, NotRun, true, "The instance has no current catalogue yet."},
	{Internal, "internal", http.StatusInternalServerError, MayHaveRun, false, "A fault of this instance; the log has the details."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(table))
	for _, info := range table {
		index[info.Code] = info
	}
	return index
}

// Table returns all result codes in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the table row of c. An unknown code gives the row of Internal.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the stable name of c.
func (c Code) String() string { return c.Info().Name }

// Error is a failed or refused request with its result code.
type Error struct {
	Code Code
	// Detail is a short sentence for the caller.
	Detail string
	// Execution says what is known about execution.
	Execution Execution
	// RetryAfter is the time after which to retry; zero if a retry does not
	// help.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// New returns an Error with the execution that the table gives for code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Execution: code.Info().Execution}
}

// Wrap returns an Error like New with a cause for logs.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = cause
	return e
}

// WithRetryAfter returns a copy of e with the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithExecution returns a copy of e with a more precise execution.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// Error returns the code's number, name and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the Error in the chain of err; without one it wraps err as Internal.
// It returns nil for a nil error.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}
