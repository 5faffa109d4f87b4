package ledger

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// TestUnknownStatusMayHaveWritten guards against a write that is taken for one that had no effect
// because of a status that a later build has added.
func TestUnknownStatusMayHaveWritten(t *testing.T) {
	net := peertest.NewNet(0)
	batcher := net.Join(peer.Member{ID: "kinds-batcher", Incarnation: 1})
	batcher.HandleCall(topicWrite, func(context.Context, string, []byte) ([]byte, error) {
		return cbor.Marshal(relayOutcome{Status: relayUnavailable + 1})
	})
	r := &relay{bus: net.Join(peer.Member{ID: "a", Incarnation: 1})}
	res, unknown := r.send("kinds-batcher", relayWrite{Key: rowKey("w", "k")})
	if res.err != platform.ErrUnknownOutcome || !unknown {
		t.Errorf("result %+v, unknown %v", res, unknown)
	}
	if n := wiretest.UnknownKinds("kinds-batcher", "write"); n != 1 {
		t.Errorf("%d unknown statuses counted, want 1", n)
	}
}
