package catalogue

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

func apply(t *testing.T, s *Store, e Edit) (Applied, error) {
	t.Helper()
	if e.By.Name == "" {
		e.By = admin
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return s.Apply(ctx, e)
}

func mustApply(t *testing.T, s *Store, e Edit) Applied {
	t.Helper()
	applied, err := apply(t, s, e)
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

// wantCode fails unless err has the code and its text contains part.
func wantCode(t *testing.T, err error, code result.Code, part string) {
	t.Helper()
	if err == nil || result.From(err).Code != code || !strings.Contains(err.Error(), part) {
		t.Fatalf("got %v; want %s with %q", err, code, part)
	}
}

// TestConcurrentEditsOfOneEntry checks that, of concurrent edits of the same
// entry with the same base, one is accepted and the others get a conflict.
func TestConcurrentEditsOfOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		table.SetFaults(memstore.Faults{Delay: time.Millisecond})
		var wg sync.WaitGroup
		errs := make([]error, 12)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = apply(t, NewStore(table), Edit{ID: fmt.Sprint(i), Puts: []Entry{model("m", fmt.Sprintf("v%d", i))}})
			})
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			if err == nil {
				accepted++
				continue
			}
			wantCode(t, err, result.EditConflict, "model/m (revision 1 by root)")
		}
		if accepted != 1 {
			t.Fatalf("%d edits of the same entry were accepted; want 1", accepted)
		}
	})
}

// TestUnrelatedEditsAreRebased checks that concurrent edits of different
// entries with the same base are all accepted.
func TestUnrelatedEditsAreRebased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		table.SetFaults(memstore.Faults{Delay: time.Millisecond})
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				mustApply(t, NewStore(table), Edit{ID: fmt.Sprint(i), Puts: []Entry{workspace(fmt.Sprintf("w%d", i), "a", i+1)}})
			})
		}
		wg.Wait()
		snap, err := NewStore(table).Load(t.Context())
		if err != nil || snap.Revision() != 8 || snap.Len() != 8 {
			t.Fatalf("got %+v, %v", snap, err)
		}
	})
}

// TestRebaseChecksReferencesAgain checks that an edit whose reference was valid
// at its base is refused if the referenced entry has been deleted since.
func TestRebaseChecksReferencesAgain(t *testing.T) {
	s := NewStore(memstore.New())
	mustApply(t, s, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	mustApply(t, s, Edit{ID: "2", Base: 1, Deletes: []Key{{KindModel, "m"}}})
	up := Entry{Kind: KindUpstream, Name: "u", Owner: "a", Upstream: &UpstreamSpec{URL: "http://127.0.0.1:1", DataCentre: "d", Models: []string{"m"}}}
	_, err := apply(t, s, Edit{ID: "3", Base: 1, Puts: []Entry{up}})
	wantCode(t, err, result.EditInvalid, "upstream/u: upstream.models[0]: the catalogue has no model/m")
}

// TestConflictWithDeletion checks that an edit of an entry that was deleted
// after the edit's base gets a conflict.
func TestConflictWithDeletion(t *testing.T) {
	s := NewStore(memstore.New())
	mustApply(t, s, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	mustApply(t, s, Edit{ID: "2", Base: 1, Deletes: []Key{{KindModel, "m"}}})
	_, err := apply(t, s, Edit{ID: "3", Base: 1, Puts: []Entry{model("m", "v2")}})
	wantCode(t, err, result.EditConflict, "model/m (revision 2 by root)")
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Head != 2 || len(conflict.Changes) != 1 {
		t.Fatalf("got %+v", conflict)
	}
}

// TestConflictShowsWholeChange checks that a conflict holds the records before
// and after the earlier change, also on an instance that received the change
// from a peer, which omits the record before.
func TestConflictShowsWholeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		f.wantAll(f.mustPut("i0", model("m", "v2")), activeTimeout)
		_, err := f.nodes["i1"].Apply(t.Context(), Edit{ID: "x", Base: 1, By: admin, Puts: []Entry{model("m", "v3")}})
		var conflict *ConflictError
		if !errors.As(err, &conflict) || len(conflict.Changes) != 1 {
			t.Fatalf("got %v", err)
		}
		u := conflict.Changes[0].Updates[0]
		if u.Before == nil || u.Before.Entry.Model.Version != "v1" || u.After.Entry.Model.Version != "v2" {
			t.Fatalf("got %+v", u)
		}
	})
}

// TestRetryAfterLostAnswerAndLaterEdit checks that an edit that was committed,
// but whose outcome stayed unknown because the store's answer was lost, is not
// applied twice when it is sent again after a later edit of the same entry.
func TestRetryAfterLostAnswerAndLaterEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		table.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.AfterFunc(10*time.Millisecond, func() { table.SetFaults(memstore.Faults{Down: true}) })
		edit := Edit{ID: "lost", Puts: []Entry{model("m", "v1")}}
		_, err := apply(t, NewStore(table), edit)
		wantCode(t, err, result.EditUnknown, "edit lost")
		table.SetFaults(memstore.Faults{})
		other := NewStore(table)
		mustApply(t, other, Edit{ID: "later", Base: 1, Puts: []Entry{model("m", "v2")}})
		applied := mustApply(t, NewStore(table), edit)
		if applied.Revision != 1 || !applied.Repeated {
			t.Fatalf("got %+v", applied)
		}
		snap, _ := other.Load(t.Context())
		if snap.Revision() != 2 || snap.Model("m").Model.Version != "v2" {
			t.Fatalf("the repeated edit was applied again: %+v", snap.Model("m").Model)
		}
	})
}

