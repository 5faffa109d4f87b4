package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Bounds of the catalogue calls.
const (
	// editTimeout bounds the time until an edit's outcome is known.
	editTimeout = 10 * time.Second
	// defaultHistoryChanges and maxHistoryChanges are the default and the
	// maximum number of changes in one answer.
	defaultHistoryChanges = 50
	maxHistoryChanges     = 500
)

func (a *api) entries(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	snap := a.Replica.Snapshot()
	kind, owner := r.FormValue("kind"), r.FormValue("owner")
	answer := Entries{Revision: snap.Revision(), Digest: snap.Digest().String(), Entries: []*catalogue.Entry{}}
	for _, k := range catalogue.Kinds() {
		if kind != "" && kind != string(k) {
			continue
		}
		for _, e := range snap.Entries(k) {
			if owner == "" || owner == e.Owner {
				answer.Entries = append(answer.Entries, e)
			}
		}
	}
	return writeJSON(w, answer)
}

func (a *api) entry(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	snap := a.Replica.Snapshot()
	key := catalogue.Key{Kind: catalogue.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	e := snap.Entry(key)
	if e == nil {
		return result.New(result.EntryNotFound, "the catalogue has no %s", key)
	}
	return writeJSON(w, EntryAnswer{Revision: snap.Revision(), Changed: snap.EntryRevision(key), Entry: e})
}

// applyEdit applies the edit in the request body, which creates the next revision
// of the catalogue.
func (a *api) applyEdit(w http.ResponseWriter, r *http.Request, by catalogue.Operator) error {
	var edit catalogue.Edit
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&edit); err != nil {
		return bodyError(err)
	}
	edit.By = by
	// The edit continues even if the operator's connection closes.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), editTimeout)
	defer cancel()
	applied, err := a.Replica.Apply(ctx, edit)
	if err != nil {
		return err
	}
	if !applied.DryRun && !applied.Repeated {
		log.Infof("edit applied as revision %d by operator %s: %d entries", applied.Revision, by.Name, len(applied.Updates))
	}
	return writeJSON(w, applied)
}

// bodyError returns the coded error of a request body that cannot be decoded.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Wrap(err, result.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	return result.Wrap(err, result.EditInvalid, "decoding the edit: %v", err)
}

// editByID answers with the change that an edit produced, for an operator who did
// not receive the answer to the edit.
func (a *api) editByID(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	change, found, err := a.Store.ChangeByEditID(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	if !found {
		return result.New(result.EntryNotFound, "no edit %q was accepted", r.PathValue("id"))
	}
	return writeJSON(w, change)
}

// history answers with the changes after a revision, or with the latest ones.
func (a *api) history(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	limit, err := queryUint(r, "limit", defaultHistoryChanges, maxHistoryChanges)
	if err != nil {
		return err
	}
	head, _, err := a.Store.Head(r.Context())
	if err != nil {
		return err
	}
	first := uint64(head) - min(uint64(head), limit)
	after, err := queryUint(r, "after", first, uint64(head))
	if err != nil {
		return err
	}
	changes, err := a.Store.History(r.Context(), catalogue.Revision(after), int(limit))
	if err != nil {
		return err
	}
	return writeJSON(w, HistoryAnswer{Changes: changes})
}

func (a *api) change(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	rev, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil {
		return result.New(result.BadRequest, "revision: %q is not a number", r.PathValue("revision"))
	}
	change, err := a.Store.Change(r.Context(), catalogue.Revision(rev))
	if err != nil {
		return err
	}
	return writeJSON(w, change)
}

// queryUint returns a query parameter between 0 and maximum, or fallback if it is
// absent.
func queryUint(r *http.Request, name string, fallback, maximum uint64) (uint64, error) {
	text := r.FormValue(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value > maximum {
		return 0, result.New(result.BadRequest, "%s: %q is not allowed; allowed is 0 to %d", name, text, maximum)
	}
	return value, nil
}
