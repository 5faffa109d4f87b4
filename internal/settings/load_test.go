package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParse checks the errors for the invalid fields in testdata/parse. Each
// case is a list of replacements in good.yaml.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		base, err := os.ReadFile("testdata/good.yaml")
		if err != nil {
			t.Fatal(err)
		}
		text := string(base)
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			from, to, _ := strings.Cut(line, " => ")
			if !strings.Contains(text, from) {
				t.Fatalf("good.yaml has no %q", from)
			}
			text = strings.Replace(text, from, strings.ReplaceAll(to, `\n`, "\n"), 1)
		}
		if _, err := Parse("x.yaml", []byte(text)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

func TestParseFillsDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("good.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance != "i1" || s.Limits.SilenceTimeout.Std() != 3*time.Second {
		t.Fatalf("got %+v", s)
	}
}

// FuzzParse checks that no input makes Parse panic, and that settings without
// an instance are rejected.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("instance: [1]\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("x.yaml", data)
		if err == nil && s.Instance == "" {
			t.Fatal("accepted settings without an instance")
		}
	})
}
