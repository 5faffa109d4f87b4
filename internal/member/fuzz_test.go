package member

import (
	"context"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// noConn is a connection that discards writes and receives nothing.
type noConn struct{}

func (noConn) Read(ctx context.Context) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (noConn) Write(context.Context, []byte) error { return nil }
func (noConn) Close()                              {}

// FuzzMessage checks that arbitrary bytes from an authenticated peer cause no
// panic, and that the instance remains a member in its own view.
func FuzzMessage(f *testing.F) {
	r := record{ID: "b", Incarnation: 1, Address: "y", DataCentre: "b"}
	self := record{ID: "a", Incarnation: 1, Status: statusDead, Address: "x"}
	for _, m := range []message{
		{Heartbeat: &heartbeat{Digest: 7, Counters: map[string]uint64{"b": 3}, Announced: []broadcastKey{9}}},
		{Gossip: []record{r, self}},
		{Gossip: []record{{ID: "c", Address: "z", Status: 200}}},
		{Sync: &tableSync{Records: []record{r}, Reply: true}},
		{Broadcast: &broadcast{Origin: "b", Incarnation: 1, Seq: 1 << 63, Topic: "t", Payload: []byte("x")}},
		{Call: &callRequest{ID: 1, Topic: "none", TimeoutMillis: 1 << 63}},
		{Answer: &callAnswer{ID: 99}},
		{Graft: []broadcastKey{1, 2}},
		{Prune: true},
		{Bye: true},
	} {
		f.Add(encode(m))
	}
	// A later build's messages have more fields.
	f.Add(encode(map[int]any{4: []any{1, "none", []byte("x"), 5, "added"}, 77: []int{1}}))
	f.Add(encode(map[int]any{2: []any{[]any{"c", 1, 0, 0, false, "z", "b", "", 7, "added", nil}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := New(Options{Self: peer.Member{ID: "a", Incarnation: 1, Address: "x", DataCentre: "a"}, Secret: []byte("s")})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		c, err := newControl(o, now)
		if err != nil {
			t.Fatal(err)
		}
		l := newLink(noConn{}, linkOverlay, true, r.member())
		c.addLink(l, now)
		if o.receive(t.Context(), l, data) != nil {
			return
		}
		for len(o.events) > 0 {
			c.handle(<-o.events, now)
		}
		c.tick(now.Add(time.Second))
		for _, e := range c.table.entries {
			if _, known := stateOf[e.Status]; !known {
				t.Fatalf("a record with invalid status %d was accepted", e.Status)
			}
		}
		if c.table.self.Status != statusAlive || o.Self().ID != "a" {
			t.Fatalf("the instance's own record became %+v", c.table.self)
		}
	})
}
