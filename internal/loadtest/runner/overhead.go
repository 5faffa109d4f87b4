package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// OverheadOptions describes a comparison of requests that go straight to an
// engine with requests that go through an instance.
type OverheadOptions struct {
	// Direct and Through are base URLs of an engine and an instance.
	Direct  string
	Through string
	// Key is the workspace's key.
	Key   string
	Model string
	// Rate is in requests per second over each of the two ways.
	Rate         float64
	Duration     time.Duration
	PromptTokens int
	OutputTokens int
	Timeout      time.Duration
	Seed         uint64
}

// Overhead is the time that the instance adds to the first token.
type Overhead struct {
	Version string         `json:"version"`
	Machine report.Machine `json:"machine"`
	Command []string       `json:"command"`
	Seed    uint64         `json:"seed"`
	Rate    float64        `json:"rate_per_way"`
	// Direct and Through are times to first token.
	Direct  report.Quantiles `json:"direct"`
	Through report.Quantiles `json:"through"`
	// AddedP50 and AddedP99 are the differences of those quantiles, in
	// milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// PairP50 and PairP99 are quantiles of the differences between the two
	// requests of each pair, which are sent half an interval apart.
	PairP50 float64 `json:"pair_p50_ms"`
	PairP99 float64 `json:"pair_p99_ms"`
	// Failed counts requests without a whole answer.
	Failed int `json:"failed"`
	// FirstFailure is why the first of them failed.
	FirstFailure string `json:"first_failure,omitempty"`
}

// pair is the time to first token over both ways.
type pair struct{ direct, through time.Duration }

// MeasureOverhead sends requests over both ways in turn. It refuses addresses
// that are not loopback.
func MeasureOverhead(ctx context.Context, o OverheadOptions) (*Overhead, error) {
	for _, base := range []string{o.Direct, o.Through} {
		if err := httpjson.CheckLoopbackURL(base); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if o.Rate <= 0 || o.Duration <= 0 || o.PromptTokens <= 0 {
		return nil, trace.BadParameter("rate, duration and prompt tokens must be positive")
	}
	m := &overheadRun{options: o, client: client.New(o.Model, "", time.Second)}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	half := time.Duration(float64(time.Second) / o.Rate / 2)
	began := time.Now()
	var waiting sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		at := time.Duration(i) * 2 * half
		if at >= o.Duration || !sleep.For(ctx, time.Until(began.Add(at))) {
			break
		}
		item := m.item(i, random.Uint64())
		// The order within a pair alternates.
		first := i%2 == 0
		waiting.Go(func() { m.pair(ctx, item, first, half) })
	}
	waiting.Wait()
	return m.result()
}

// overheadRun collects the pairs.
type overheadRun struct {
	options OverheadOptions
	client  *client.Client

	mu           sync.Mutex
	pairs        []pair
	failed       int
	firstFailure string
}

func (m *overheadRun) item(number int, seed uint64) workload.Item {
	return workload.Item{
		Number: number, Kind: workload.Generate, Key: m.options.Key, Timeout: m.options.Timeout,
		Prompt: workload.Prompt{Seed: seed, Tokens: m.options.PromptTokens},
		Output: m.options.OutputTokens, Stream: true,
	}
}

// pair sends an item over both ways, the second half an interval later. Both
// prompts differ, so that neither profits from the other's prefix.
func (m *overheadRun) pair(ctx context.Context, item workload.Item, directFirst bool, half time.Duration) {
	other := item
	other.Prompt.Seed++
	bases := [2]string{m.options.Direct, m.options.Through}
	if !directFirst {
		slices.Reverse(bases[:])
	}
	var first, second client.Outcome
	var waiting sync.WaitGroup
	waiting.Go(func() { first = m.client.Do(ctx, bases[0], item) })
	waiting.Go(func() {
		if sleep.For(ctx, half) {
			second = m.client.Do(ctx, bases[1], other)
		}
	})
	waiting.Wait()
	if !directFirst {
		first, second = second, first
	}
	m.add(first, second)
}

func (m *overheadRun) add(direct, through client.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if direct.Complete && through.Complete {
		m.pairs = append(m.pairs, pair{direct.FirstToken, through.FirstToken})
		return
	}
	m.failed++
	if m.firstFailure == "" {
		m.firstFailure = fmt.Sprintf("direct: %d %s%s, through: %d %s%s",
			direct.Status, direct.Failure, direct.Violation, through.Status, through.Failure, through.Violation)
	}
}

func (m *overheadRun) result() (*Overhead, error) {
	direct, through := report.NewHistogram(), report.NewHistogram()
	added := make([]float64, 0, len(m.pairs))
	for _, p := range m.pairs {
		direct.Add(p.direct)
		through.Add(p.through)
		added = append(added, float64(p.through-p.direct)/float64(time.Millisecond))
	}
	if len(added) == 0 {
		return nil, trace.Errorf("no pair of requests was answered; %s", m.firstFailure)
	}
	slices.Sort(added)
	res := &Overhead{
		Version: Version(), Machine: thisMachine(), Seed: m.options.Seed, Rate: m.options.Rate,
		Direct: direct.Quantiles(), Through: through.Quantiles(),
		PairP50: quantile(added, 0.50), PairP99: quantile(added, 0.99),
		Failed: m.failed, FirstFailure: m.firstFailure,
	}
	res.AddedP50 = res.Through.P50 - res.Direct.P50
	res.AddedP99 = res.Through.P99 - res.Direct.P99
	return res, nil
}

// quantile returns the q-quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// WriteText writes the result.
func (o *Overhead) WriteText(w io.Writer) {
	fmt.Fprintf(w, "time to first token, %g requests/s over each way, %d pairs, %d failed\n", o.Rate, o.Direct.Count, o.Failed)
	fmt.Fprintf(w, "direct   p50 %.2f ms, p99 %.2f ms\n", o.Direct.P50, o.Direct.P99)
	fmt.Fprintf(w, "through  p50 %.2f ms, p99 %.2f ms\n", o.Through.P50, o.Through.P99)
	fmt.Fprintf(w, "added    p50 %.2f ms, p99 %.2f ms (difference of the quantiles)\n", o.AddedP50, o.AddedP99)
	fmt.Fprintf(w, "pairs    p50 %.2f ms, p99 %.2f ms (quantiles of the differences)\n", o.PairP50, o.PairP99)
	if o.FirstFailure != "" {
		fmt.Fprintf(w, "first failure: %s\n", o.FirstFailure)
	}
}
