package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// Bounds of one edit.
const (
	maxEditEntries  = 256
	maxEditIDBytes  = 128
	maxMessageBytes = 1024
)

// Operator is the author of an edit.
type Operator struct {
	Name string
	// Owners lists the owners whose entries the operator may edit; "*" is all.
	Owners []string
}

// May reports whether the operator may edit entries of owner.
func (o Operator) May(owner string) bool {
	return slices.Contains(o.Owners, All) || slices.Contains(o.Owners, owner)
}

// mayGrant reports whether the operator may edit an operator entry with these
// owners: operators can neither grant nor change rights that they don't have.
func (o Operator) mayGrant(owners []string) bool {
	for _, owner := range owners {
		if !o.May(owner) {
			return false
		}
	}
	return true
}

// Edit is an atomic change of one or more entries.
type Edit struct {
	// ID is unique per edit and stays the same when the edit is sent again.
	ID string `json:"id"`
	// Base is the revision that the edit was made from. The edit is refused
	// if one of its entries has changed since.
	Base    Revision `json:"base"`
	Message string   `json:"message,omitempty"`
	// DryRun checks the edit without committing it.
	DryRun  bool    `json:"dry_run,omitempty"`
	Puts    []Entry `json:"puts,omitempty"`
	Deletes []Key   `json:"deletes,omitempty"`
	// By is the operator who makes the edit. It is not part of the encoded edit.
	By Operator `json:"-"`
}

// keys returns the edited keys.
func (e *Edit) keys() map[Key]bool {
	keys := make(map[Key]bool, len(e.Puts)+len(e.Deletes))
	for i := range e.Puts {
		keys[e.Puts[i].Key()] = true
	}
	for _, key := range e.Deletes {
		keys[key] = true
	}
	return keys
}

// fingerprint identifies the content of the edit.
func (e *Edit) fingerprint() (string, error) {
	data, err := json.Marshal(struct {
		Puts    []Entry
		Deletes []Key
		By      string
	}{e.Puts, e.Deletes, e.By.Name})
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// check validates the edit's fields and entries. Rights and references need the
// catalogue and are checked by prepare.
func (e *Edit) check() error {
	var errs FieldErrors
	fail := func(field, format string, args ...any) {
		errs = append(errs, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
	if e.ID == "" || len(e.ID) > maxEditIDBytes {
		fail("id", "must have 1 to %d bytes", maxEditIDBytes)
	}
	if len(e.Message) > maxMessageBytes {
		fail("message", "must have at most %d bytes", maxMessageBytes)
	}
	if n := len(e.Puts) + len(e.Deletes); n == 0 || n > maxEditEntries {
		fail("puts", "the edit has %d entries; allowed is 1 to %d", n, maxEditEntries)
	}
	if len(e.keys()) != len(e.Puts)+len(e.Deletes) {
		fail("puts", "an entry is edited twice")
	}
	for i := range e.Puts {
		if found, ok := validateEntry(&e.Puts[i]).(FieldErrors); ok {
			errs = append(errs, found...)
		}
	}
	return errs.orNil()
}

// Inverse returns an edit that undoes the change. Its base is the change's
// revision, so that it is refused if one of the entries has changed since.
func (c *Change) Inverse() (Edit, error) {
	edit := Edit{Base: c.Revision, Message: fmt.Sprintf("undo revision %d", c.Revision)}
	for _, u := range c.Updates {
		before, err := u.Before.Decoded()
		if err != nil {
			return Edit{}, err
		}
		if before == nil {
			edit.Deletes = append(edit.Deletes, u.Key)
			continue
		}
		edit.Puts = append(edit.Puts, *before)
	}
	return edit, nil
}
