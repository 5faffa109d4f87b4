package report

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Range and precision of a histogram.
const (
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Histogram collects durations. It is not safe for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Add records a duration; one out of range counts as the nearest value in range.
func (h Histogram) Add(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxMicroseconds)
	_ = h.h.RecordValue(us) // The value is in range.
}

// Quantiles returns the quantiles of the recorded durations.
func (h Histogram) Quantiles() Quantiles {
	ms := func(q float64) float64 {
		return float64(h.h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{Count: h.h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: ms(100)}
}

// groupCollector collects the outcomes of one group.
type groupCollector struct {
	group      Group
	firstToken Histogram
	tokenGap   Histogram
	total      Histogram
}

// PhaseCollector collects the outcomes of one phase. It is safe for concurrent
// use.
type PhaseCollector struct {
	mu       sync.Mutex
	phase    scenario.Phase
	groups   []*groupCollector
	refusals map[string]int
	failures map[string]int
	delay    Histogram
	notSent  int
	tokens   int
}

// NewPhaseCollector returns a collector with a group for each bucket and kind of
// call of the scenario.
func NewPhaseCollector(s *scenario.Scenario, p scenario.Phase) *PhaseCollector {
	c := &PhaseCollector{phase: p, refusals: map[string]int{}, failures: map[string]int{}, delay: NewHistogram()}
	for _, b := range s.Prompts {
		c.addGroup(Group{Name: b.Name, MinTokens: b.MinTokens, MaxTokens: b.MaxTokens})
	}
	if s.Calls.Share > 0 {
		c.addGroup(Group{Name: string(workload.Get)})
		c.addGroup(Group{Name: string(workload.Post)})
	}
	return c
}

func (c *PhaseCollector) addGroup(g Group) {
	c.groups = append(c.groups, &groupCollector{
		group: g, firstToken: NewHistogram(), tokenGap: NewHistogram(), total: NewHistogram(),
	})
}

func (c *PhaseCollector) find(name string) *groupCollector {
	i := slices.IndexFunc(c.groups, func(g *groupCollector) bool { return g.group.Name == name })
	return c.groups[i]
}

// NotSent counts a request that was omitted because MaxInFlight was reached.
func (c *PhaseCollector) NotSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notSent++
}

// Sent counts a request that is sent, with the delay after its scheduled time.
func (c *PhaseCollector) Sent(item workload.Item, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(item.Group).group.Sent++
	c.delay.Add(delay)
}

// Add records the outcome of a request.
func (c *PhaseCollector) Add(item workload.Item, out client.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !out.Complete {
		c.addFailure(out)
		return
	}
	g := c.find(item.Group)
	g.group.Complete++
	g.total.Add(out.Total)
	if out.Total <= item.Timeout {
		g.group.InTime++
		c.tokens += out.Tokens
	}
	if item.Stream {
		g.firstToken.Add(out.FirstToken)
	}
	for _, gap := range out.Gaps {
		g.tokenGap.Add(gap)
	}
}

func (c *PhaseCollector) addFailure(out client.Outcome) {
	switch {
	case out.ResultCode != 0:
		code := result.Code(out.ResultCode)
		c.refusals[fmt.Sprintf("%d %s (%s)", out.ResultCode, code, out.Execution)]++
	case out.Violation != "":
		c.failures["wrong answer"]++
	default:
		c.failures[out.Failure]++
	}
}

// Progress returns the numbers of requests sent, completed and failed so far.
func (c *PhaseCollector) Progress() (sent, complete, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.groups {
		sent += g.group.Sent
		complete += g.group.Complete
	}
	for _, n := range c.refusals {
		failed += n
	}
	for _, n := range c.failures {
		failed += n
	}
	return sent, complete, failed
}

// Phase returns the result of the phase.
func (c *PhaseCollector) Phase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	seconds := time.Duration(c.phase.Duration).Seconds()
	p := Phase{
		Name:            c.phase.Name,
		Load:            c.phase.Load,
		WithoutLong:     c.phase.WithoutLong,
		Seconds:         seconds,
		Refusals:        sortedCounts(c.refusals),
		Failures:        sortedCounts(c.failures),
		NotSent:         c.notSent,
		SendDelay:       c.delay.Quantiles(),
		TokensPerSecond: float64(c.tokens) / seconds,
	}
	for _, g := range c.groups {
		group := g.group
		group.FirstToken = g.firstToken.Quantiles()
		group.TokenGap = g.tokenGap.Quantiles()
		group.Total = g.total.Quantiles()
		p.Groups = append(p.Groups, group)
		p.Offered += float64(group.Sent) / seconds
		p.Goodput += float64(group.InTime) / seconds
	}
	return p
}

// sortedCounts returns the counts, the highest first, and equal ones by name.
func sortedCounts(m map[string]int) []Count {
	list := []Count{}
	for name, n := range m {
		list = append(list, Count{name, n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// Slowdowns compares each phase with long requests with the phase of the same load
// without them, for each group of short prompts.
func Slowdowns(s *scenario.Scenario, phases []Phase) []Slowdown {
	list := []Slowdown{}
	for _, with := range phases {
		if with.WithoutLong {
			continue
		}
		i := slices.IndexFunc(phases, func(p Phase) bool { return p.WithoutLong && p.Load == with.Load })
		if i < 0 {
			continue
		}
		for _, b := range s.Prompts {
			if b.MaxTokens < s.LongTokens {
				list = append(list, slowdown(b.Name, with, phases[i]))
			}
		}
	}
	return list
}

func slowdown(group string, with, without Phase) Slowdown {
	a, b := with.group(group), without.group(group)
	return Slowdown{
		Group: group, Load: with.Load, With: with.Name, Without: without.Name,
		FirstTokenP50: ratio(a.FirstToken.P50, b.FirstToken.P50),
		FirstTokenP95: ratio(a.FirstToken.P95, b.FirstToken.P95),
		TotalP50:      ratio(a.Total.P50, b.Total.P50),
		TotalP95:      ratio(a.Total.P95, b.Total.P95),
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
