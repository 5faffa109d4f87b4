package chart

import (
	"io/fs"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/charts"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	names, err := fs.Glob(charts.FS, "*.yaml")
	if err != nil || len(names) == 0 {
		t.Fatalf("no charts embedded: %v", err)
	}
	for _, name := range names {
		if _, err := Load(charts.FS, strings.TrimSuffix(name, ".yaml")); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestParseRejectsBadCharts(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unreachable": {"name: x\ninitial: a\nevents: [go]\nstates:\n  a: {on: {go: {to: a}}}\n  b: {final: true}\n", "unreachable"},
		"unhandled":   {"name: x\ninitial: a\nevents: [go, stop]\nstates:\n  a: {on: {go: {to: a}}}\n", "must either handle or ignore"},
		"undeclared":  {"name: x\ninitial: a\nevents: [go]\nstates:\n  a: {on: {go: {to: c}}}\n", "undeclared state"},
		"unknown":     {"name: x\ninitial: a\ncolour: red\nevents: []\nstates:\n  a: {final: true}\n", "colour"},
	}
	for name, c := range cases {
		_, err := Parse([]byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error with %q", name, err, c.want)
		}
	}
}

func TestMachineRunsRequestChart(t *testing.T) {
	c, err := Load(charts.FS, "request")
	if err != nil {
		t.Fatal(err)
	}
	m := c.NewMachine()
	for _, event := range []Event{"admitted", "sent", "answer-started", "answer-complete"} {
		if _, err := m.Fire(event); err != nil {
			t.Fatal(err)
		}
	}
	if m.State() != "complete" || !m.Done() {
		t.Fatalf("state %q, want complete", m.State())
	}
}
