package catalogue

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// activeTimeout bounds the time until an accepted edit is active on all
// instances that can reach one another, and pollOnlyTimeout the time if every
// push is lost.
const (
	activeTimeout   = 5 * time.Second
	pollOnlyTimeout = 19 * time.Second
)

// TestEditIsActiveEverywhere checks that all instances install an accepted edit
// from the broadcast.
func TestEditIsActiveEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		settle(time.Second)
		rev := f.mustPut("i3", workspace("alpha", "a", 5), model("m", "v1"))
		f.wantAll(rev, 100*time.Millisecond)
		for id, n := range f.nodes {
			if e := n.Snapshot().WorkspaceByKeyHash(hashOf("alpha")); e == nil || e.Limits.Concurrent != 5 {
				t.Errorf("%s has entry %+v", id, e)
			}
		}
	})
}

// TestStoreDownRightAfterAcceptance checks that an accepted edit becomes active
// on all instances if the store fails before they could read it.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		settle(time.Second)
		rev := f.mustPut("i0", model("m", "v1"))
		f.table.SetFaults(memstore.Faults{Down: true})
		f.wantAll(rev, activeTimeout)
		if _, err := f.put("i1", model("m", "v2")); result.From(err).Code != result.StoreUnavailable {
			t.Fatalf("an edit while the store is down: %v", err)
		}
	})
}

// TestLongChangeIsFetched checks that a change that is too long for the
// broadcast is fetched, also after an instance has offered a revision that does
// not exist.
func TestLongChangeIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		settle(time.Second)
		f.net.Join(peer.Member{ID: "wrong"}).Broadcast(topicOffer, encode(offer{Revision: 1 << 60}))
		settle(time.Second)
		var puts []Entry
		for i := range 50 {
			puts = append(puts, workspace(string(rune('a'+i%26))+string(rune('a'+i/26)), "a", 1))
		}
		rev := f.mustPut("i0", puts...)
		f.table.SetFaults(memstore.Faults{Down: true})
		f.wantAll(rev, 200*time.Millisecond)
	})
}

// TestIsolatedInstanceCatchesUp checks that an instance that was isolated
// catches up from its neighbours alone if the store is down when its links are
// restored.
func TestIsolatedInstanceCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		f.isolate("i4", true)
		rev := f.mustPut("i1", model("m", "v2"))
		f.table.SetFaults(memstore.Faults{Down: true})
		settle(time.Minute)
		f.net.Join(peer.Member{ID: "i9"}).Broadcast(topicOffer, encode(offer{Revision: rev}))
		settle(time.Second)
		if state := f.nodes["i4"].Dump().(replicaState).State; state != "behind" {
			t.Fatalf("after the offer of revision %d, the isolated instance is in state %q, want \"behind\"", rev, state)
		}
		if got := f.nodes["i4"].Revision(); got != 1 || !f.nodes["i4"].Ready() {
			t.Fatalf("the isolated instance has revision %d, want 1, or is not ready", got)
		}
		f.isolate("i4", false)
		f.wantAll(rev, activeTimeout)
		if state := f.nodes["i4"].Dump().(replicaState).State; state != "current" {
			t.Fatalf("the reconnected instance is in state %q, want \"current\"", state)
		}
	})
}

// TestAcceptedButNotAnnounced checks that an edit becomes active everywhere if
// the accepting instance crashes before it broadcasts it.
func TestAcceptedButNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		settle(time.Second)
		applied := mustApply(t, NewStore(f.table), Edit{ID: "x", Puts: []Entry{model("m", "v1")}})
		f.wantAll(applied.Revision, activeTimeout)
	})
}

// TestInstanceIsolatedFromPeersPollsStore checks that an instance that reaches
// the store but no peer gets an edit by polling.
func TestInstanceIsolatedFromPeersPollsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		settle(time.Second)
		f.isolate("i4", true)
		f.wantAll(f.mustPut("i1", model("m", "v2")), pollOnlyTimeout)
	})
}

// TestStalePeerIsRejected checks that no instance installs old content from a
// peer, whether under its old revision, under a new one, or with a wrong
// digest.
func TestStalePeerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		old := f.nodes["i0"].Snapshot()
		f.wantAll(f.mustPut("i0", model("m", "v2")), activeTimeout)
		current := f.nodes["i0"].Snapshot()
		if f.nodes["i1"].Install(old) || f.nodes["i1"].Install(emptySnapshot()) {
			t.Fatal("an older snapshot was installed")
		}
		stale := f.net.Join(peer.Member{ID: "stale"})
		answers := map[string]fetchAnswer{
			"older":             {Revision: 1, Digest: old.digest, Changes: old.recent},
			"older as newer":    {Revision: 9, Digest: old.digest, Changes: old.recent},
			"renumbered":        {Revision: 3, Digest: old.digest, Changes: renumber(old.recent, 3)},
			"with wrong digest": {Revision: 3, Digest: 7, Changes: []Change{{Revision: 3, Digest: 7}}},
			"with wrong record": {Revision: 3, Digest: current.digest, Changes: []Change{{Revision: 3, Digest: current.digest, Updates: []Update{{Key: Key{KindModel, "m"}}}}}},
		}
		for name, answer := range answers {
			stale.HandleCall(topicFetch, func(context.Context, string, []byte) ([]byte, error) { return encode(answer), nil })
			stale.HandleCall(topicPage, func(context.Context, string, []byte) ([]byte, error) {
				page := old.page("")
				page.Revision, page.Digest = 9, 7
				return encode(page), nil
			})
			stale.Broadcast(topicOffer, encode(offer{Revision: answer.Revision, Digest: answer.Digest}))
			for _, c := range answer.Changes {
				stale.Broadcast(topicOffer, encode(offer{Revision: c.Revision, Digest: c.Digest, Change: &c}))
			}
			settle(5 * time.Second)
			for id, n := range f.nodes {
				if n.Revision() != 2 || n.Snapshot().digest != current.digest || n.Snapshot().Model("m").Model.Version != "v2" {
					t.Errorf("%s: %s has revision %d with model %+v", name, id, n.Revision(), n.Snapshot().Model("m").Model)
				}
			}
		}
	})
}