// TestLostAnswerAndLaterEditDuringSettling checks that a commit whose answer
// was lost is found even if another edit follows before the outcome is known.
func TestLostAnswerAndLaterEditDuringSettling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		table.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.AfterFunc(5*time.Millisecond, func() {
			mustApply(t, NewStore(table), Edit{ID: "later", Base: 1, Puts: []Entry{model("m", "v2")}})
		})
		applied := mustApply(t, NewStore(table), Edit{ID: "lost", Puts: []Entry{model("m", "v1")}})
		if applied.Revision != 1 {
			t.Fatalf("got %+v", applied)
		}
	})
}

// TestReusedEditIDIsRefused checks that an edit with the ID of another, accepted
// edit is refused.
func TestReusedEditIDIsRefused(t *testing.T) {
	s := NewStore(memstore.New())
	mustApply(t, s, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	_, err := apply(t, s, Edit{ID: "1", Base: 1, Puts: []Entry{model("m", "v2")}})
	wantCode(t, err, result.EditInvalid, "was used for another edit, revision 1")
}

// TestRejectedEditChangesNothing checks the code and text of each kind of
// refusal, and that a refused edit writes no row.
func TestRejectedEditChangesNothing(t *testing.T) {
	table := memstore.New()
	s := NewStore(table)
	mustApply(t, s, Edit{ID: "1", Puts: []Entry{model("m", "v1"), workspace("w", "b", 1)}})
	ann := Operator{Name: "ann", Owners: []string{"a"}}
	moved := workspace("w", "a", 1)
	cases := map[string]struct {
		edit Edit
		code result.Code
		want string
	}{
		"one bad of two":  {Edit{Puts: []Entry{model("n", "v1"), model("bad name", "v1")}}, result.EditInvalid, "name: \"bad name\" is not a name"},
		"other owner":     {Edit{By: ann, Puts: []Entry{workspace("w", "b", 2)}}, result.EditForbidden, "owner"},
		"takes over":      {Edit{By: ann, Puts: []Entry{moved}}, result.EditForbidden, "owner"},
		"deletes other's": {Edit{By: ann, Deletes: []Key{{KindWorkspace, "w"}}}, result.EditForbidden, "owner"},
		"absent":          {Edit{Deletes: []Key{{KindModel, "x"}}}, result.EntryNotFound, "model/x"},
		"future base":     {Edit{Base: 9, Puts: []Entry{model("n", "v1")}}, result.EditInvalid, "base: 9 is not a revision yet"},
		"twice":           {Edit{Puts: []Entry{model("n", "v1")}, Deletes: []Key{{KindModel, "n"}}}, result.EditInvalid, "edited twice"},
		"empty":           {Edit{}, result.EditInvalid, "allowed is 1 to 256"},
		"same key":        {Edit{Puts: []Entry{{Kind: KindWorkspace, Name: "x", Owner: "a", Workspace: &WorkspaceSpec{KeySHA256: []string{hashOf("w")}}}}}, result.EditInvalid, "must be unique"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.edit.Base == 0 {
				c.edit.Base = 1
			}
			c.edit.ID = name
			_, err := apply(t, s, c.edit)
			wantCode(t, err, c.code, c.want)
		})
	}
	if writes := table.Counts().Writes; writes != 5 {
		t.Fatalf("%d rows were written; want the 5 of the first edit", writes)
	}
}

// TestDryRunAndUnchanged checks that neither a dry run nor an edit that changes
// no entry creates a revision.
func TestDryRunAndUnchanged(t *testing.T) {
	table := memstore.New()
	s := NewStore(table)
	if applied := mustApply(t, s, Edit{ID: "1", DryRun: true, Puts: []Entry{model("m", "v1")}}); applied.Revision != 1 || table.Counts().Writes != 0 {
		t.Fatalf("got %+v, %d writes", applied, table.Counts().Writes)
	}
	mustApply(t, s, Edit{ID: "2", Puts: []Entry{model("m", "v1")}})
	if applied := mustApply(t, s, Edit{ID: "3", Base: 1, Puts: []Entry{model("m", "v1")}}); applied.Revision != 1 || len(applied.Updates) != 0 {
		t.Fatalf("got %+v", applied)
	}
}

// TestInverseRestoresEntries checks that the inverse of a change restores its
// entries under a new revision.
func TestInverseRestoresEntries(t *testing.T) {
	s := NewStore(memstore.New())
	mustApply(t, s, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	mustApply(t, s, Edit{ID: "2", Base: 1, Puts: []Entry{model("m", "v2"), model("n", "v1")}})
	change, err := s.Change(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	undo, err := change.Inverse()
	if err != nil {
		t.Fatal(err)
	}
	undo.ID = "undo"
	if applied := mustApply(t, s, undo); applied.Revision != 3 {
		t.Fatalf("got %+v", applied)
	}
	snap, _ := s.Load(t.Context())
	if snap.Model("m").Model.Version != "v1" || snap.Model("n") != nil {
		t.Fatalf("after the undo, the models are %+v", snap.Entries(KindModel))
	}
}
