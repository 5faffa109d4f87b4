package catalogue

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
)

// maxCatchUp is the longest distance that is covered by reading changes; over
// it, all entries are read.
const maxCatchUp = 2 * readLimit

// errDigest means that the store's content does not have the head's digest.
var errDigest = errors.New("content of the catalogue does not have the digest of its head")

// Store reads and edits the catalogue in the platform's table. It is safe for
// concurrent use.
type Store struct {
	table platform.Table
	// latest is the newest snapshot seen; it saves reads.
	latest atomic.Pointer[Snapshot]
	// now is the clock for the time of a change.
	now func() time.Time
}

// NewStore returns a store over the table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table, now: time.Now}
}

// Load returns the present catalogue. It fails with result.StoreUnavailable.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	snap, _, err := s.load(ctx)
	return snap, err
}

// Head returns the revision and digest of the present catalogue, at the cost of
// one read.
func (s *Store) Head(ctx context.Context) (Revision, Digest, error) {
	h, _, err := readHead(ctx, s.table)
	return h.Revision, h.Digest, storeError(err)
}

// Offer lets the store use a snapshot that came from a peer, to save reads.
func (s *Store) Offer(snap *Snapshot) {
	for {
		old := s.latest.Load()
		if old != nil && old.revision >= snap.revision {
			return
		}
		if s.latest.CompareAndSwap(old, snap) {
			return
		}
	}
}

// keep remembers a snapshot that was read from the table. It replaces one of
// the same revision, so that content that differs from the table does not stay.
func (s *Store) keep(snap *Snapshot) {
	for {
		old := s.latest.Load()
		if old != nil && old.revision > snap.revision {
			return
		}
		if s.latest.CompareAndSwap(old, snap) {
			return
		}
	}
}

// loadTries bounds the reads of the head row of one load.
const loadTries = 5

// load returns the present catalogue and the version of its head row. A push
// from a peer, or an edit during a scan, can overtake the read of the head; it
// is then read again.
func (s *Store) load(ctx context.Context) (*Snapshot, platform.Version, error) {
	var h head
	var known *Snapshot
	for range loadTries {
		var version platform.Version
		var err error
		if h, version, err = readHead(ctx, s.table); err != nil {
			return nil, 0, storeError(err)
		}
		if known = s.known(); known.revision > h.Revision {
			continue
		}
		if known, err = s.at(ctx, known, h); err != nil {
			return nil, 0, storeError(err)
		}
		s.keep(known)
		if known.revision == h.Revision {
			return known, version, nil
		}
	}
	return nil, 0, result.New(result.StoreUnavailable, "the store's revision %d is below %d, which instances have", h.Revision, known.revision).After(storeRetryAfter)
}

// known returns the newest snapshot seen, or the empty one.
func (s *Store) known() *Snapshot {
	if known := s.latest.Load(); known != nil {
		return known
	}
	return emptySnapshot()
}

// at returns the snapshot of the head h, or of a later one.
func (s *Store) at(ctx context.Context, known *Snapshot, h head) (*Snapshot, error) {
	if known.revision == h.Revision && known.digest == h.Digest {
		return known, nil
	}
	if known.revision < h.Revision && h.Revision-known.revision <= maxCatchUp {
		snap, err := s.catchUp(ctx, known, h)
		if err == nil || !errors.Is(err, errDigest) {
			return snap, err
		}
	}
	return s.readAll(ctx, h)
}

// catchUp reads the changes between known and h.
func (s *Store) catchUp(ctx context.Context, known *Snapshot, h head) (*Snapshot, error) {
	changes, err := readChanges(ctx, s.table, known.revision+1, h.Revision)
	if err != nil {
		return nil, err
	}
	snap, err := known.withChanges(changes)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errDigest, err)
	}
	if snap.digest != h.Digest {
		return nil, errDigest
	}
	return snap, nil
}

// readAll reads all entries and then the changes that came during the scan.
// Each change sets whole entries, so that applying it to a state that has it
// already, in full or in part, gives the state after it.
func (s *Store) readAll(ctx context.Context, before head) (*Snapshot, error) {
	records, err := scanRecords(ctx, s.table)
	if err != nil {
		return nil, err
	}
	h, _, err := readHead(ctx, s.table)
	if err != nil {
		return nil, err
	}
	first := Revision(1)
	if before.Revision > keptChanges {
		first = before.Revision - keptChanges + 1
	}
	changes, err := readChanges(ctx, s.table, first, h.Revision)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		if changes[i].Revision > before.Revision {
			applyUpdates(records, changes[i].Updates)
		}
	}
	if digestOf(records) != h.Digest {
		return nil, errDigest
	}
	return newSnapshot(h.Revision, h.Digest, records, keepRecent(nil, changes)), nil
}

// digestOf computes the digest of all records.
func digestOf(records map[Key]*Record) Digest {
	var d Digest
	for _, r := range records {
		d ^= r.checksum()
	}
	return d
}

// History returns up to limit changes after a revision, in ascending order.
func (s *Store) History(ctx context.Context, after Revision, limit int) ([]Change, error) {
	h, _, err := readHead(ctx, s.table)
	if err != nil {
		return nil, storeError(err)
	}
	last := min(h.Revision, after+Revision(limit))
	changes, err := readChanges(ctx, s.table, after+1, last)
	return changes, storeError(err)
}

// Change returns one change; result.EntryNotFound if there is none.
func (s *Store) Change(ctx context.Context, rev Revision) (Change, error) {
	rows, err := s.table.Read(ctx, editRow(rev))
	if err != nil {
		return Change{}, storeError(err)
	}
	if rows[0].Version == 0 {
		return Change{}, result.New(result.EntryNotFound, "there is no revision %d", rev)
	}
	change, err := decodeChange(rows[0])
	return change, storeError(err)
}

// storeError gives failures of the store their result code.
func storeError(err error) error {
	var coded *result.Error
	switch {
	case err == nil || errors.As(err, &coded):
		return err
	case errors.Is(err, platform.ErrUnavailable):
		return result.Wrap(err, result.StoreUnavailable, "the table service is down; nothing was changed").After(storeRetryAfter)
	default:
		return result.Wrap(err, result.Internal, "reading the catalogue: %v", err)
	}
}

// storeRetryAfter is the Retry-After of edits while the store is down.
const storeRetryAfter = 2 * time.Second
