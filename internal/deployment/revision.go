package deployment

import (
	"cmp"
	"strconv"
	"sync/atomic"
)

// Revision is a version of the platform's store. If the store comes back from an older
// copy, its era rises, and it gives out again the numbers that it had given out since the
// copy was made.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era counts how often the store has come back from a copy; 0 if it does not tell.
	Era int64
	// Number is the number of a version within an era.
	Number int64
}

// Compare orders revisions by era first.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// String returns the form ERA/NUMBER.
func (r Revision) String() string {
	return strconv.FormatInt(r.Era, 10) + "/" + strconv.FormatInt(r.Number, 10)
}

// MarshalText implements encoding.TextMarshaler for logs and state dumps.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// latest returns the newer of two revisions.
func latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// revisionCell holds a Revision that several goroutines use; its zero value holds the
// zero Revision.
type revisionCell struct{ p atomic.Pointer[Revision] }

func (c *revisionCell) load() Revision {
	if r := c.p.Load(); r != nil {
		return *r
	}
	return Revision{}
}

func (c *revisionCell) store(r Revision) { c.p.Store(&r) }
