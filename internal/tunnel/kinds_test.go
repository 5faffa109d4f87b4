package tunnel

import (
	"context"
	"testing"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// TestUnknownCodeIsNoTunnel guards against bytes that are sent into a stream whose answer this
// build does not know.
func TestUnknownCodeIsNoTunnel(t *testing.T) {
	f := newFleet(2, 1, 0)
	f.instances[1].handler = func(ctx context.Context, _ string, s peer.Stream) {
		var request openRequest
		if err := receive(ctx, s, "front-0", &request); err != nil {
			t.Error(err)
		}
		if err := send(ctx, s, openAnswer{Code: notListed + 1, Reaches: true}); err != nil {
			t.Error(err)
		}
	}
	before := wiretest.UnknownKinds("front-1", "tunnel")
	conn, answer, err := f.instances[0].open(t.Context(), "front-1", "u0")
	if err == nil || conn != nil || answer.Code != notListed+1 {
		t.Errorf("connection %v, answer %+v, error %v", conn, answer, err)
	}
	if got := wiretest.UnknownKinds("front-1", "tunnel") - before; got != 1 {
		t.Errorf("%d unknown codes counted, want 1", got)
	}
}
