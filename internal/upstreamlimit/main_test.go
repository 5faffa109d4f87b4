package upstreamlimit

import (
	"flag"
	"testing"
)

// TestMain makes property tests repeatable and keeps them from writing files.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line overrides it
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}
