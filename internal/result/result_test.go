package result

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

const docFile = "../../docs/RESULT-CODES.md"

// row returns the line that docs/RESULT-CODES.md must have for info.
func row(info Info) string {
	retry := "no"
	if info.RetryHelps {
		retry = "yes"
	}
	return fmt.Sprintf("| %d | %s | %d | %s | %s | %s |", int(info.Code), info.Name, info.Status, info.Execution, retry, info.Meaning)
}

// TestDocumentationMatchesTable checks that docs/RESULT-CODES.md has exactly the
// rows of the table.
func TestDocumentationMatchesTable(t *testing.T) {
	data, err := os.ReadFile(docFile)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Code") && !strings.HasPrefix(line, "| --") {
			got = append(got, line)
		}
	}
	var want []string
	for _, info := range Table() {
		want = append(want, row(info))
	}
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Fatalf("docs/RESULT-CODES.md differs from the table; it should have:\n%s", w)
	}
}

// TestCodesAreUniqueAndAscending checks the order of the table, which Table
// promises.
func TestCodesAreUniqueAndAscending(t *testing.T) {
	last := Code(-1)
	for _, info := range Table() {
		if info.Code <= last {
			t.Errorf("code %d follows %d", info.Code, last)
		}
		last = info.Code
	}
}

// TestFromFindsWrappedError checks that From keeps the code and the time to retry
// after of a wrapped Error, and that any other error becomes Internal.
func TestFromFindsWrappedError(t *testing.T) {
	inner := New(Overloaded, "queue full").WithRetryAfter(2 * time.Second)
	got := From(fmt.Errorf("dispatch: %w", inner))
	if got.Code != Overloaded || got.RetryAfter != 2*time.Second {
		t.Fatalf("got %+v", got)
	}
	if From(errors.New("x")).Code != Internal {
		t.Fatal("an error without a code did not become internal")
	}
}
