package catalogue

import (
	"fmt"
	"strings"
)

// FieldError is one invalid field of an entry.
type FieldError struct {
	// File and Line are the place of the field in the operator's file, if
	// known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Entry is the entry that the field belongs to.
	Entry Key `json:"entry"`
	// Field is a dotted path, for example "workspace.models[0]".
	Field string `json:"field"`
	// Problem says what is wrong and what is allowed.
	Problem string `json:"problem"`
}

// Error implements error.
func (e FieldError) Error() string {
	var where strings.Builder
	if e.File != "" {
		where.WriteString(e.File + ":")
		if e.Line > 0 {
			fmt.Fprintf(&where, "%d:", e.Line)
		}
		where.WriteString(" ")
	}
	if e.Entry != (Key{}) {
		where.WriteString(e.Entry.String() + ": ")
	}
	return where.String() + e.Field + ": " + e.Problem
}

// FieldErrors lists every invalid field of an edit.
type FieldErrors []FieldError

// Error implements error.
func (errs FieldErrors) Error() string {
	lines := make([]string, 0, len(errs))
	for _, e := range errs {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// orNil returns the list as an error, or nil if it is empty.
func (errs FieldErrors) orNil() error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}
