package reclaim

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// TestUnknownAnswerKeepsHold guards against holds that are released because of an answer that a
// later build has added.
func TestUnknownAnswerKeepsHold(t *testing.T) {
	net := peertest.NewNet(0)
	owner := net.Join(peer.Member{ID: "kinds-owner", Incarnation: 1})
	owner.HandleCall(topicQuery, func(context.Context, string, []byte) ([]byte, error) {
		return cbor.Marshal(reply{Answer: answerNotNeeded + 1})
	})
	c := newOwnerClient(net.Join(peer.Member{ID: "a", Incarnation: 1}), func(string) bool { return false })
	if got := c.isNeeded(t.Context(), "kinds-owner/1/x"); got != answerNeeded {
		t.Errorf("answer %d, want %d", got, answerNeeded)
	}
	if n := wiretest.UnknownKinds("kinds-owner", "hold"); n != 1 {
		t.Errorf("%d unknown answers counted, want 1", n)
	}
}
