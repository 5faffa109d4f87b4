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

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// OverheadOptions configures a comparison of requests sent directly to an engine
// with requests sent through an instance.
type OverheadOptions struct {
	// Direct and Through are base URLs of an engine and an instance.
	Direct  string
	Through string
	// Key is the API key of a workspace.
	Key   string
	Model string
	// Rate is the number of requests per second on each of the two paths.
	Rate         float64
	Duration     time.Duration
	PromptTokens int
	OutputTokens int
	Timeout      time.Duration
	Seed         uint64
}

// Overhead is the time that the instance adds to the time to first token.
type Overhead struct {
	Version string         `json:"version"`
	Machine report.Machine `json:"machine"`
	Command []string       `json:"command"`
	Seed    uint64         `json:"seed"`
	Rate    float64        `json:"rate_per_way"`
	// Direct and Through are the times to first token on the two paths.
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
	// Failed counts pairs in which a request received no complete answer.
	Failed int `json:"failed"`
	// FirstFailure describes the two outcomes of the first failed pair.
	FirstFailure string `json:"first_failure,omitempty"`
}

// pair holds the times to first token of one pair of requests.
type pair struct{ direct, through time.Duration }

// MeasureOverhead sends pairs of requests, one on each path. It rejects addresses
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
	halfInterval := time.Duration(float64(time.Second) / o.Rate / 2)
	start := time.Now()
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		at := time.Duration(i) * 2 * halfInterval
		if at >= o.Duration || !sleep.For(ctx, time.Until(start.Add(at))) {
			break
		}
		item := m.item(i, random.Uint64())
		// The order alternates, so that neither path is always measured first.
		directFirst := i%2 == 0
		wg.Go(func() { m.sendPair(ctx, item, directFirst, halfInterval) })
	}
	wg.Wait()
	return m.result()
}

// overheadRun collects the results of the pairs.
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
		Number: number, Kind: workload.Generate, WorkspaceKey: m.options.Key, Timeout: m.options.Timeout,
		Prompt:       workload.Prompt{Seed: seed, Tokens: m.options.PromptTokens},
		OutputTokens: m.options.OutputTokens, Stream: true,
	}
}

// sendPair sends an item on both paths, the second time half an interval later.
// The two prompts differ, so that neither request benefits from the prefix cached
// for the other.
func (m *overheadRun) sendPair(ctx context.Context, item workload.Item, directFirst bool, halfInterval time.Duration) {
	other := item
	other.Prompt.Seed++
	bases := [2]string{m.options.Direct, m.options.Through}
	if !directFirst {
		slices.Reverse(bases[:])
	}
	var first, second client.Outcome
	var wg sync.WaitGroup
	wg.Go(func() { first = m.client.Do(ctx, bases[0], item) })
	wg.Go(func() {
		if sleep.For(ctx, halfInterval) {
			second = m.client.Do(ctx, bases[1], other)
		}
	})
	wg.Wait()
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
		return nil, trace.Errorf("no pair of requests was answered completely; first failure: %s", m.firstFailure)
	}
	slices.Sort(added)
	res := &Overhead{
		Version: build.ID(), Machine: describeMachine(), Seed: m.options.Seed, Rate: m.options.Rate,
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

// WriteText writes the result as text.
func (o *Overhead) WriteText(w io.Writer) {
	fmt.Fprintf(w, "time to first token, %g requests/s on each path, %d pairs, %d failed\n", o.Rate, o.Direct.Count, o.Failed)
	fmt.Fprintf(w, "direct   p50 %.2f ms, p99 %.2f ms\n", o.Direct.P50, o.Direct.P99)
	fmt.Fprintf(w, "through  p50 %.2f ms, p99 %.2f ms\n", o.Through.P50, o.Through.P99)
	fmt.Fprintf(w, "added    p50 %.2f ms, p99 %.2f ms (difference of the quantiles)\n", o.AddedP50, o.AddedP99)
	fmt.Fprintf(w, "pairs    p50 %.2f ms, p99 %.2f ms (quantiles of the differences)\n", o.PairP50, o.PairP99)
	if o.FirstFailure != "" {
		fmt.Fprintf(w, "first failure: %s\n", o.FirstFailure)
	}
}
