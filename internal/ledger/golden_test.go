package ledger

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/golden"
)

// TestGoldenMessages guards against messages that the build in production can't read.
func TestGoldenMessages(t *testing.T) {
	golden.Check(t, map[string]golden.Message{
		"record":       golden.CBOR[record](),
		"answer":       golden.CBOR[Answer](),
		"relayWrite":   golden.CBOR[relayWrite](),
		"relayOutcome": golden.CBOR[relayOutcome](),
	})
}
