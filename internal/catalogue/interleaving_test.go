package catalogue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// TestLoadDuringEdits checks that a read of the whole catalogue is consistent
// if edits are committed between the pages of its scan.
func TestLoadDuringEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		s := NewStore(table)
		rev := Revision(0)
		for part := range 5 {
			var puts []Entry
			for i := range maxEditEntries {
				puts = append(puts, workspace(fmt.Sprintf("w%d-%d", part, i), "a", 1))
			}
			rev = mustApply(t, s, Edit{ID: fmt.Sprint("part", part), Base: rev, Puts: puts}).Revision
		}
		table.SetFaults(memstore.Faults{Delay: 2 * time.Millisecond})
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := range 10 {
				base := s.latest.Load().Revision()
				mustApply(t, s, Edit{ID: fmt.Sprint("during", i), Base: base, Puts: []Entry{workspace(fmt.Sprintf("w%d-7", i%5), "a", i+2)}})
			}
		})
		fresh := NewStore(table)
		h, _, err := readHead(t.Context(), table)
		if err != nil {
			t.Fatal(err)
		}
		snap, err := fresh.readAll(t.Context(), h)
		wg.Wait()
		if err != nil || snap.Revision() < 6 || digestOf(snap.records) != snap.digest {
			t.Fatalf("got %v, %v", snap, err)
		}
	})
}

// beforeReadTable calls before once, ahead of the first read of a key.
type beforeReadTable struct {
	platform.Table
	key    string
	before func()
}

func (b *beforeReadTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if keys[0] == b.key && b.before != nil {
		before := b.before
		b.before = nil
		before()
	}
	return b.Table.Read(ctx, keys...)
}

// TestSameEditThroughTwoInstances checks that an edit is accepted once if it is
// sent through a second instance while the first one is still processing it.
func TestSameEditThroughTwoInstances(t *testing.T) {
	for _, key := range []string{headRow, editIDRow("same")} {
		synctest.Test(t, func(t *testing.T) {
			table := memstore.New()
			edit := Edit{ID: "same", Puts: []Entry{model("m", "v1")}}
			other := func() { mustApply(t, NewStore(table), edit) }
			applied := mustApply(t, NewStore(&beforeReadTable{Table: table, key: key, before: other}), edit)
			if applied.Revision != 1 || !applied.Repeated {
				t.Fatalf("accepted as %+v", applied)
			}
		})
	}
}

// TestPushOvertakesLoad checks that a load reads the head again, and not the
// whole catalogue, if a newer snapshot from a peer arrives after its read of
// the head.
func TestPushOvertakesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		other := NewStore(table)
		mustApply(t, other, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
		late := &afterReadTable{Table: table}
		s := NewStore(late)
		late.after = func() {
			mustApply(t, other, Edit{ID: "2", Base: 1, Puts: []Entry{model("m", "v2")}})
			s.Offer(other.latest.Load())
		}
		snap, err := s.Load(t.Context())
		if err != nil || snap.Revision() != 2 || table.Counts().Scans != 0 {
			t.Fatalf("got %v, %v, %d scans", snap, err, table.Counts().Scans)
		}
	})
}

// afterReadTable calls after once, after the first read.
type afterReadTable struct {
	platform.Table
	after func()
}

func (a *afterReadTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := a.Table.Read(ctx, keys...)
	if after := a.after; after != nil {
		a.after = nil
		after()
	}
	return rows, err
}

// TestStoreThatLostRevisionsRefusesEdits checks that no edit is accepted if the
// store was restored from an old copy and lacks a revision that instances have:
// they would ignore the edit, whose revision is not higher than theirs.
func TestStoreThatLostRevisionsRefusesEdits(t *testing.T) {
	full, old := memstore.New(), memstore.New()
	ahead := NewStore(full)
	mustApply(t, ahead, Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	mustApply(t, ahead, Edit{ID: "2", Base: 1, Puts: []Entry{model("m", "v2")}})
	mustApply(t, NewStore(old), Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	s := NewStore(old)
	s.Offer(ahead.latest.Load())
	_, err := apply(t, s, Edit{ID: "3", Base: 1, Puts: []Entry{model("n", "v1")}})
	wantCode(t, err, result.StoreUnavailable, "revision 1 is below 2")
}
