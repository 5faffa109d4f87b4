package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestMetricsAreListed checks that OPERATIONS.md lists each metric of an instance on
// the platform, and no metric that the code does not have.
func TestMetricsAreListed(t *testing.T) {
	name := regexp.MustCompile("[`\"]" + `(banyanroute_[a-z_]+)`)
	listed := map[string]bool{}
	for _, m := range name.FindAllStringSubmatch(readFile(t, "OPERATIONS.md"), -1) {
		listed[m[1]] = true
	}
	inCode := map[string]bool{}
	for _, dir := range []string{"bodies", "build", "graceful", "passthrough", "placement", "deployment", "hosted", "panics", "tunnel", "upstreamlimit", "wire"} {
		err := filepath.WalkDir(filepath.Join(root, "internal", dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range name.FindAllStringSubmatch(string(data), -1) {
				inCode[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for metric := range inCode {
		if !listed[metric] {
			t.Errorf("metric %s is not listed in OPERATIONS.md", metric)
		}
	}
	for metric := range listed {
		if !inCode[metric] {
			t.Errorf("metric %s is listed in OPERATIONS.md but not in the code", metric)
		}
	}
}
