package ledger

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// TestLookupAnswersRepeatsAndClaimsNothing checks the result of Lookup for a free,
// a claimed and a finished key, for another request with the same key and while the
// store is down, and that it writes no row.
func TestLookupAnswersRepeatsAndClaimsNothing(t *testing.T) {
	store := memstore.New()
	l := newLedger(t, store, "i1")
	if answer, err := l.Lookup(t.Context(), booking("k")); answer != nil || err != nil {
		t.Fatalf("free key: %v, %v", answer, err)
	}
	if n := store.Counts().Writes; n != 0 {
		t.Fatalf("a lookup wrote %d rows", n)
	}
	claim := mustClaim(t, l, booking("k"))
	if _, err := l.Lookup(t.Context(), booking("k")); err == nil || err.Code != result.StillRunning {
		t.Fatalf("claimed key: %v", err)
	}
	if err := claim.Finish(t.Context(), Answer{Status: 200, Body: []byte("booked")}); err != nil {
		t.Fatal(err)
	}
	if answer, err := l.Lookup(t.Context(), booking("k")); err != nil || string(answer.Body) != "booked" {
		t.Fatalf("finished key: %+v, %v", answer, err)
	}
	other := booking("k")
	other.Fingerprint[0]++
	if _, err := l.Lookup(t.Context(), other); err == nil || err.Code != result.KeyReused {
		t.Fatalf("another body: %v", err)
	}
	store.SetFaults(memstore.Faults{Down: true})
	if _, err := l.Lookup(t.Context(), booking("k")); err == nil || err.Code != result.StoreUnavailable || err.RetryAfter <= 0 {
		t.Fatalf("store down: %v", err)
	}
}
