package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// newBenchControl returns the control state of an instance among n members.
func newBenchControl(b *testing.B, n int) *control {
	o, err := New(Options{Self: peer.Member{ID: "n000", Incarnation: 1, Address: "x", DataCentre: "a"}, Secret: []byte("s")})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	c, err := newControl(o, now)
	if err != nil {
		b.Fatal(err)
	}
	for i := 1; i < n; i++ {
		id := fmt.Sprintf("n%03d", i)
		c.table.merge(record{ID: id, Incarnation: 1, Address: id, DataCentre: string(rune('a' + i%5))}, now)
	}
	c.publish(now)
	c.table.takeChanged()
	return c
}

// BenchmarkHeartbeat measures decoding and handling one heartbeat among 410
// members.
func BenchmarkHeartbeat(b *testing.B) {
	c := newBenchControl(b, 410)
	l := newLink(nil, linkOverlay, true, peer.Member{ID: "n001"})
	frame := encode(c.heartbeatMessage(l))
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		var m message
		if err := decoding.Unmarshal(frame, &m, "peer"); err != nil {
			b.Fatal(err)
		}
		c.receive(l, m, now)
	}
}

// BenchmarkBroadcast measures receiving one new broadcast of 200 bytes and
// forwarding it on six links.
func BenchmarkBroadcast(b *testing.B) {
	c := newBenchControl(b, 410)
	for i := 1; i <= 6; i++ {
		l := newLink(nil, linkOverlay, true, peer.Member{ID: fmt.Sprintf("n%03d", i)})
		c.links[l.peer.ID] = l
		go func() {
			for data := range l.out {
				l.queuedBytes.Add(-int64(len(data)))
			}
		}()
		b.Cleanup(func() { close(l.out) })
	}
	c.publishLinks()
	payload := make([]byte, 200)
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		frame := encode(message{Broadcast: &broadcast{Origin: fmt.Sprint("n", seq%400), Incarnation: 1, Seq: seq, Topic: "t", Payload: payload}})
		var m message
		if err := decoding.Unmarshal(frame, &m, "peer"); err != nil {
			b.Fatal(err)
		}
		c.o.receiveBroadcast(nil, m.Broadcast, frame)
	}
}

// BenchmarkMemberChange measures publishing a new view and choosing neighbours.
func BenchmarkMemberChange(b *testing.B) {
	c := newBenchControl(b, 410)
	for b.Loop() {
		c.table.revision++
		c.publish(time.Now())
	}
}
