package runner

import (
	"os"
	"runtime"
	"strings"

	"github.com/banyanroute/banyanroute/internal/loadtest/report"
)

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
