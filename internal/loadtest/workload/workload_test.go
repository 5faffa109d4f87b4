package workload

import (
	"io"
	"math"
	"reflect"
	"testing"
	"testing/iotest"
	"time"

	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

func testScenario() *scenario.Scenario {
	return &scenario.Scenario{
		Seed: 7, Targets: []string{"a", "b"}, RequestsPerSecond: 100, StreamShare: 0.5, LongTokens: 5000,
		Workspaces: []scenario.Workspace{{Key: "x", Share: 3}, {Key: "y", Share: 1}},
		Prompts: []scenario.Bucket{
			{Name: "short", MinTokens: 100, MaxTokens: 1000, Share: 0.9, OutputTokens: 5},
			{Name: "long", MinTokens: 5000, MaxTokens: 9000, Share: 0.1, OutputTokens: 5},
		},
		Prefix: scenario.Prefix{Share: 0.4, Count: 3, Tokens: 50},
		Calls:  scenario.Calls{Share: 0.2, Service: "s", WriteShare: 0.5, RepeatShare: 0.5},
	}
}

func generateItems(s *scenario.Scenario, p scenario.Phase) []Item {
	g := New(s, "run")
	g.StartPhase(p)
	var list []Item
	for {
		item, ok := g.Next()
		if !ok {
			return list
		}
		list = append(list, item)
	}
}

func TestSameSeedGivesSameItems(t *testing.T) {
	p := scenario.Phase{Duration: scenario.Duration(20 * time.Second), Load: 1}
	first := generateItems(testScenario(), p)
	if !reflect.DeepEqual(first, generateItems(testScenario(), p)) {
		t.Error("two runs with the same seed differ")
	}
	other := testScenario()
	other.Seed++
	if reflect.DeepEqual(first, generateItems(other, p)) {
		t.Error("another seed gives the same items")
	}
}

// TestShares checks that groups, prefixes and workspaces occur as often as the
// scenario's shares specify.
func TestShares(t *testing.T) {
	list := generateItems(testScenario(), scenario.Phase{Duration: scenario.Duration(100 * time.Second), Load: 2})
	count := map[string]float64{}
	for i, item := range list {
		if i > 0 && item.At < list[i-1].At {
			t.Fatalf("item %d comes before item %d", i, i-1)
		}
		count[item.Group]++
		count["key "+item.WorkspaceKey]++
		if item.Prompt.PrefixTokens > 0 {
			count["prefix"]++
		}
	}
	// There are 20,000 arrivals; a tenth are POSTs, half of which are sent twice.
	for name, want := range map[string]float64{
		"short": 14_400, "long": 1600, "get": 2000, "post": 3000, "prefix": 6400, "key y": 5250,
	} {
		if got := count[name]; math.Abs(got-want) > 0.1*want {
			t.Errorf("%s: %v, want about %v", name, got, want)
		}
	}
}

// TestWithoutLongKeepsShortItems checks that a phase without long prompts sends
// the same short requests at the same times as one with them.
func TestWithoutLongKeepsShortItems(t *testing.T) {
	p := scenario.Phase{Duration: scenario.Duration(20 * time.Second), Load: 1}
	var want []Item
	for _, item := range generateItems(testScenario(), p) {
		if item.Group != "long" {
			want = append(want, item)
		}
	}
	p.WithoutLong = true
	if got := generateItems(testScenario(), p); !reflect.DeepEqual(got, want) {
		t.Errorf("%d items, want %d", len(got), len(want))
	}
}

func TestPromptText(t *testing.T) {
	p := Prompt{PrefixSeed: 1, PrefixTokens: 10, Seed: 2, Tokens: 25}
	if err := iotest.TestReader(p.Reader(), mustRead(t, p)); err != nil {
		t.Error(err)
	}
	text := mustRead(t, p)
	if len(text) != p.Bytes() || p.Hash() != answer.HashOf(string(text)) {
		t.Errorf("%d bytes, hash %s", len(text), p.Hash())
	}
	other := mustRead(t, Prompt{PrefixSeed: 1, PrefixTokens: 10, Seed: 3, Tokens: 25})
	if string(text[:40]) != string(other[:40]) || string(text[40:]) == string(other[40:]) {
		t.Errorf("texts %s and %s must share exactly the prefix", text, other)
	}
}

func mustRead(t *testing.T, p Prompt) []byte {
	t.Helper()
	text, err := io.ReadAll(p.Reader())
	if err != nil {
		t.Fatal(err)
	}
	return text
}
