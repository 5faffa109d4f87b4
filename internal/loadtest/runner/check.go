package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/service"
)

// Times of the checks after a run.
const (
	// recordTimeout bounds a request for the record of one stand-in.
	recordTimeout = 10 * time.Second
	// idlePollInterval is the time between two polls of an engine that still holds
	// memory.
	idlePollInterval = 250 * time.Millisecond
)

// checkRecords compares the records of the stand-ins with the answers that callers
// received.
func (r *run) checkRecords(ctx context.Context, res *report.Result) error {
	ctx = context.WithoutCancel(ctx)
	if len(r.scenario.Services) > 0 {
		if err := r.checkServices(ctx, res); err != nil {
			return trace.Wrap(err)
		}
		res.Checked = append(res.Checked, "non-idempotent calls ran at most once")
	}
	if len(r.scenario.Engines) > 0 {
		if err := r.checkEngines(ctx, res); err != nil {
			return trace.Wrap(err)
		}
		res.Checked = append(res.Checked, "engines hold no memory", "no new work for engines that leave", "refusals as not run")
	}
	return nil
}

// checkServices reports calls of this run that ran more than once, and answered
// calls that never ran.
func (r *run) checkServices(ctx context.Context, res *report.Result) error {
	runs := map[string]int{}
	for _, base := range r.scenario.Services {
		var rec service.Record
		if err := getJSON(ctx, base+"/standin/record", &rec); err != nil {
			return trace.Wrap(err)
		}
		for _, call := range rec.Calls {
			runs[call.Key] += call.Runs
		}
	}
	prefix := r.generator.KeyPrefix()
	for key, n := range runs {
		if n > 1 && strings.HasPrefix(key, prefix) {
			res.AddViolation(fmt.Sprintf("call with key %s ran %d times", key, n))
		}
	}
	for key := range r.completed {
		if runs[key] == 0 {
			res.AddViolation(fmt.Sprintf("call with key %s was answered and never ran", key))
		}
	}
	return nil
}

// checkEngines waits until the engines hold no memory. Then it reports engines
// that still hold some, work that reached an engine later than LeavingGrace after
// it had begun to leave, and requests that ran although they were refused as not
// run.
func (r *run) checkEngines(ctx context.Context, res *report.Result) error {
	refused := map[string]bool{}
	for _, id := range r.refused {
		refused[id] = true
	}
	for _, base := range r.scenario.Engines {
		sum, err := r.awaitIdle(ctx, base)
		if err != nil {
			return trace.Wrap(err)
		}
		if sum.PinnedTokens > 0 || len(sum.Holds) > 0 {
			res.AddViolation(fmt.Sprintf("engine %s holds %d tokens and %d holds %v after the run", sum.Name, sum.PinnedTokens, len(sum.Holds), time.Duration(r.scenario.Settle)))
		}
		if sum.MaxWhileLeavingMs > time.Duration(r.scenario.LeavingGrace).Milliseconds() {
			res.AddViolation(fmt.Sprintf("engine %s got new work %d ms after it began to leave", sum.Name, sum.MaxWhileLeavingMs))
		}
		if len(refused) == 0 {
			continue
		}
		var full engine.Summary
		if err := getJSON(ctx, base+"/standin/record?requests=all", &full); err != nil {
			return trace.Wrap(err)
		}
		for _, req := range full.Requests {
			if req.Starts > 0 && refused[callerRequestID(req.ID)] {
				res.AddViolation(fmt.Sprintf("request %s was refused as not run and ran on %s", req.ID, sum.Name))
			}
		}
	}
	return nil
}

// callerRequestID returns the last element of an engine's request ID, which is the
// X-Request-Id that the caller received.
func callerRequestID(id string) string { return id[strings.LastIndexByte(id, '/')+1:] }

// awaitIdle returns an engine's record once the engine holds no memory, or the
// latest one after the scenario's Settle time.
func (r *run) awaitIdle(ctx context.Context, base string) (engine.Summary, error) {
	deadline := time.Now().Add(time.Duration(r.scenario.Settle))
	for {
		var sum engine.Summary
		if err := getJSON(ctx, base+"/standin/record?requests=none", &sum); err != nil {
			return sum, trace.Wrap(err)
		}
		if sum.PinnedTokens == 0 && len(sum.Holds) == 0 || time.Now().After(deadline) {
			return sum, nil
		}
		time.Sleep(idlePollInterval)
	}
}

func getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s answered with status %s", url, resp.Status)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}
