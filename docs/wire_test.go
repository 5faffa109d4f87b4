package docs

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestMessageTypesAreListed guards against types of messages that the note on growing messages
// doesn't list under their package.
func TestMessageTypesAreListed(t *testing.T) {
	listed := map[string][]string{}
	row := regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (`.*`) \\|$")
	_, section, _ := strings.Cut(readFile(t, filepath.Join("design", "0047-growing-messages.md")), "\n## Types\n")
	for _, m := range row.FindAllStringSubmatch(section, -1) {
		listed[m[1]] = strings.Split(strings.ReplaceAll(m[2], "`", ""), ", ")
	}
	inCode := map[string][]string{}
	array := regexp.MustCompile("(?m)^type (\\w+) struct \\{\n(?:\t//.*\n)*\t_ +struct\\{\\} +`cbor:\",toarray\"`")
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		found := array.FindAllStringSubmatch(string(data), -1)
		if n := strings.Count(string(data), "`cbor:\",toarray\"`"); n != len(found) {
			t.Errorf("%s: %d arrays, %d found as types", path, n, len(found))
		}
		for _, m := range found {
			name := filepath.Base(filepath.Dir(path))
			inCode[name] = append(inCode[name], m[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(inCode)) {
		slices.Sort(inCode[name])
		if !slices.Equal(inCode[name], listed[name]) {
			t.Errorf("package %s has %q, listed are %q", name, inCode[name], listed[name])
		}
		delete(listed, name)
	}
	if len(listed) > 0 {
		t.Errorf("listed, but not in the code: %v", listed)
	}
}
