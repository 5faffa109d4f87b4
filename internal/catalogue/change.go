package catalogue

import (
	"fmt"
	"time"
)

// Update is the part of a change that concerns one entry.
type Update struct {
	Key Key `json:"key" cbor:"1,keyasint"`
	// Before and After are nil if the entry did not exist before, or does
	// not exist after.
	Before *Record `json:"before,omitempty" cbor:"2,keyasint,omitempty"`
	After  *Record `json:"after,omitempty" cbor:"3,keyasint,omitempty"`
}

// decode fills in the entries of both records.
func (u *Update) decode() error {
	for _, r := range []*Record{u.Before, u.After} {
		if r == nil {
			continue
		}
		if err := r.decode(); err != nil {
			return err
		}
		if r.Entry.Key() != u.Key {
			return fmt.Errorf("update of %s holds %s", u.Key, r.Entry.Key())
		}
	}
	return nil
}

// Change is one accepted edit. It is stored once under its revision and never
// overwritten.
type Change struct {
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// EditID is unique per edit; it identifies an edit that is sent again.
	EditID string `json:"edit_id" cbor:"2,keyasint"`
	// Operator is the name of the operator entry, or "bootstrap".
	Operator string `json:"operator" cbor:"3,keyasint"`
	// At is the time of the commit by the clock of the accepting instance.
	At      time.Time `json:"at" cbor:"4,keyasint"`
	Message string    `json:"message,omitempty" cbor:"5,keyasint,omitempty"`
	Updates []Update  `json:"updates" cbor:"6,keyasint"`
	// Digest is the digest of the whole catalogue after the change.
	Digest Digest `json:"digest,string" cbor:"7,keyasint"`
	// Fingerprint identifies the content of the edit.
	Fingerprint string `json:"fingerprint" cbor:"8,keyasint"`
}

// decode fills in the entries of all records. It refuses a change that writes a
// record of another revision, such as an old change under a new number.
func (c *Change) decode() error {
	for i := range c.Updates {
		u := &c.Updates[i]
		if err := u.decode(); err != nil {
			return err
		}
		if u.After != nil && u.After.Revision != c.Revision {
			return fmt.Errorf("change %d writes %s with revision %d", c.Revision, u.Key, u.After.Revision)
		}
	}
	return nil
}

// touches reports whether the change updates one of keys.
func (c *Change) touches(keys map[Key]bool) bool {
	for _, u := range c.Updates {
		if keys[u.Key] {
			return true
		}
	}
	return false
}
