package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// txn returns a transaction that creates the row "k".
func txn(id string) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: "k"}},
		Writes:     []platform.Write{{Key: "k", Value: []byte(id)}},
	}
}

// TestCommitResolvedAfterLostAnswer checks that a commit whose answer was lost is
// recognised as committed, and that another transaction still conflicts.
func TestCommitResolvedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		res, err := platform.CommitResolved(t.Context(), store, txn("a"))
		if err != nil || !res.Committed {
			t.Fatalf("got %+v, %v; want committed", res, err)
		}
		res, err = platform.CommitResolved(t.Context(), store, txn("b"))
		if err != nil || res.Committed {
			t.Fatalf("got %+v, %v; want a conflict", res, err)
		}
	})
}

// TestCommitResolvedRetriesLostWrite checks that a commit that did not take effect
// is retried until it has been written once.
func TestCommitResolvedRetriesLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseWrites: 3})
		res, err := platform.CommitResolved(t.Context(), store, txn("a"))
		if err != nil || !res.Committed || store.Counts().Writes != 1 {
			t.Fatalf("got %+v, %v, %d writes; want committed with 1 write", res, err, store.Counts().Writes)
		}
	})
}

// TestCommitResolvedStaysUnknownDuringOutage checks that an outage after a lost
// answer does not turn the unknown outcome into ErrUnavailable.
func TestCommitResolvedStaysUnknownDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.AfterFunc(10*time.Millisecond, func() { store.SetFaults(memstore.Faults{Down: true}) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := platform.CommitResolved(ctx, store, txn("a"))
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Fatalf("got %v, want unknown outcome", err)
		}
	})
}

// TestCommitResolvedFailsAtOnceWhenDown checks that the first attempt fails with
// ErrUnavailable, without retries, while the store is down.
func TestCommitResolvedFailsAtOnceWhenDown(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Down: true})
	if _, err := platform.CommitResolved(t.Context(), store, txn("a")); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}
