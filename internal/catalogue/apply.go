package catalogue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Bounds of the attempts to commit one edit as the next revision.
const (
	maxEditAttempts = 20
	// maxAttemptPause bounds the random pause between two attempts.
	maxAttemptPause = 50 * time.Millisecond
)

// maxBaseDistance is the highest number of changes between the revision that an
// edit is based on and the current one.
const maxBaseDistance = 4096

// Applied is the outcome of an accepted edit.
type Applied struct {
	// Revision is the revision that the edit became; for a dry run, the one
	// that it would become.
	Revision Revision `json:"revision"`
	// Updates is empty if the edit changes no entry; no revision is then
	// created.
	Updates []Update `json:"updates"`
	// Repeated reports whether the edit had already been accepted when it was
	// sent again.
	Repeated bool `json:"repeated,omitempty"`
	DryRun   bool `json:"dry_run,omitempty"`
}

// ConflictError lists the changes since the edit's base that touch its entries.
type ConflictError struct {
	Base    Revision `json:"base"`
	Head    Revision `json:"head"`
	Changes []Change `json:"changes"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	var names []string
	for i := range e.Changes {
		for _, u := range e.Changes[i].Updates {
			names = append(names, fmt.Sprintf("%s (revision %d by %s)", u.Key, e.Changes[i].Revision, e.Changes[i].Operator))
		}
	}
	return fmt.Sprintf("changed since revision %d: %s", e.Base, strings.Join(names, ", "))
}

// Apply commits an edit as the next revision. If the catalogue has changed
// since edit.Base, the edit is applied to the current revision, unless one of
// its own entries has changed; it is then refused with result.EditConflict and
// a ConflictError. Other errors have the code EditInvalid (with a FieldErrors),
// EditForbidden, StoreUnavailable (nothing was changed) or EditUnknown (send
// the same edit again, or look it up by its ID).
func (s *Store) Apply(ctx context.Context, edit Edit) (Applied, error) {
	if err := edit.check(); err != nil {
		return Applied{}, result.Wrap(err, result.EditInvalid, "%v", err)
	}
	for range maxEditAttempts {
		applied, done, err := s.attempt(ctx, &edit)
		if err != nil || done {
			return applied, err
		}
		if !sleep.For(ctx, rand.N(maxAttemptPause)) {
			break
		}
	}
	return Applied{}, result.New(result.EditConflict, "too many other edits came first; try again").WithRetryAfter(storeRetryAfter)
}

// attempt tries once to commit the edit as the next revision. It returns done =
// false if another edit was committed first.
func (s *Store) attempt(ctx context.Context, edit *Edit) (_ Applied, done bool, _ error) {
	snap, version, err := s.load(ctx)
	if err != nil {
		return Applied{}, false, err
	}
	// The lookup must come after the load: an earlier acceptance of the edit is
	// then either found here, or newer than the loaded head, so that the commit
	// fails.
	if applied, found, err := s.FindEdit(ctx, edit); err != nil || found {
		return applied, found, err
	}
	if err := s.checkBase(ctx, edit, snap); err != nil {
		return Applied{}, false, err
	}
	next, change, err := prepare(edit, snap, s.now())
	if err != nil {
		return Applied{}, false, err
	}
	applied := Applied{Revision: change.Revision, Updates: change.Updates, DryRun: edit.DryRun}
	if len(change.Updates) == 0 {
		applied.Revision = snap.revision
		return applied, true, nil
	}
	if edit.DryRun {
		return applied, true, nil
	}
	txn, err := transaction(change, version)
	if err != nil {
		return Applied{}, false, err
	}
	res, err := platform.CommitResolved(ctx, s.table, txn)
	if err != nil {
		return Applied{}, false, commitError(err, edit.ID)
	}
	if res.Committed {
		s.Offer(next)
	}
	return applied, res.Committed, nil
}

// FindEdit looks up the edit by its ID and returns its result if it was
// accepted earlier. An ID that was used for another edit is an error.
func (s *Store) FindEdit(ctx context.Context, edit *Edit) (_ Applied, found bool, _ error) {
	change, found, err := s.ChangeByEditID(ctx, edit.ID)
	if err != nil || !found {
		return Applied{}, false, err
	}
	fingerprint, err := edit.fingerprint()
	if err != nil {
		return Applied{}, false, err
	}
	if change.Fingerprint != fingerprint {
		errs := FieldErrors{{Field: "id", Problem: fmt.Sprintf("%q was used for another edit, revision %d", edit.ID, change.Revision)}}
		return Applied{}, false, result.Wrap(errs, result.EditInvalid, "%v", errs)
	}
	return Applied{Revision: change.Revision, Updates: change.Updates, Repeated: true}, true, nil
}

// ChangeByEditID returns the change that an edit became.
func (s *Store) ChangeByEditID(ctx context.Context, editID string) (_ Change, found bool, _ error) {
	rows, err := s.table.Read(ctx, editIDRow(editID))
	if err != nil {
		return Change{}, false, storeError(err)
	}
	if rows[0].Version == 0 {
		return Change{}, false, nil
	}
	var value editIDValue
	if err := json.Unmarshal(rows[0].Value, &value); err != nil {
		return Change{}, false, storeError(err)
	}
	change, err := s.Change(ctx, value.Revision)
	return change, err == nil, err
}

// checkBase refuses an edit whose entries have changed since its base.
func (s *Store) checkBase(ctx context.Context, edit *Edit, snap *Snapshot) error {
	switch {
	case edit.Base == snap.revision:
		return nil
	case edit.Base > snap.revision:
		errs := FieldErrors{{Field: "base", Problem: fmt.Sprintf("%d is not a revision yet; the present one is %d", edit.Base, snap.revision)}}
		return result.Wrap(errs, result.EditInvalid, "%v", errs)
	case snap.revision-edit.Base > maxBaseDistance:
		return result.New(result.EditConflict, "more than %d edits came since revision %d; read the entries again", maxBaseDistance, edit.Base)
	}
	since, complete := snap.changesAfter(edit.Base)
	if !complete {
		var err error
		since, err = readChanges(ctx, s.table, edit.Base+1, snap.revision)
		if err != nil {
			return storeError(err)
		}
	}
	return s.conflict(ctx, edit, snap, since)
}

// conflict returns an error with the changes that touch the edit's entries, or
// nil if there are none.
func (s *Store) conflict(ctx context.Context, edit *Edit, snap *Snapshot, since []Change) error {
	keys := edit.keys()
	found := &ConflictError{Base: edit.Base, Head: snap.revision}
	for i := range since {
		if !since[i].touches(keys) {
			continue
		}
		// Changes received from peers omit Before; the stored history has it.
		c, err := s.Change(ctx, since[i].Revision)
		if err != nil {
			c = since[i]
		}
		c.Updates = slices.DeleteFunc(slices.Clone(c.Updates), func(u Update) bool { return !keys[u.Key] })
		found.Changes = append(found.Changes, c)
	}
	if len(found.Changes) == 0 {
		return nil
	}
	return result.Wrap(found, result.EditConflict, "%v", found)
}

// prepare builds the change that the edit makes and the snapshot after it. It
// checks the operator's rights and the references between entries.
func prepare(edit *Edit, snap *Snapshot, now time.Time) (*Snapshot, Change, error) {
	change := Change{
		Revision: snap.revision + 1,
		EditID:   edit.ID,
		Operator: edit.By.Name,
		At:       now.UTC(),
		Message:  edit.Message,
	}
	if err := addUpdates(&change, edit, snap); err != nil {
		return nil, Change{}, err
	}
	if err := checkRights(edit.By, change.Updates); err != nil {
		return nil, Change{}, err
	}
	records := maps.Clone(snap.records)
	change.Digest = snap.digest ^ applyUpdates(records, change.Updates)
	fingerprint, err := edit.fingerprint()
	if err != nil {
		return nil, Change{}, err
	}
	change.Fingerprint = fingerprint
	next := newSnapshot(change.Revision, change.Digest, records, appendRecent(snap.recent, []Change{change}))
	if err := checkReferences(next); err != nil {
		return nil, Change{}, result.Wrap(err, result.EditInvalid, "%v", err)
	}
	return next, change, nil
}

// addUpdates fills in the updates of the change.
func addUpdates(change *Change, edit *Edit, snap *Snapshot) error {
	for i := range edit.Puts {
		after, err := newRecord(change.Revision, edit.Puts[i])
		if err != nil {
			return err
		}
		key := edit.Puts[i].Key()
		if before := snap.records[key]; before != nil && bytes.Equal(before.JSON, after.JSON) {
			continue
		}
		change.Updates = append(change.Updates, Update{Key: key, Before: snap.records[key], After: after})
	}
	for _, key := range edit.Deletes {
		before := snap.records[key]
		if before == nil {
			return result.New(result.EntryNotFound, "the catalogue has no %s", key)
		}
		change.Updates = append(change.Updates, Update{Key: key, Before: before})
	}
	return nil
}

// checkRights verifies that the operator may edit each entry, under its owner
// before and after the change.
func checkRights(by Operator, updates []Update) error {
	for _, u := range updates {
		for _, r := range []*Record{u.Before, u.After} {
			if r == nil {
				continue
			}
			if !by.May(r.Entry.Owner) {
				return result.New(result.EditForbidden, "%s: owner: operator %q may not edit entries of %q", u.Key, by.Name, r.Entry.Owner)
			}
			if r.Entry.Operator != nil && !by.mayGrant(r.Entry.Operator.Owners) {
				return result.New(result.EditForbidden, "%s: operator.owners: operator %q may not grant or change rights that it does not have", u.Key, by.Name)
			}
		}
	}
	return nil
}

// transaction builds the conditional write of a change. The rows of the change
// and of its edit ID are never overwritten, so that the commit can still be
// found after later ones.
func transaction(change Change, headVersion platform.Version) (platform.Txn, error) {
	txn := platform.Txn{
		ID: uuid.NewString(),
		Conditions: []platform.Condition{
			{Key: headRow, Version: headVersion},
			{Key: editRow(change.Revision)},
			{Key: editIDRow(change.EditID)},
		},
	}
	err := errors.Join(
		addWrite(&txn, headRow, head{Revision: change.Revision, Digest: change.Digest}),
		addWrite(&txn, editRow(change.Revision), change),
		addWrite(&txn, editIDRow(change.EditID), editIDValue{Revision: change.Revision}),
	)
	for _, u := range change.Updates {
		if u.After == nil {
			txn.Writes = append(txn.Writes, platform.Write{Key: entryRow(u.Key), Delete: true})
			continue
		}
		err = errors.Join(err, addWrite(&txn, entryRow(u.Key), u.After))
	}
	return txn, err
}

func addWrite(txn *platform.Txn, key string, value any) error {
	data, err := json.Marshal(value)
	txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: data})
	return err
}

// commitError maps the error of a failed commit to its result code.
func commitError(err error, editID string) error {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return result.Wrap(err, result.EditUnknown, "the store did not answer; look for edit %s, or send it again with this ID", editID).WithRetryAfter(storeRetryAfter)
	}
	return storeError(err)
}
