package catalogue

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDecode checks the errors, or the number of entries, of the inputs in
// testdata/decode.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(_ *testing.T, d *datadriven.TestData) string {
		src, err := Decode("x.yaml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d entries\n", len(src.Entries))
	})
}
