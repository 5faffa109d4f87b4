package stand

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// cases maps the names of the cases to what they do. A case returns an error if it couldn't run.
var cases = map[string]func(*env) error{
	"tenants":    lastTenant,
	"darkleave":  darkLeave,
	"oddentries": oddEntries,
	"silentstop": silentAndStopped,
	"oldercopy":  returnFromOlderCopy,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// TestMain plays one case in place of tests.
func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	e, err := newEnv(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	if err := cases[os.Args[1]](e); err != nil {
		e.record("error", "%v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if e.violation != "" {
		fmt.Println("broken:", e.violation)
		return exitBroken
	}
	e.record("end", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// configuration is the operator's configuration, as the platform's pages show it.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []any          `json:"routes"`
	Services []any          `json:"services"`
	Limits   map[string]any `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

// tenant is a tenant with its keys.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Services and prefixes.
const (
	callService, callPrefix     = "wuno96b", "/puxa403/"
	streamService, streamPrefix = "huvo11a", "/lohu930/"
)

// callRoute returns a route of calls, of the kind safe or unsafe.
func callRoute(prefix, kind string) map[string]any {
	return map[string]any{
		"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 150,
		"priority": 1, "service": callService, "max_attempts": 2, "allow_anonymous": false, "sticky_sessions": false,
	}
}

// basicConfiguration has one route of unsafe calls, and one tenant.
func basicConfiguration() configuration {
	return configuration{
		Version:  7,
		Routes:   []any{callRoute(callPrefix, "unsafe")},
		Services: []any{map[string]any{"name": callService, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}},
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []tenant{{Name: "hule930", APIKeys: []string{"n2ctnfzs989anu6wsjnb"}, Priority: 1}},
	}
}
