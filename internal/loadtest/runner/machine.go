package runner

import (
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/banyanroute/banyanroute/internal/loadtest/report"
)

// maxRevisionDigits is the number of digits of a Git revision that a version shows.
const maxRevisionDigits = 12

// Version returns the Git revision that the program was built from, with the
// suffix "+changes" if the checkout had uncommitted changes.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(maxRevisionDigits, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				modified = "+changes"
			}
		}
	}
	return revision + modified
}

// describeMachine describes the machine that the program runs on. The host name is
// omitted.
func describeMachine() report.Machine {
	return report.Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, CPU: cpuModel(), CPUs: runtime.NumCPU(), Go: runtime.Version()}
}

func cpuModel() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
