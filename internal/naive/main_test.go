package naive

import (
	"flag"
	"testing"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // flags on the command line take precedence
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}
