package placement

import (
	"testing"

	"github.com/banyanroute/banyanroute/internal/golden"
)

// TestGoldenMessages guards against messages that the build in production can't read.
func TestGoldenMessages(t *testing.T) {
	golden.Check(t, map[string]golden.Message{
		"placeRequest": golden.CBOR[placeRequest](),
		"placeAnswer":  golden.CBOR[placeAnswer](),
		// These are unknown to the build in production; they were written by the first build that has them.
		"explainRequest": golden.CBOR[explainRequest](),
		"explanation":    golden.CBOR[Explanation](),
	})
}
