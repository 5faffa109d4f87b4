package runner

import (
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/banyanroute/banyanroute/internal/loadtest/report"
)

// shortRevision is the number of digits of a revision that a version shows.
const shortRevision = 12

// Version returns the revision that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(shortRevision, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				modified = "+changes"
			}
		}
	}
	return revision + modified
}

// thisMachine describes the machine without its name.
func thisMachine() report.Machine {
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
