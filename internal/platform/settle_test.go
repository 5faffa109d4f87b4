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

func txn(id string) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: "k"}},
		Writes:     []platform.Write{{Key: "k", Value: []byte(id)}},
	}
}

func TestCommitSettledFindsLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		res, err := platform.CommitSettled(t.Context(), store, txn("a"))
		if err != nil || !res.Committed {
			t.Fatalf("got %+v, %v; want committed", res, err)
		}
		res, err = platform.CommitSettled(t.Context(), store, txn("b"))
		if err != nil || res.Committed {
			t.Fatalf("got %+v, %v; want a conflict", res, err)
		}
	})
}

func TestCommitSettledRepeatsLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseWrites: 3})
		res, err := platform.CommitSettled(t.Context(), store, txn("a"))
		if err != nil || !res.Committed || store.Counts().Writes != 1 {
			t.Fatalf("got %+v, %v, %d writes", res, err, store.Counts().Writes)
		}
	})
}

func TestCommitSettledStaysUnknownWhenStoreGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.AfterFunc(10*time.Millisecond, func() { store.SetFaults(memstore.Faults{Down: true}) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := platform.CommitSettled(ctx, store, txn("a"))
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Fatalf("got %v, want unknown outcome", err)
		}
	})
}

func TestCommitSettledRefusesAtOnceWhenDown(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Down: true})
	if _, err := platform.CommitSettled(t.Context(), store, txn("a")); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}
