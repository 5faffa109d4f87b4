package catalogue

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// admin may edit everything.
var admin = Operator{Name: "root", Owners: []string{All}}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func workspace(name, owner string, concurrent int) Entry {
	return Entry{Kind: KindWorkspace, Name: name, Owner: owner, Limits: Limits{Concurrent: concurrent},
		Workspace: &WorkspaceSpec{KeySHA256: []string{hashOf(name)}, Models: []string{All}}}
}

func model(name, version string) Entry {
	return Entry{Kind: KindModel, Name: name, Owner: "models", Model: &ModelSpec{Version: version}}
}

// fleet is a number of replicas over one store.
type fleet struct {
	t     *testing.T
	net   *peertest.Net
	table *memstore.Store
	// reads is the table that instances use; a test can wrap it before it
	// starts them.
	reads platform.Table
	// wrap, if set, replaces the bus of an instance.
	wrap  func(peer.Bus) peer.Bus
	nodes map[string]*node
	edits int
}

type node struct {
	*Replica
	stop context.CancelFunc
	// installed lists the revisions in the order of their installation.
	installed []Revision
}

func newFleet(t *testing.T, size int) *fleet {
	table := memstore.New()
	f := &fleet{t: t, net: peertest.NewNet(time.Millisecond), table: table, reads: table, nodes: map[string]*node{}}
	for i := range size {
		f.start(fmt.Sprintf("i%d", i))
	}
	t.Cleanup(f.stopAll)
	return f
}

// start starts an instance. If it is running, it is stopped first and loses its
// state.
func (f *fleet) start(id string) *node {
	f.stop(id)
	var bus peer.Bus = f.net.Join(peer.Member{ID: id})
	if f.wrap != nil {
		bus = f.wrap(bus)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	n := &node{stop: cancel}
	n.Replica = NewReplica(NewStore(f.reads), bus, Options{Seed: uint64(len(f.nodes) + 1)})
	n.Subscribe(func(s *Snapshot) { n.installed = append(n.installed, s.Revision()) })
	f.nodes[id] = n
	go n.Run(ctx)
	return n
}

func (f *fleet) stop(id string) {
	if n := f.nodes[id]; n != nil {
		n.stop()
		f.net.Leave(id)
		synctest.Wait()
		delete(f.nodes, id)
	}
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// isolate breaks or restores the links of one instance to all others.
func (f *fleet) isolate(id string, broken bool) {
	for other := range f.nodes {
		if other != id {
			f.net.SetLinkBroken(id, other, broken)
		}
	}
}

// put edits entries through one instance, based on its current revision.
func (f *fleet) put(id string, entries ...Entry) (Applied, error) {
	f.edits++
	n := f.nodes[id]
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	return n.Apply(ctx, Edit{ID: fmt.Sprintf("edit-%d", f.edits), Base: n.Revision(), By: admin, Puts: entries})
}

func (f *fleet) mustPut(id string, entries ...Entry) Revision {
	f.t.Helper()
	applied, err := f.put(id, entries...)
	if err != nil {
		f.t.Fatalf("edit through %s: %v", id, err)
	}
	return applied.Revision
}

// wantAll waits until every instance has the revision and returns how long that
// took. It fails after limit.
func (f *fleet) wantAll(rev Revision, limit time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		behind := ""
		for id, n := range f.nodes {
			if n.Revision() < rev {
				behind = id
			}
		}
		if behind == "" {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			f.t.Fatalf("%s has revision %d after %s; want %d", behind, f.nodes[behind].Revision(), limit, rev)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// settle waits for d while the fleet runs.
func settle(d time.Duration) { time.Sleep(d) }
