package reclaim

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/golden"
)

// TestGoldenMessages guards against messages that the build in production can't read.
func TestGoldenMessages(t *testing.T) {
	golden.Check(t, map[string]golden.Message{
		"query": golden.CBOR[query](),
		"reply": golden.CBOR[reply](),
	})
}
