package report

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
)

// sampleResult returns a result with two pairs of phases. Short requests take twice
// as long in the phases with long requests.
func sampleResult() *Result {
	s := scenario.Scenario{
		Name: "sample", LongTokens: 5000,
		Prompts: []scenario.Bucket{{Name: "short", MinTokens: 1000, MaxTokens: 4000}, {Name: "long", MinTokens: 5000, MaxTokens: 9000}},
	}
	r := &Result{Scenario: s}
	for _, load := range []float64{0.5, 1} {
		for _, without := range []bool{true, false} {
			p := scenario.Phase{Name: time.Duration(load * 10).String(), Duration: scenario.Duration(10 * time.Second), Load: load, WithoutLong: without}
			took := 100 * time.Millisecond
			if !without {
				p.Name += "-mixed"
				took *= 2
			}
			r.Phases = append(r.Phases, collectPhase(&s, p, took))
		}
	}
	r.Slowdown = Slowdowns(&s, r.Phases)
	r.Timeline = sampleTimeline()
	return r
}

// sampleTimeline returns a timeline with a failure in second 4 and slow answers in
// second 6.
func sampleTimeline() []Second {
	start := time.Unix(0, 0)
	timeline := NewTimeline(start, 5000)
	item := workload.Item{Kind: workload.Generate, Timeout: time.Second, Stream: true}
	for i := range 10 {
		out := client.Outcome{Complete: i != 4, FirstToken: 10 * time.Millisecond}
		if i == 6 {
			out.FirstToken *= 5
		}
		timeline.Add(start.Add(time.Duration(i)*time.Second), item, out)
		timeline.Add(start.Add(time.Duration(i)*time.Second), item, client.Outcome{Complete: true, FirstToken: 10 * time.Millisecond})
	}
	return timeline.Seconds()
}

func TestDisturbedSeconds(t *testing.T) {
	if got := disturbedSeconds(sampleTimeline()); !slices.Equal(got, []int{4, 6}) {
		t.Errorf("got %v, want [4 6]", got)
	}
}

// collectPhase returns the result of a phase with 100 short requests answered in
// time, 10 long ones answered too late, one refusal and one failure.
func collectPhase(s *scenario.Scenario, p scenario.Phase, took time.Duration) Phase {
	c := NewPhaseCollector(s, p)
	item := workload.Item{Kind: workload.Generate, Group: "short", Timeout: time.Second, Stream: true}
	for i := range 100 {
		c.Sent(item, 0)
		c.Add(item, client.Outcome{Complete: true, Tokens: 10, FirstToken: took, Total: 2*took + time.Duration(i)*time.Millisecond})
	}
	late := item
	late.Group = "long"
	for range 10 {
		c.Sent(late, 0)
		c.Add(late, client.Outcome{Complete: true, FirstToken: time.Second, Total: 2 * time.Second})
	}
	c.Sent(item, 0)
	c.Add(item, client.Outcome{ResultCode: 2001, Execution: "not-run"})
	c.Sent(item, 0)
	c.Add(item, client.Outcome{Failure: "connection closed early"})
	return c.Phase()
}

func TestPhaseCollector(t *testing.T) {
	p := sampleResult().Phases[0]
	g := p.group("short")
	if g.Sent != 102 || g.Complete != 100 || g.InTime != 100 || g.FirstToken.P50 < 99 || g.FirstToken.P50 > 101 {
		t.Errorf("short: %+v", g)
	}
	if g := p.group("long"); g.Complete != 10 || g.InTime != 0 {
		t.Errorf("late: %+v", g)
	}
	if p.Goodput != 10 || p.TokensPerSecond != 100 || p.Refusals[0].Name != "2001 overloaded (not-run)" || p.Failures[0].Count != 1 {
		t.Errorf("phase: %+v", p)
	}
}

func TestSlowdowns(t *testing.T) {
	list := sampleResult().Slowdown
	if len(list) != 2 || list[0].Group != "short" || list[0].Load != 0.5 || list[0].FirstTokenP95 < 1.99 || list[0].FirstTokenP95 > 2.01 {
		t.Errorf("got %+v", list)
	}
}

func TestTextAndCompare(t *testing.T) {
	var text bytes.Buffer
	r := sampleResult()
	r.AddViolation("request 1: wrong")
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"slowdown of short requests", "refused: 1 x 2001 overloaded (not-run)", "violations: 1\n  request 1: wrong"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the report lacks %q:\n%s", want, text.String())
		}
	}
	text.Reset()
	if err := Compare(&text, sampleResult(), r); err != nil || !strings.Contains(text.String(), "slowdown first token p95") {
		t.Errorf("comparison: %v\n%s", err, text.String())
	}
}

func TestSaveLoadAndPlot(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "result.json")
	if err := sampleResult().Save(file); err != nil {
		t.Fatal(err)
	}
	r, err := Load(file)
	if err != nil || len(r.Phases) != 4 || r.Scenario.Name != "sample" {
		t.Fatalf("loaded %+v, %v", r, err)
	}
	files, err := Plot(folder, []*Result{r, r})
	if err != nil || len(files) != 6 {
		t.Fatalf("plotted %v, %v", files, err)
	}
	for _, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
}
