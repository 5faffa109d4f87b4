package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root of the repository, relative to this folder.
const root = ".."

// pages returns the paths of all Markdown files outside hidden folders, relative to
// this folder.
func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if d != nil && d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != ".." {
			return fs.SkipDir
		}
		if err == nil && strings.HasSuffix(path, ".md") {
			out = append(out, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// link matches a Markdown link; its first group is the target without the fragment.
var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// TestLinks checks that the target of each relative link exists.
func TestLinks(t *testing.T) {
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(readFile(t, page), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: broken link to %s: %v", page, m[1], err)
			}
		}
	}
}

var (
	makeTarget = regexp.MustCompile("`make ([a-z-]+)`")
	goRun      = regexp.MustCompile(`go (?:run|test|build)[^\n` + "`" + `]* (\./[a-z/0-9]+)`)
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+\b`)
	goFile     = regexp.MustCompile(`\b(?:internal|cmd|tools|charts|scenarios)/[a-z0-9/_.-]+\.(?:go|yaml)\b`)
)

// TestCommands checks that the make targets, packages, files and tests named in the
// Markdown files exist.
func TestCommands(t *testing.T) {
	makefile := readFile(t, filepath.Join(root, "Makefile"))
	tests := declaredTests(t)
	for _, page := range pages(t) {
		text := readFile(t, page)
		for _, m := range makeTarget.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(makefile, "\n"+m[1]+":") {
				t.Errorf("%s: make target %s does not exist", page, m[1])
			}
		}
		var paths []string
		for _, m := range goRun.FindAllStringSubmatch(text, -1) {
			paths = append(paths, m[1])
		}
		paths = append(paths, goFile.FindAllString(text, -1)...)
		for _, path := range paths {
			if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(path, "/..."))); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
		for _, name := range testName.FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s: test %s does not exist", page, name)
			}
		}
	}
}

// declaredTests returns the names of all tests, fuzz targets and benchmarks of the
// repository.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			for _, m := range declaration.FindAllStringSubmatch(readFile(t, path), -1) {
				names[m[1]] = true
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
