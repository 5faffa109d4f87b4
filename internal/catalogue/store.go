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

// maxCatchUpChanges is the highest number of missing changes that are read and
// applied to a known snapshot; beyond it, all entries are read.
const maxCatchUpChanges = 2 * readLimit

// errDigestMismatch is returned if the stored entries do not have the digest in
// the head row.
var errDigestMismatch = errors.New("content of the catalogue does not have the digest of its head")

// Store reads and edits the catalogue in the platform's table. It is safe for
// concurrent use.
type Store struct {
	table platform.Table
	// latest is the newest snapshot seen; loading starts from it to save
	// reads.
	latest atomic.Pointer[Snapshot]
	// now is the clock for the time of a change.
	now func() time.Time
}

// NewStore returns a store over the table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table, now: time.Now}
}

// Load returns the current catalogue. It fails with result.StoreUnavailable.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	snap, _, err := s.load(ctx)
	return snap, err
}

// Head returns the revision and digest of the current catalogue with one read.
func (s *Store) Head(ctx context.Context) (Revision, Digest, error) {
	h, _, err := readHead(ctx, s.table)
	return h.Revision, h.Digest, storeError(err)
}

// Offer gives the store a snapshot from a peer, so that loading can start from
// it and save reads. Older snapshots are ignored.
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

// setLatest makes a snapshot that was read from the table the latest one, unless
// there is a newer one. Unlike Offer, it also replaces a snapshot of the same
// revision, whose content may differ from the table's.
func (s *Store) setLatest(snap *Snapshot) {
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

// maxLoadAttempts bounds the reads of the head row in one load.
const maxLoadAttempts = 5

// load returns the current catalogue and the version of its head row. If the
// latest snapshot is newer than the head that was read, because of a push from a
// peer or an edit during a scan, it reads the head again.
func (s *Store) load(ctx context.Context) (*Snapshot, platform.Version, error) {
	var h head
	var known *Snapshot
	for range maxLoadAttempts {
		var version platform.Version
		var err error
		if h, version, err = readHead(ctx, s.table); err != nil {
			return nil, 0, storeError(err)
		}
		if known = s.latestOrEmpty(); known.revision > h.Revision {
			continue
		}
		if known, err = s.advance(ctx, known, h); err != nil {
			return nil, 0, storeError(err)
		}
		s.setLatest(known)
		if known.revision == h.Revision {
			return known, version, nil
		}
	}
	return nil, 0, result.New(result.StoreUnavailable, "the store's revision %d is below %d, which instances have", h.Revision, known.revision).WithRetryAfter(storeRetryAfter)
}

// latestOrEmpty returns the newest snapshot seen, or an empty one.
func (s *Store) latestOrEmpty() *Snapshot {
	if known := s.latest.Load(); known != nil {
		return known
	}
	return emptySnapshot()
}

// advance returns the snapshot of the head h, or of a later one, starting from a
// known snapshot if possible.
func (s *Store) advance(ctx context.Context, known *Snapshot, h head) (*Snapshot, error) {
	if known.revision == h.Revision && known.digest == h.Digest {
		return known, nil
	}
	if known.revision < h.Revision && h.Revision-known.revision <= maxCatchUpChanges {
		snap, err := s.catchUp(ctx, known, h)
		if err == nil || !errors.Is(err, errDigestMismatch) {
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
		return nil, fmt.Errorf("%w: %v", errDigestMismatch, err)
	}
	if snap.digest != h.Digest {
		return nil, errDigestMismatch
	}
	return snap, nil
}

// readAll reads all entries and then the changes that were committed during the
// scan. Each change sets whole entries, so that applying it to records that
// already have it, in full or in part, gives the records after it.
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
	if before.Revision > maxRecentChanges {
		first = before.Revision - maxRecentChanges + 1
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
		return nil, errDigestMismatch
	}
	return newSnapshot(h.Revision, h.Digest, records, appendRecent(nil, changes)), nil
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

// Change returns one change, or the error result.EntryNotFound if there is
// none.
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

// storeError maps an error of the store to its result code.
func storeError(err error) error {
	var coded *result.Error
	switch {
	case err == nil || errors.As(err, &coded):
		return err
	case errors.Is(err, platform.ErrUnavailable):
		return result.Wrap(err, result.StoreUnavailable, "the table service is down; nothing was changed").WithRetryAfter(storeRetryAfter)
	default:
		return result.Wrap(err, result.Internal, "reading the catalogue: %v", err)
	}
}

// storeRetryAfter is the Retry-After of edits that fail because of the store or
// of too many other edits.
const storeRetryAfter = 2 * time.Second
