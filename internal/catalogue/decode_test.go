package catalogue

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDecode reads entries, and shows errors or the number of entries;
// testdata/decode has the cases.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(_ *testing.T, d *datadriven.TestData) string {
		src, err := Decode("x.yaml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d entries\n", len(src.Entries))
	})
}
