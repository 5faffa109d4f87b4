package catalogue

import (
	"fmt"
	"strings"
)

// FieldError is one wrong field of an entry.
type FieldError struct {
	// File and Line say where an operator wrote the field, if that is known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Entry is the entry that the field belongs to.
	Entry Key `json:"entry"`
	// Field is a dotted path, for example "workspace.models[0]".
	Field string `json:"field"`
	// Problem is what is wrong and what is allowed.
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

// FieldErrors lists every wrong field of an edit.
type FieldErrors []FieldError

// Error implements error.
func (errs FieldErrors) Error() string {
	lines := make([]string, 0, len(errs))
	for _, e := range errs {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// orNil returns nil as an error for an empty list.
func (errs FieldErrors) orNil() error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}
