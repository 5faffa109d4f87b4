package load

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests unless the caller gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
