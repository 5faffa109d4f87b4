package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplain checks that the lines about a request are found in the logs of several instances,
// with those about its upstreams and the paths of its instance, in the order of time.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	logs := map[string]string{
		"front-1.log": `{"level":"warning","msg":"this instance is cut off from all upstreams","part":"tunnel","time":"2026-12-05T10:00:00.5Z"}
{"attempts":["i-9 unreached at_ms=2","i-7 completed at_ms=9 via=front-2"],"level":"info","ms":40,"msg":"request answered","part":"passthrough","request":"abc","time":"2026-12-05T10:00:01.1Z"}
{"level":"info","msg":"request answered","part":"passthrough","request":"abcd","time":"2026-12-05T10:00:01.2Z"}
not JSON
`,
		"front-2.log": `   1.02 front-2b {"level":"warning","msg":"upstream marked as down","part":"placement","request":"abc-1","upstream":"i-9","time":"2026-12-05T10:00:01.05Z"}
   1.07 front-2b {"level":"info","msg":"upstream listed","part":"deployment","upstream":"i-7","time":"2026-12-05T10:00:01.02Z"}
   9.07 front-2b {"level":"info","msg":"upstream listed","part":"deployment","upstream":"i-7","time":"2026-12-05T10:00:09Z"}
   1.07 front-2b {"level":"info","msg":"upstream listed","part":"deployment","upstream":"i-8","time":"2026-12-05T10:00:01.02Z"}
   1.07 front-2b {"level":"warning","msg":"path to upstream broken","part":"tunnel","time":"2026-12-05T10:00:01.02Z"}
`,
	}
	args := []string{"explain", "abc"}
	for name, text := range logs {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "-f", file)
	}
	var out, errOut bytes.Buffer
	if code := run(t.Context(), args, &out, &errOut); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
		got = append(got, strings.Join(strings.Fields(line)[:5], " "))
	}
	want := []string{
		"10:00:00.500 front-1 tunnel this instance",
		"10:00:01.020 front-2b deployment upstream listed",
		"10:00:01.050 front-2b placement upstream marked",
		"10:00:01.100 front-1 passthrough request answered",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	args[1] = "unknown"
	if code := run(t.Context(), args, &out, &errOut); code != exitNotFound || !strings.Contains(errOut.String(), "unknown") {
		t.Errorf("unknown request: exit code %d, %q", code, errOut.String())
	}
	if code := run(t.Context(), []string{"explain", "abc", "-f", filepath.Join(dir, "missing")}, &out, &errOut); code != exitFailure {
		t.Errorf("missing file: exit code %d", code)
	}
}
