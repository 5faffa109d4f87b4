package retry

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// Attempt describes a failed attempt that may be retried.
type Attempt struct {
	Workspace string
	// Upstream is where the attempt failed; empty if unknown.
	Upstream string
	// Ran is what is known about the attempt's execution.
	Ran result.Execution
	// NonIdempotent requests must run at most once.
	NonIdempotent bool
	Deadline      time.Time
	// Needs is the minimum time that another attempt needs.
	Needs time.Duration
	// Number is the number of the attempt, from 1.
	Number int
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 6

// Policy decides whether a request is retried. It is not safe for concurrent use.
type Policy struct {
	workspaces *Budgets
	upstreams  *Budgets
}

// NewPolicy returns a policy with full initial budgets.
func NewPolicy() *Policy {
	return &Policy{workspaces: NewBudgets(maxWorkspaceRetries), upstreams: NewBudgets(maxUpstreamRetries)}
}

// Success adds to the budgets of the workspace and the upstream.
func (p *Policy) Success(workspace, upstreamID string) {
	p.workspaces.Success(workspace)
	p.upstreams.Success(upstreamID)
}

// Allow returns nil and spends budget if another attempt is allowed. Otherwise it
// returns the reason.
func (p *Policy) Allow(a Attempt, now time.Time) *result.Error {
	if e := checkRetryable(a, now); e != nil {
		return e
	}
	if p.workspaces.Left(a.Workspace) < 1 {
		return result.New(result.RetryBudget, "the workspace's retry budget is used up").WithExecution(a.Ran)
	}
	if a.Upstream != "" && p.upstreams.Left(a.Upstream) < 1 {
		return result.New(result.RetryBudget, "the upstream's retry budget is used up").WithExecution(a.Ran)
	}
	p.workspaces.Spend(a.Workspace)
	if a.Upstream != "" {
		p.upstreams.Spend(a.Upstream)
	}
	return nil
}

// checkRetryable returns the reason why the attempt must not be retried, whatever
// the budgets, or nil.
func checkRetryable(a Attempt, now time.Time) *result.Error {
	switch {
	case a.Ran == result.Ran:
		return result.New(result.UpstreamFailed, "the request ran; it is not repeated")
	case a.Ran != result.NotRun && a.NonIdempotent:
		return result.New(result.UpstreamLost, "the request may have run and is not idempotent").WithExecution(a.Ran)
	case !now.Add(a.Needs).Before(a.Deadline):
		return result.New(result.DeadlineExceeded, "no time is left for another attempt").WithExecution(a.Ran)
	case a.Number >= MaxAttempts:
		return result.New(result.RetryBudget, "the request was tried %d times", a.Number).WithExecution(a.Ran)
	}
	return nil
}
