package scenario

import (
	"path/filepath"
	"strings"
	"testing"
)

const valid = `
name: test
targets: ["http://127.0.0.1:8001"]
workspaces: [{key: k, share: 1}]
model: m
requests_per_second: 10
prompts: [{min_tokens: 10, max_tokens: 20, share: 1}]
phases: [{name: one, duration: 1s}]
`

func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Prompts[0].Name != "10-20" || s.Prompts[0].OutputTokens != defaultOutputTokens || s.Phases[0].Load != 1 || s.StreamShare != 1 {
		t.Errorf("got %+v", s)
	}
}

func TestParseRejectsInvalidScenarios(t *testing.T) {
	for name, edit := range map[string][2]string{
		"unknown field":              {"model: m", "model: m\ncolour: x"},
		"address of another machine": {"127.0.0.1:8001", "192.0.2.1:8001"},
		"host name":                  {"127.0.0.1:8001", "localhost:8001"},
		"no rate":                    {"requests_per_second: 10", "requests_per_second: 0"},
		"bad duration":               {"duration: 1s", "duration: 1"},
		"reversed lengths":           {"min_tokens: 10", "min_tokens: 30"},
		"share over one":             {"model: m", "model: m\nstream_share: 2"},
		"calls without a service":    {"model: m", "model: m\ncalls: {share: 0.5}"},
		"same phase twice":           {"{name: one, duration: 1s}", "{name: one, duration: 1s}, {name: one, duration: 1s}"},
	} {
		text := strings.Replace(valid, edit[0], edit[1], 1)
		if text == valid {
			t.Fatalf("%s: edited text not found in the valid scenario", name)
		}
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// TestScenarioFiles checks that the scenario files of the repository are valid.
func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}
