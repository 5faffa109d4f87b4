package catalogue

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Record is one stored entry. It keeps the bytes as they were written, so that
// instances of different builds compute the same digest.
type Record struct {
	// Revision is the revision that last changed the entry.
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// JSON is the entry's stored form.
	JSON json.RawMessage `json:"entry" cbor:"2,keyasint"`
	// Entry is decoded from JSON; it is not modified afterwards.
	Entry *Entry `json:"-" cbor:"-"`
}

// newRecord encodes an entry.
func newRecord(rev Revision, e Entry) (*Record, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	return &Record{Revision: rev, JSON: data, Entry: &e}, nil
}

// decode fills in Entry. A field that this build does not know is ignored,
// since a newer build may have written it.
func (r *Record) decode() error {
	var e Entry
	if err := json.Unmarshal(r.JSON, &e); err != nil {
		return fmt.Errorf("decoding entry: %w", err)
	}
	if !hasSpec(&e) {
		return fmt.Errorf("entry %s has no specification", e.Key())
	}
	r.Entry = &e
	return nil
}

// Decoded returns the record's entry, and decodes it first if needed, as in a
// record that was itself read from JSON. It returns nil for a nil record.
func (r *Record) Decoded() (*Entry, error) {
	if r == nil {
		return nil, nil
	}
	if r.Entry == nil {
		if err := r.decode(); err != nil {
			return nil, err
		}
	}
	return r.Entry, nil
}

// hasSpec reports whether the specification of the entry's kind is set. It
// accepts a kind that this build does not know: the entry is kept but not used.
func hasSpec(e *Entry) bool {
	switch e.Kind {
	case KindOperator:
		return e.Operator != nil
	case KindWorkspace:
		return e.Workspace != nil
	case KindModel:
		return e.Model != nil
	case KindService:
		return e.Service != nil
	case KindUpstream:
		return e.Upstream != nil
	case KindPolicy:
		return e.Policy != nil
	}
	return true
}

// Digest identifies the content of a whole catalogue. It is the XOR of the
// checksums of all records, so that a change updates it without reading the
// unchanged ones.
type Digest uint64

// String returns 16 hex digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// checksum returns the record's contribution to the digest.
func (r *Record) checksum() Digest {
	var head [8]byte
	binary.BigEndian.PutUint64(head[:], uint64(r.Revision))
	h := xxhash.New()
	h.Write(head[:]) //nolint:errcheck // never fails
	h.Write(r.JSON)  //nolint:errcheck // never fails
	return Digest(h.Sum64())
}
