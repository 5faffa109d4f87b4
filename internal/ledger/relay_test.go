package ledger

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// relayPair returns two ledgers, the first of which writes the rows of both,
// and their network. A call to the table takes 5 ms and a message 1 ms.
func relayPair(t *testing.T) (batching, sending *Ledger, net *peertest.Net, store *memstore.Store) {
	t.Helper()
	net, store = peertest.NewNet(time.Millisecond), memstore.New()
	store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
	both := map[string]*Ledger{}
	members := []peer.Member{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}}
	for _, m := range members {
		l := New(store, store, Options{Instance: m.ID, Incarnation: 1, Bus: net.Join(m), Batchers: 1})
		go func() { _ = l.Run(t.Context()) }()
		both[m.ID] = l
	}
	first := topRanked(members, "", 1)[0].ID
	for id, l := range both {
		if id != first {
			sending = l
		}
	}
	return both[first], sending, net, store
}

func rowsSent(l *Ledger) int64 { return l.Dump().(State).Rows }

// TestRowsAreSentToTheBatchingInstance checks that in a fleet with fewer batchers
// than instances the others write no rows themselves.
func TestRowsAreSentToTheBatchingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		batching, sending, _, _ := relayPair(t)
		claim := mustClaim(t, sending, booking("k"))
		wantCode(t, batching, booking("k"), result.StillRunning, result.MayHaveRun)
		if err := claim.Finish(t.Context(), Answer{Status: 200, Body: []byte("booked")}); err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, sending, booking("k"), "booked")
		if rowsSent(sending) != 0 || rowsSent(batching) == 0 {
			t.Fatalf("rows: %d by the sender, %d by the batching instance", rowsSent(sending), rowsSent(batching))
		}
	})
}

// TestLostRelayAnswerIsSettledDirectly checks that an instance whose relayed write
// got no answer, because the link failed after the write was sent, sends the write
// to the table itself.
func TestLostRelayAnswerIsSettledDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sending, net, _ := relayPair(t)
		time.AfterFunc(3*time.Millisecond, func() { net.SetLinkBroken("a", "b", true) })
		mustClaim(t, sending, booking("k"))
		if rowsSent(sending) == 0 {
			t.Fatal("the sender wrote no row, so the answer was not lost")
		}
	})
}

// TestUnsettledRelayedClaimIsFencedOff checks that a key can be claimed again after
// a claim was refused because its relayed write had no answer and the table failed.
func TestUnsettledRelayedClaimIsFencedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		batching, sending, net, store := relayPair(t)
		time.AfterFunc(3*time.Millisecond, func() { net.SetLinkBroken("a", "b", true) })
		time.AfterFunc(7*time.Millisecond, func() { store.SetFaults(memstore.Faults{Down: true}) })
		wantCode(t, sending, booking("k"), result.StoreUnavailable, result.NotRun)
		store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		sending.Drain(t.Context())
		mustClaim(t, batching, booking("k"))
	})
}

// TestTransactionsAreRateLimited checks that many concurrent callers cause no more
// transactions than CommitRate allows, as writes share transactions.
func TestTransactionsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, seconds = 50, 10
		store := memstore.New()
		store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
		l := New(store, store, Options{Instance: "a", CommitRate: rate})
		end := time.Now().Add(seconds * time.Second)
		var wg sync.WaitGroup
		for caller := range 50 {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					mustClaim(t, l, booking(fmt.Sprint(caller, "/", n)))
				}
			})
		}
		wg.Wait()
		counts := store.Counts()
		if limit := int64(rate*seconds + 2*commitBurst); counts.Commits > limit {
			t.Errorf("%d transactions in %d s, want at most %d", counts.Commits, seconds, limit)
		}
		if counts.Writes < 10*counts.Commits {
			t.Errorf("%d rows in %d transactions of 50 callers", counts.Writes, counts.Commits)
		}
	})
}

// FuzzRelayedWrite checks that a relayed write from the network writes only valid
// claim rows.
func FuzzRelayedWrite(f *testing.F) {
	rec := record{State: stateClaimed, ClaimID: "c"}
	value, err := rec.encode()
	if err != nil {
		f.Fatal(err)
	}
	seed, err := cbor.Marshal(relayWrite{Key: rowKey("w", "k"), Value: value})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, payload []byte) {
		store := memstore.New()
		node := peertest.NewNet(0).Join(peer.Member{ID: "a"})
		l := New(store, store, Options{Instance: "a", Bus: node})
		_, err := l.rows.(*relay).handle(t.Context(), "b", payload)
		rows, _ := store.Scan(t.Context(), "", "", 10)
		for _, row := range rows {
			if _, decodeErr := decodeRow(row); err != nil || decodeErr != nil || !strings.HasPrefix(row.Key, rowPrefix) {
				t.Fatalf("row %q was written: %v, %v", row.Key, err, decodeErr)
			}
		}
	})
}
