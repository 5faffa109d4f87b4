// Package runner runs load experiments: it sends the requests of a scenario in
// an open loop (at their times, whether or not earlier ones are answered), collects
// the outcomes and afterwards compares the answers that callers received with the
// records of the stand-in upstreams.
package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/loadtest/client"
	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

// Options configures a run.
type Options struct {
	Scenario *scenario.Scenario
	// Command is the command line; the result records it.
	Command []string
	// Progress receives a line every progressInterval.
	Progress io.Writer
}

// run is the state of a run.
type run struct {
	options   Options
	scenario  *scenario.Scenario
	client    *client.Client
	generator *workload.Generator
	timeline  *report.Timeline
	inFlight  atomic.Int64
	requests  sync.WaitGroup

	mu sync.Mutex
	// violations are the violated guarantees that callers observed.
	violations []string
	// refused lists the IDs of the requests that were refused as not run.
	refused []string
	// completed holds the idempotency keys of calls that were answered.
	completed map[string]struct{}
}

// Run runs a scenario. If ctx ends early, the result covers the requests sent so
// far.
func Run(ctx context.Context, options Options) (*report.Result, error) {
	s := options.Scenario
	if err := s.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	start := time.Now()
	r := &run{
		options:   options,
		scenario:  s,
		client:    client.New(s.Model, s.Calls.Service, time.Duration(s.Grace)),
		generator: workload.New(s, fmt.Sprintf("%x", start.UnixNano())),
		timeline:  report.NewTimeline(start, s.LongTokens),
		completed: map[string]struct{}{},
	}
	collectors := r.runPhases(ctx)
	r.requests.Wait()
	res := &report.Result{
		Version:    build.ID(),
		Command:    options.Command,
		Started:    start,
		Machine:    describeMachine(),
		Scenario:   *s,
		Violations: []string{},
		Checked:    []string{},
	}
	for _, c := range collectors {
		res.Phases = append(res.Phases, c.Phase())
	}
	res.Timeline = r.timeline.Seconds()
	res.Slowdown = report.Slowdowns(s, res.Phases)
	for _, v := range r.violations {
		res.AddViolation(v)
	}
	if err := r.checkRecords(ctx, res); err != nil {
		return res, trace.Wrap(err)
	}
	return res, nil
}

// runPhases runs the phases one after another.
func (r *run) runPhases(ctx context.Context) []*report.PhaseCollector {
	var collectors []*report.PhaseCollector
	for _, p := range r.scenario.Phases {
		if ctx.Err() != nil {
			break
		}
		c := report.NewPhaseCollector(r.scenario, p)
		collectors = append(collectors, c)
		stop := r.reportProgress(p, c)
		r.runPhase(ctx, p, c)
		if p.Drain {
			r.requests.Wait()
		}
		stop()
	}
	return collectors
}

// runPhase sends the requests of one phase at their times.
func (r *run) runPhase(ctx context.Context, p scenario.Phase, c *report.PhaseCollector) {
	start := time.Now()
	r.generator.StartPhase(p)
	for {
		item, ok := r.generator.Next()
		if !ok {
			item.At = time.Duration(p.Duration)
		}
		if !sleep.For(ctx, time.Until(start.Add(item.At))) || !ok {
			return
		}
		if r.inFlight.Load() >= int64(r.scenario.MaxInFlight) {
			c.NotSent()
			continue
		}
		c.Sent(item, time.Since(start)-item.At)
		r.inFlight.Add(1)
		r.requests.Add(1)
		go r.send(ctx, item, c)
	}
}

// send sends one request and records its outcome.
func (r *run) send(ctx context.Context, item workload.Item, c *report.PhaseCollector) {
	defer r.requests.Done()
	defer r.inFlight.Add(-1)
	sent := time.Now()
	out := r.client.Do(context.WithoutCancel(ctx), r.scenario.Targets[item.Target], item)
	c.Add(item, out)
	r.timeline.Add(sent, item, out)
	r.record(item, out)
}

// executionNotRun is the X-Execution value of a request that did not run.
const executionNotRun = "not-run"

// record stores the violations of an outcome, and the request IDs and idempotency
// keys that the checks after the run need.
func (r *run) record(item workload.Item, out client.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case out.Violation != "":
		r.violations = append(r.violations, fmt.Sprintf("request %d: %s", item.Number, out.Violation))
	case out.Total > item.Timeout+time.Duration(r.scenario.Grace):
		r.violations = append(r.violations, fmt.Sprintf("request %d: %s after %v, limit %v", item.Number, outcomeName(out), out.Total.Round(time.Millisecond), item.Timeout))
	}
	if out.Execution == executionNotRun && out.RequestID != "" && item.Kind != workload.Post {
		r.refused = append(r.refused, out.RequestID)
	}
	if out.Complete && item.Kind == workload.Post {
		r.completed[item.IdempotencyKey] = struct{}{}
	}
}

func outcomeName(out client.Outcome) string {
	if out.Complete {
		return "answered"
	}
	return out.Failure
}

// reportProgress writes a progress line every progressInterval until the returned
// function is called.
func (r *run) reportProgress(p scenario.Phase, c *report.PhaseCollector) (stop func()) {
	done := make(chan struct{})
	ticker := time.NewTicker(progressInterval)
	start := time.Now()
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				sent, complete, failed := c.Progress()
				fmt.Fprintf(r.options.Progress, "phase %s: %v of %v, %d sent, %d complete, %d failed, %d in flight\n",
					p.Name, time.Since(start).Round(time.Second), time.Duration(p.Duration), sent, complete, failed, r.inFlight.Load())
			}
		}
	}()
	return func() { close(done) }
}
