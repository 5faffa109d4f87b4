package member

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// newKindsOverlay returns an instance with a link to another one.
func newKindsOverlay(t *testing.T, other string) (*Overlay, *control, *link) {
	t.Helper()
	o, err := New(Options{Self: peer.Member{ID: "a", Incarnation: 1, Address: "x", DataCentre: "a"}, Secret: []byte("s")})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	c, err := newControl(o, now)
	if err != nil {
		t.Fatal(err)
	}
	l := newLink(noConn{}, linkOverlay, true, peer.Member{ID: other, Incarnation: 1, Address: "y", DataCentre: "b"})
	c.addLink(l, now)
	return o, c, l
}

// TestUnknownBroadcastIsPassedOn guards against topics of a later build that end at an instance
// of this one.
func TestUnknownBroadcastIsPassedOn(t *testing.T) {
	o, c, from := newKindsOverlay(t, "kinds-broadcast")
	to := newLink(noConn{}, linkOverlay, true, peer.Member{ID: "kinds-other", Address: "z", DataCentre: "b"})
	c.addLink(to, time.Unix(1000, 0))
	c.publishLinks()
	for len(to.out) > 0 {
		<-to.out
	}
	frame := encode(map[int]any{3: []any{"kinds-origin", 1, 1, "of a later build", []byte("payload"), "added"}})
	if err := o.receive(t.Context(), from, frame); err != nil {
		t.Fatal(err)
	}
	select {
	case sent := <-to.out:
		if string(sent) != string(frame) {
			t.Errorf("passed on as %x, received as %x", sent, frame)
		}
	default:
		t.Error("not passed on")
	}
	if n := wiretest.UnknownKinds("kinds-origin", "broadcast"); n != 1 {
		t.Errorf("%d unknown broadcasts counted, want 1", n)
	}
	if n := wiretest.UnknownFields("kinds-broadcast"); n != 1 {
		t.Errorf("%d unknown fields counted, want 1", n)
	}
}

// TestUnknownCallIsRefused guards against calls of a later build that wait until their deadline.
func TestUnknownCallIsRefused(t *testing.T) {
	o, _, l := newKindsOverlay(t, "kinds-call")
	for len(l.out) > 0 {
		<-l.out
	}
	if err := o.receive(t.Context(), l, encode(message{Call: &callRequest{ID: 7, Topic: "of a later build", TimeoutMillis: 1000}})); err != nil {
		t.Fatal(err)
	}
	var m message
	if err := cbor.Unmarshal(<-l.out, &m); err != nil || m.Answer == nil || m.Answer.ID != 7 || !strings.Contains(m.Answer.Error, `no handler for topic of a later build`) {
		t.Errorf("answer %+v, error %v", m.Answer, err)
	}
	if n := wiretest.UnknownKinds("kinds-call", "call"); n != 1 {
		t.Errorf("%d unknown calls counted, want 1", n)
	}
}

// TestUnknownFrameIsIgnored guards against frames of a later build that end the link.
func TestUnknownFrameIsIgnored(t *testing.T) {
	o, c, l := newKindsOverlay(t, "kinds-frame")
	if err := o.receive(t.Context(), l, encode(map[int]any{77: []any{"later"}})); err != nil {
		t.Fatal(err)
	}
	for len(o.events) > 0 {
		c.handle(<-o.events, time.Unix(1001, 0))
	}
	if l.isClosed() {
		t.Error("the link was closed")
	}
	if n := wiretest.UnknownFields("kinds-frame"); n != 1 {
		t.Errorf("%d unknown fields counted, want 1", n)
	}
	for _, traffic := range o.Traffic() {
		if traffic.ReceivedMessages > 0 && traffic.Topic != "unknown" {
			t.Errorf("the frame counts as %q", traffic.Topic)
		}
	}
}

// TestUnknownStatusIsIgnored guards against records that are read as another status.
func TestUnknownStatusIsIgnored(t *testing.T) {
	_, c, l := newKindsOverlay(t, "kinds-status")
	now := time.Unix(1001, 0)
	known := record{ID: "c", Incarnation: 1, Address: "z", DataCentre: "b"}
	c.receive(l, message{Gossip: []record{known}}, now)
	later := known
	later.Seq, later.Status = 1, statusDead+1
	c.receive(l, message{Gossip: []record{later}}, now)
	if e := c.table.entries["c"]; e == nil || e.Status != statusAlive || e.Seq != 0 {
		t.Errorf("entry %+v, want the record that was known before", e)
	}
	if n := wiretest.UnknownKinds("kinds-status", "status"); n != 1 {
		t.Errorf("%d unknown statuses counted, want 1", n)
	}
}

// TestRefusalNamesBothVersions guards against refusals from which operators can't see which
// instance is too old.
func TestRefusalNamesBothVersions(t *testing.T) {
	o, _, _ := newKindsOverlay(t, "kinds-refusal")
	for _, c := range []struct {
		first hello
		want  string
	}{
		{hello{Version: 3, Kind: linkOverlay, To: "a", From: dialler}, "protocol version 3 is unknown to instance a, which knows 1 to 2"},
		{hello{Version: 0, Kind: linkOverlay, To: "a", From: dialler}, "protocol version 0 is unknown to instance a, which knows 1 to 2"},
		{hello{Version: -1, Kind: linkOverlay, To: "a", From: dialler}, "protocol version -1 is unknown to instance a, which knows 1 to 2"},
		{hello{Version: 2, Kind: linkOverlay, To: "a", From: dialler}, ""},
		{hello{Version: 1, Kind: 9, To: "a", From: dialler}, "kind of link 9 is unknown to instance a, which knows 1 to 3"},
		{hello{Version: 1, Kind: linkOverlay, To: "a", From: dialler}, ""},
	} {
		if got := o.refusal(c.first); got != c.want {
			t.Errorf("refusal %q, want %q", got, c.want)
		}
	}
}