// renumber returns changes with consecutive revisions from first.
func renumber(changes []Change, first Revision) []Change {
	var renumbered []Change
	for i, c := range changes {
		c.Revision = first + Revision(i)
		renumbered = append(renumbered, c)
	}
	return renumbered
}

// TestPartitionedRegions checks that, while only one of two regions reaches the
// store, the other refuses edits but stays ready, and that it catches up once
// the regions are connected again.
func TestPartitionedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		far := &switchableTable{Table: f.table}
		f.reads = far
		for _, id := range []string{"far0", "far1", "far2"} {
			f.start(id)
		}
		settle(time.Second)
		f.wantAll(f.mustPut("far0", model("m", "v1")), activeTimeout)
		f.partitionRegions(true)
		far.down.Store(true)
		settle(time.Second)
		var rev Revision
		for _, version := range []string{"v2", "v3", "v4"} {
			rev = f.mustPut("i0", model("m", version))
			settle(time.Minute)
			_, err := f.put("far0", model("m", "w"+version))
			if got := result.From(err); got.Code != result.StoreUnavailable || got.Execution != result.NotRun {
				t.Fatalf("an edit in the region without the store: %v", err)
			}
		}
		if n := f.nodes["far1"]; n.Revision() != 1 || !n.Ready() {
			t.Fatalf("an instance without the store has revision %d, want 1, or is not ready", n.Revision())
		}
		f.partitionRegions(false)
		f.wantAll(rev, activeTimeout)
	})
}

// switchableTable is a table whose reads fail while down is set.
type switchableTable struct {
	platform.Table
	down atomic.Bool
}

func (s *switchableTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if s.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return s.Table.Read(ctx, keys...)
}

// partitionRegions breaks or restores the links between the instances whose names
// begin with "far" and the others.
func (f *fleet) partitionRegions(broken bool) {
	for id := range f.nodes {
		for other := range f.nodes {
			if strings.HasPrefix(id, "far") && !strings.HasPrefix(other, "far") {
				f.net.SetLinkBroken(id, other, broken)
			}
		}
	}
}

// TestNewInstanceNeedsStoreOrPeer checks that an instance is not ready before
// it has read the catalogue from the store or a peer.
func TestNewInstanceNeedsStoreOrPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		settle(time.Second)
		rev := f.mustPut("i0", model("m", "v1"))
		f.wantAll(rev, activeTimeout)
		f.table.SetFaults(memstore.Faults{Down: true})
		for id := range f.nodes {
			f.net.SetLinkBroken("new", id, true)
		}
		n := f.start("new")
		settle(time.Minute)
		if n.Ready() {
			t.Fatal("an instance without store and peers is ready")
		}
		for id := range f.nodes {
			f.net.SetLinkBroken("new", id, false)
		}
		f.wantAll(rev, activeTimeout)
		if !n.Ready() {
			t.Fatal("an instance with peers is not ready")
		}
	})
}

// TestNewInstanceInstallsHighestRevision checks that an instance that starts
// while the store is down installs the highest revision of its neighbours, some
// of which missed the last edit.
func TestNewInstanceInstallsHighestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		f.isolate("i1", true)
		f.isolate("i2", true)
		rev := f.mustPut("i0", model("m", "v2"))
		f.table.SetFaults(memstore.Faults{Down: true})
		f.net.SetLinkBroken("new", "i3", true)
		n := f.start("new")
		settle(100 * time.Millisecond)
		if n.Revision() != rev {
			t.Fatalf("the new instance has revision %d; want %d", n.Revision(), rev)
		}
	})
}

// TestRestartDoesNotRevert checks that an instance that restarts while the
// store is down gets the current revision from its peers.
func TestRestartDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		settle(time.Second)
		rev := f.mustPut("i0", model("m", "v1"))
		f.table.SetFaults(memstore.Faults{Down: true})
		f.wantAll(rev, activeTimeout)
		for _, id := range []string{"i0", "i1", "i2"} {
			f.start(id)
			f.wantAll(rev, activeTimeout)
		}
	})
}

// TestWrongContentIsRepaired checks that content that differs from the store's
// under the same revision is replaced.
func TestWrongContentIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		n := f.nodes["i1"]
		good := n.Snapshot()
		n.current.Store(newSnapshot(good.revision, 99, map[Key]*Record{}, nil))
		settle(10 * time.Second)
		if n.Snapshot().digest != good.digest {
			t.Fatal("wrong content was not replaced")
		}
	})
}

// TestStartingInstanceRefusesCalls checks that an instance without a catalogue
// answers peers with an error instead of an empty catalogue.
func TestStartingInstanceRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		f.table.SetFaults(memstore.Faults{Down: true})
		n := f.start("a")
		if _, err := n.handleFetch(t.Context(), "b", encode(fetchRequest{})); !errors.Is(err, errNoCatalogue) {
			t.Fatalf("got %v", err)
		}
		if _, err := n.handlePage(t.Context(), "b", encode(pageRequest{})); !errors.Is(err, errNoCatalogue) {
			t.Fatalf("got %v", err)
		}
	})
}
