package catalogue

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// Size of the target fleet, for which the system is designed, and bounds of its
// calls to the store.
const (
	targetInstances = 410
	// maxIdleCallsPerSecond bounds the fleet's calls to the store while there
	// are no edits.
	maxIdleCallsPerSecond = 2 * defaultPollRate
	// storeCallsPerSecond is the capacity of the store.
	storeCallsPerSecond = 2000
)

// countingTable counts reads and scans, also those that fail.
type countingTable struct {
	platform.Table
	calls atomic.Int64
}

func (c *countingTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	c.calls.Add(1)
	return c.Table.Read(ctx, keys...)
}

func (c *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	c.calls.Add(1)
	return c.Table.Scan(ctx, prefix, after, limit)
}

// peak returns the highest number of calls in any of the next seconds.
func (c *countingTable) peak(seconds int) int64 {
	highest := int64(0)
	for range seconds {
		before := c.calls.Load()
		time.Sleep(time.Second)
		highest = max(highest, c.calls.Load()-before)
	}
	return highest
}

// sparseBus has few neighbours and a fixed list of members, like the overlay of
// a large fleet.
type sparseBus struct {
	peer.Bus
	members    []peer.Member
	neighbours []string
	// bytes is the sum of the payload sizes. A call counts once, a broadcast
	// once per neighbour of each instance, since it is flooded.
	bytes *atomic.Int64
}

func (b *sparseBus) Broadcast(topic peer.Topic, payload []byte) {
	b.bytes.Add(int64(len(payload) * sparseDegree * len(b.members)))
	b.Bus.Broadcast(topic, payload)
}

func (b *sparseBus) Call(ctx context.Context, to string, topic peer.Topic, payload []byte) ([]byte, error) {
	answer, err := b.Bus.Call(ctx, to, topic, payload)
	b.bytes.Add(int64(len(payload) + len(answer)))
	return answer, err
}

func (b *sparseBus) Members() []peer.Member { return b.members }
func (b *sparseBus) Neighbours() []string   { return b.neighbours }

// sparseDegree is the number of neighbours of an instance, on a ring with
// chords.
const sparseDegree = 6

func sparse(bus peer.Bus, at int, members []peer.Member, bytes *atomic.Int64) peer.Bus {
	b := &sparseBus{Bus: bus, members: members, bytes: bytes}
	distance := 1
	for range sparseDegree {
		b.neighbours = append(b.neighbours, members[(at+distance)%len(members)].ID)
		distance *= 3
	}
	return b
}

func newTargetFleet(t *testing.T) (*fleet, *countingTable, *atomic.Int64) {
	bytes := &atomic.Int64{}
	f := newFleet(t, 0)
	counting := &countingTable{Table: f.table}
	f.reads = counting
	members := make([]peer.Member, targetInstances)
	for i := range members {
		members[i].ID = fmt.Sprintf("i%d", i)
	}
	for i := range members {
		f.wrap = func(bus peer.Bus) peer.Bus { return sparse(bus, i, members, bytes) }
		f.start(members[i].ID)
	}
	return f, counting, bytes
}

// TestTargetFleet checks the rate of calls to the store, and the time until an
// edit is active, in a fleet of the target size.
func TestTargetFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, table, bytes := newTargetFleet(t)
		start, steady := table.peak(5), table.peak(15)
		t.Logf("calls to the store per second: %d at the start of the whole fleet, %d later", start, steady)
		if start > storeCallsPerSecond || steady > maxIdleCallsPerSecond {
			t.Errorf("want at most %d at the start and %d later", storeCallsPerSecond, maxIdleCallsPerSecond)
		}
		pushed := f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
		applied := mustApply(t, NewStore(f.table), Edit{ID: "silent", Base: 1, Puts: []Entry{model("m", "v2")}})
		polled := f.wantAll(applied.Revision, pollOnlyTimeout)
		f.logBytes(bytes)
		t.Logf("active on %d instances %s after acceptance, %s if it was not announced", targetInstances, pushed, polled)
	})
}

// targetEditInterval is the time between two changes of the target fleet, which
// has 3,400 a day.
const targetEditInterval = 25 * time.Second

// logBytes logs the payload that an instance sends per second at the rate of
// changes of the target fleet.
func (f *fleet) logBytes(bytes *atomic.Int64) {
	const edits = 4
	bytes.Store(0)
	for i := range edits {
		f.wantAll(f.mustPut(fmt.Sprintf("i%d", i), workspace("alpha", "a", i+1)), activeTimeout)
		settle(targetEditInterval)
	}
	perSecond := float64(bytes.Load()) / float64(len(f.nodes)) / (edits * targetEditInterval.Seconds())
	f.t.Logf("payload per instance: %.0f B/s with an edit every %s", perSecond, targetEditInterval)
}

// TestTargetFleetAfterOutage checks that the fleet does not overload the store
// during an outage and after it.
func TestTargetFleetAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, table, _ := newTargetFleet(t)
		settle(5 * time.Second)
		f.table.SetFaults(memstore.Faults{Down: true})
		during := table.peak(30)
		f.table.SetFaults(memstore.Faults{})
		after := table.peak(15)
		t.Logf("calls to the store per second: %d during the outage, %d after it", during, after)
		if max(during, after) > maxIdleCallsPerSecond {
			t.Errorf("want at most %d", maxIdleCallsPerSecond)
		}
		f.wantAll(f.mustPut("i0", model("m", "v1")), activeTimeout)
	})
}
