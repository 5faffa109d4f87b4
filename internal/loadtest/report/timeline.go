package report

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
)

// Second summarizes the generation requests sent in one second.
type Second struct {
	// Second is counted from the start of the run.
	Second int `json:"second"`
	Sent   int `json:"sent"`
	InTime int `json:"in_time"`
	// ShortP95 is the 95th percentile of the time to first token of short
	// requests, in milliseconds; zero if there are none.
	ShortP95 float64 `json:"short_p95_ms"`
}

// disturbedFactor is the multiple of the median over all seconds that the 95th
// percentile of a second may reach before the second counts as disturbed.
const disturbedFactor = 3

// Timeline collects outcomes by the second in which the requests were sent. It is
// safe for concurrent use.
type Timeline struct {
	start time.Time
	// longTokens is the length of the shortest prompt that counts as long.
	longTokens int

	mu      sync.Mutex
	seconds []*secondCollector
}

type secondCollector struct {
	sent, inTime int
	short        Histogram
}

// NewTimeline returns an empty timeline of a run that starts at start.
func NewTimeline(start time.Time, longTokens int) *Timeline {
	return &Timeline{start: start, longTokens: longTokens}
}

// Add records the outcome of a request and the time at which it was sent. Only
// generation requests count.
func (t *Timeline) Add(sent time.Time, item workload.Item, out client.Outcome) {
	if item.Kind != workload.Generate {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := max(0, int(sent.Sub(t.start)/time.Second))
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, &secondCollector{short: NewHistogram()})
	}
	s := t.seconds[i]
	s.sent++
	if !out.Complete || out.Total > item.Timeout {
		return
	}
	s.inTime++
	if item.Stream && item.Prompt.Tokens < t.longTokens {
		s.short.Add(out.FirstToken)
	}
}

// Seconds returns the summary of each second up to the last with a request.
func (t *Timeline) Seconds() []Second {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Second, 0, len(t.seconds))
	for i, s := range t.seconds {
		list = append(list, Second{Second: i, Sent: s.sent, InTime: s.inTime, ShortP95: s.short.Quantiles().P95})
	}
	return list
}

// disturbedSeconds returns the seconds in which a request was not completed in time
// or the p95 of the time to first token of short requests exceeded disturbedFactor
// times its median over all seconds.
func disturbedSeconds(timeline []Second) []int {
	var values []float64
	for _, s := range timeline {
		if s.ShortP95 > 0 {
			values = append(values, s.ShortP95)
		}
	}
	slices.Sort(values)
	median := 0.0
	if len(values) > 0 {
		median = values[len(values)/2]
	}
	disturbed := []int{}
	for _, s := range timeline {
		if s.InTime < s.Sent || s.ShortP95 > disturbedFactor*median {
			disturbed = append(disturbed, s.Second)
		}
	}
	return disturbed
}

func (r *Result) writeDisturbed(w io.Writer) {
	list := disturbedSeconds(r.Timeline)
	if len(list) > 0 {
		fmt.Fprintf(w, "\ndisturbed seconds (by time of sending): %v\n", list)
	}
}

// timelinePlot draws the time to first token of short requests over the run.
func timelinePlot(results []*Result) (*plot.Plot, error) {
	p := newPlot("Time to first token of short requests", "second of the run", "95th percentile in ms")
	var curves []curve
	for i, r := range results {
		c := curve{name: label(results, i)}
		for _, s := range r.Timeline {
			if s.ShortP95 > 0 {
				c.points = append(c.points, plotter.XY{X: float64(s.Second), Y: s.ShortP95})
			}
		}
		curves = append(curves, c)
	}
	if !slices.ContainsFunc(curves, func(c curve) bool { return len(c.points) > 0 }) {
		return nil, trace.BadParameter("no result has a timeline")
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	if err := addCurves(p, curves); err != nil {
		return nil, err
	}
	p.Y.Max *= legendHeadroom * float64(len(curves))
	return p, nil
}
