package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestMetricsAreListed: each metric of an instance on a platform is in the page
// for operations, and the page lists no other.
func TestMetricsAreListed(t *testing.T) {
	name := regexp.MustCompile("[`\"]" + `(banyanroute_[a-z_]+)`)
	listed := map[string]bool{}
	for _, m := range name.FindAllStringSubmatch(read(t, "OPERATIONS.md"), -1) {
		listed[m[1]] = true
	}
	used := map[string]bool{}
	for _, dir := range []string{"passthrough", "placement", "deployment", "hosted"} {
		err := filepath.WalkDir(filepath.Join(root, "internal", dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range name.FindAllStringSubmatch(string(data), -1) {
				used[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for metric := range used {
		if !listed[metric] {
			t.Errorf("%s is not in OPERATIONS.md", metric)
		}
	}
	for metric := range listed {
		if !used[metric] {
			t.Errorf("%s is in OPERATIONS.md but in no code", metric)
		}
	}
}
