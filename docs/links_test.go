package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = ".."

// pages returns the paths of all Markdown pages, relative to this folder.
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

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// TestLinks checks that each relative link leads to a file.
func TestLinks(t *testing.T) {
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
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

// TestCommands checks that the targets, packages, files and tests that the
// pages name exist.
func TestCommands(t *testing.T) {
	makefile := read(t, filepath.Join(root, "Makefile"))
	tests := declaredTests(t)
	for _, page := range pages(t) {
		text := read(t, page)
		for _, m := range makeTarget.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(makefile, "\n"+m[1]+":") {
				t.Errorf("%s: there is no make target %s", page, m[1])
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
				t.Errorf("%s: there is no test %s", page, name)
			}
		}
	}
}

// declaredTests returns the names of all tests, fuzz targets and benchmarks.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			for _, m := range declaration.FindAllStringSubmatch(read(t, path), -1) {
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
