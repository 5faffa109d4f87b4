package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Exit codes, documented in docs/operators/banyanctl.md.
const (
	exitOK          = 0
	exitFailure     = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitForbidden   = 4
	exitNotFound    = 5
	exitUnknown     = 6
	exitUnavailable = 7
	exitDifferent   = 8
	exitNotApplied  = 9
)

// errDifferent means that a diff found differences; printError prints nothing for
// it.
var errDifferent = errors.New("differences found")

// errNotApplied means that an accepted edit is not yet applied on all instances.
var errNotApplied = errors.New("accepted, but not yet applied on all instances")

// errUnreachable means that no connection to any instance could be opened.
var errUnreachable = errors.New("no instance is reachable")

// errNoAnswer means that the call was sent to an instance that did not answer.
var errNoAnswer = errors.New("no instance answered")

// serverError is an error answer of an instance.
type serverError struct {
	body admin.ErrorBody
}

// Error implements error.
func (e *serverError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.body.Code, e.body.Name, e.body.Message)
}

// exitByCode maps result codes to exit codes.
var exitByCode = map[result.Code]int{
	result.EditInvalid:      exitInvalid,
	result.BadRequest:       exitInvalid,
	result.BodyTooLarge:     exitInvalid,
	result.EditConflict:     exitConflict,
	result.EditForbidden:    exitForbidden,
	result.Unauthenticated:  exitForbidden,
	result.Forbidden:        exitForbidden,
	result.EntryNotFound:    exitNotFound,
	result.EditUnknown:      exitUnknown,
	result.StoreUnavailable: exitUnavailable,
	result.NotReady:         exitUnavailable,
	result.Draining:         exitUnavailable,
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var server *serverError
	var fields catalogue.FieldErrors
	switch {
	case errors.Is(err, errNotApplied):
		return exitNotApplied
	case errors.Is(err, errOutcomeUnknown):
		return exitUnknown
	case errors.As(err, &server):
		if code, ok := exitByCode[server.body.Code]; ok {
			return code
		}
	case errors.As(err, &fields):
		return exitInvalid
	case errors.Is(err, errNotInLogs):
		return exitNotFound
	case errors.Is(err, errDifferent):
		return exitDifferent
	case errors.Is(err, errUnreachable), errors.Is(err, errNoAnswer), errors.Is(err, errNoHome):
		return exitUnavailable
	}
	return exitFailure
}

// printError prints an error in one or more lines.
func printError(w io.Writer, err error) {
	var server *serverError
	if errors.Is(err, errDifferent) {
		return
	}
	if errors.Is(err, errOutcomeUnknown) || !errors.As(err, &server) {
		fmt.Fprintln(w, err)
		return
	}
	if len(server.body.Fields) > 0 {
		fmt.Fprintf(w, "%d %s\n%v\n", server.body.Code, server.body.Name, server.body.Fields)
		return
	}
	fmt.Fprintln(w, server)
	if c := server.body.Conflict; c != nil {
		printChanges(w, c.Changes)
	}
	if s := server.body.RetryAfterSeconds; s > 0 {
		fmt.Fprintf(w, "retry after %d s\n", s)
	}
}
