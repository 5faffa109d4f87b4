package build

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
)

func vcs(revision, modified string) []debug.BuildSetting {
	return []debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: modified}}
}

// TestBuildsShareAnID checks that two builds that may differ are never named alike.
func TestBuildsShareAnID(t *testing.T) {
	hash := func() (string, error) { return "h1", nil }
	noHash := func() (string, error) { return "", errors.New("no executable") }
	const revision = "361f2d3ddfa33f0c7c8acee40ea46479b6fa52c3"
	cases := map[string]struct {
		info *debug.BuildInfo
		hash func() (string, error)
		want string
	}{
		"revision":                  {&debug.BuildInfo{Main: debug.Module{Version: "v1.2.3"}, Settings: vcs(revision, "false")}, noHash, "361f2d3ddfa3"},
		"short revision":            {&debug.BuildInfo{Settings: vcs("361f", "false")}, noHash, "361f"},
		"changes":                   {&debug.BuildInfo{Settings: vcs(revision, "true")}, hash, "361f2d3ddfa3+exe-h1"},
		"changes, no executable":    {&debug.BuildInfo{Settings: vcs(revision, "true")}, noHash, "361f2d3ddfa3+changes"},
		"module":                    {&debug.BuildInfo{Main: debug.Module{Version: "v1.2.3"}}, noHash, "v1.2.3"},
		"no revision, own checkout": {&debug.BuildInfo{Main: debug.Module{Version: "(devel)"}}, hash, "exe-h1"},
		"no information":            {&debug.BuildInfo{}, hash, "exe-h1"},
	}
	for name, c := range cases {
		if got, err := idOf(c.info, c.hash); got != c.want || err != nil {
			t.Errorf("%s: %q, %v, want %q", name, got, err, c.want)
		}
	}
	if _, err := idOf(&debug.BuildInfo{}, noHash); err == nil {
		t.Error("no error without a revision and an executable")
	}
}

// TestBuildsWithoutRevisionShareAnID checks that two builds of different code are told apart if
// the go command records no revision.
func TestBuildsWithoutRevisionShareAnID(t *testing.T) {
	dir, err := os.MkdirTemp(".", "_program-") // package patterns leave out such names
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	idOf := func(text string) string {
		source := "package main\n\nimport \"github.com/banyanroute/banyanroute/internal/build\"\n\nfunc main() { print(build.ID(), \"" + text + "\") }\n"
		if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte(source), 0o600); err != nil {
			t.Fatal(err)
		}
		program := filepath.Join(t.TempDir(), "program")
		if out, err := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-trimpath", "-o", program, "./"+dir).CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		out, err := exec.CommandContext(t.Context(), program).CombinedOutput()
		if err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return strings.TrimSuffix(string(out), text)
	}
	one, again, other := idOf("a"), idOf("a"), idOf("b")
	if one != again || one == other || !strings.HasPrefix(one, "exe-") {
		t.Fatalf("IDs %q, %q of the same code and %q of other code", one, again, other)
	}
}
