package quota

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/golden"
)

// TestGoldenMessages guards against messages that the build in production can't read.
func TestGoldenMessages(t *testing.T) {
	golden.Check(t, map[string]golden.Message{
		"leaseRequests": golden.CBOR[[]leaseRequest](),
		"grants":        golden.CBOR[[]grant](),
	})
}
