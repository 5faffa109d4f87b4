package gang

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests unless the caller gives one, and
// keeps failures out of the source tree; the seed repeats them.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.nofailfile"); f != nil {
		_ = f.Value.Set("true")
	}
	os.Exit(m.Run())
}
