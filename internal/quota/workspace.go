package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

const (
	// burstWindow is the time for which a bucket can accumulate its rate.
	burstWindow = time.Second
	// minRequestBurst lets an instance with a small share admit one request.
	minRequestBurst = 1
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller should retry, before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minDemandWindow and maxDemandWindow bound the time over which demand is
	// averaged.
	minDemandWindow = 500 * time.Millisecond
	maxDemandWindow = 10 * time.Second
	// urgentUnleasedInterval and urgentRefusedInterval are the minimum times
	// between two lease requests for a workspace without a lease, and for one
	// whose lease is too small.
	urgentUnleasedInterval = 500 * time.Millisecond
	urgentRefusedInterval  = time.Second
	// slotRetryAfter is the time to retry after if all slots are in use.
	slotRetryAfter = time.Second
	// allowanceFraction of each limit is reserved for the instances'
	// allowances. It does not depend on the size of the fleet, so that no
	// granted lease becomes too large when the size changes.
	allowanceFraction = 0.05
)

// workspace is the local state of one workspace. Request handlers and the
// control goroutine share it under mu.
type workspace struct {
	name string

	mu    sync.Mutex
	limit share
	// fallback is used while there is no valid lease; the allowance is part
	// of it.
	fallback share
	// reserved is the part of the limit that is never granted as leases. The
	// allowance is this instance's part of it, which it may use at any time
	// without a lease.
	reserved, allowance share
	// allowanceMeter limits the use of the allowance.
	allowanceMeter meter
	lease          share
	until          time.Time
	// leased reports whether a valid lease sets the rates of the buckets.
	leased   bool
	requests bucket
	tokens   bucket
	inUse    int
	usage    usage
}

// usage is the demand above the allowance since the last renewal, refused
// requests included.
type usage struct {
	requests, tokens float64
	peak             int
	refused          int
}

// newWorkspace returns a workspace in a fleet of the given size.
func newWorkspace(name string, limit share, size int, now time.Time) *workspace {
	w := &workspace{name: name, limit: limit}
	w.requests = bucket{filled: now, balance: minRequestBurst}
	w.tokens = bucket{filled: now, balance: limit.Tokens / float64(size)}
	w.splitLimit(size, now)
	w.allowanceMeter = newMeter(w.allowance, now)
	return w
}

// splitLimit computes what an instance may use without a lease. The caller holds
// mu.
func (w *workspace) splitLimit(size int, now time.Time) {
	w.fallback = w.limit.times(1 / float64(size))
	w.reserved = w.limit.times(allowanceFraction)
	w.reserved.Slots = math.Floor(w.reserved.Slots)
	w.allowance = w.reserved.times(1 / float64(size))
	w.allowance.Slots = math.Floor(w.allowance.Slots)
	w.allowanceMeter.setRates(w.allowance, now)
	if w.leased {
		w.apply(w.lease.plus(w.allowance), now)
	} else {
		w.apply(w.fallback, now)
	}
}

// apply sets the buckets' rates. The caller holds mu.
func (w *workspace) apply(s share, now time.Time) {
	w.requests.setRate(s.Requests, max(minRequestBurst, s.Requests*burstWindow.Seconds()), now)
	w.tokens.setRate(s.Tokens, max(1, s.Tokens*burstWindow.Seconds()), now)
}

// refresh switches to the fallback if the lease has expired, and fills the buckets.
// The caller holds mu.
func (w *workspace) refresh(now time.Time) {
	if w.leased && !now.Before(w.until) {
		w.leased = false
		w.apply(w.fallback, now)
	}
	w.requests.fill(now)
	w.tokens.fill(now)
}

// slots is the number of requests that may be in flight. The caller holds mu.
func (w *workspace) slots() int {
	if w.leased {
		return int(w.lease.Slots + w.allowance.Slots)
	}
	return int(max(1, w.fallback.Slots))
}

// takeResult is the outcome of an attempt to admit a request.
type takeResult struct {
	// wait is the time to retry after, or zero if the request was admitted.
	wait time.Duration
	// onAllowance reports whether the request drew on the allowance.
	onAllowance bool
	// starved reports whether the workspace needs a lease or a larger share.
	starved bool
}

// take admits one request or returns the time to retry after.
func (w *workspace) take(tokens int, now time.Time) takeResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	wait := w.waitLocked(float64(tokens))
	if wait == 0 {
		w.requests.balance--
		w.tokens.balance -= float64(tokens)
		w.inUse++
		if w.withinAllowance(float64(tokens), now) {
			return takeResult{onAllowance: true}
		}
		w.usage.peak = max(w.usage.peak, w.inUse)
	} else {
		w.usage.refused++
	}
	w.usage.requests++
	w.usage.tokens += float64(tokens)
	return takeResult{wait: wait, starved: !w.leased || wait > 0}
}

// withinAllowance draws an admitted request on the allowance, if it has room.
// The caller holds mu.
func (w *workspace) withinAllowance(tokens float64, now time.Time) bool {
	if w.limit.Slots > 0 && float64(w.inUse) > w.allowance.Slots {
		return false
	}
	return w.allowanceMeter.take(w.limit, tokens, now)
}

// waitLocked returns the longest wait of the limited dimensions.
func (w *workspace) waitLocked(tokens float64) time.Duration {
	var wait time.Duration
	if w.limit.Requests > 0 {
		wait = max(wait, w.requests.wait(1))
	}
	if w.limit.Tokens > 0 {
		wait = max(wait, w.tokens.wait(tokens))
	}
	if w.limit.Slots > 0 && w.inUse >= w.slots() {
		wait = max(wait, slotRetryAfter)
	}
	return wait
}

// done ends a request and corrects the estimate of its tokens.
func (w *workspace) done(estimated, actual int, onAllowance bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inUse--
	w.refresh(now)
	w.tokens.refund(float64(estimated - actual))
	if onAllowance {
		w.allowanceMeter.tokens.refund(float64(estimated - actual))
	}
}

// setLimit changes the limits.
func (w *workspace) setLimit(limit share, size int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	w.lease = w.lease.atMost(limit)
	w.splitLimit(size, now)
}

// setFleetSize changes the number of instances that share the limits.
func (w *workspace) setFleetSize(size int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.splitLimit(size, now)
}

// budget is what the owner may grant as leases if it sees only this fraction of
// the fleet.
func (w *workspace) budget(visibleFraction float64) budget {
	w.mu.Lock()
	defer w.mu.Unlock()
	return budget{total: w.limit.minus(w.reserved).times(visibleFraction), fallback: w.fallback.minus(w.allowance)}
}

// urgency returns the minimum time between two lease requests if a renewal should
// not wait until it is due, because there is demand without a lease or a request
// was refused; otherwise zero.
func (w *workspace) urgency(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	switch {
	case !w.leased && w.usage.requests > 0:
		return urgentUnleasedInterval
	case w.usage.refused > 0:
		return urgentRefusedInterval
	}
	return 0
}

// installLease installs a granted lease unless it has already expired.
func (w *workspace) installLease(s share, until, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !now.Before(until) {
		return
	}
	w.lease, w.until, w.leased = s.atMost(w.limit), until, true
	w.apply(w.lease.plus(w.allowance), now)
}

// release drops the lease and switches to the fallback.
func (w *workspace) release(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leased, w.lease = false, share{}
	w.apply(w.fallback, now)
}

// report is the state of a workspace that a renewal is based on.
type report struct {
	usage usage
	held  share
	left  time.Duration
	inUse int
	// inUseOnLease is the part of inUse that the allowance does not cover.
	inUseOnLease int
	// debt is the amount by which the balance of tokens is negative.
	debt   float64
	leased bool
}

// resetReport returns the current state and starts a new measurement of usage.
func (w *workspace) resetReport(now time.Time) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.reportLocked(now)
	w.usage = usage{peak: w.inUse}
	return r
}

// peek returns the current state without resetting the measurement of usage.
func (w *workspace) peek(now time.Time) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportLocked(now)
}

func (w *workspace) reportLocked(now time.Time) report {
	w.refresh(now)
	r := report{usage: w.usage, inUse: w.inUse, leased: w.leased}
	r.inUseOnLease = max(0, w.inUse-int(w.allowance.Slots))
	r.debt = max(0, -w.tokens.balance)
	if w.leased {
		r.held, r.left = w.lease, w.until.Sub(now)
	}
	return r
}

// demand is what the instance could have used since the last renewal. The debt of
// tokens counts as demand, so that the next share is large enough to repay it.
func (r report) demand(elapsed time.Duration) share {
	seconds := min(max(elapsed, minDemandWindow), maxDemandWindow).Seconds()
	return share{
		Requests: r.usage.requests / seconds,
		Tokens:   r.usage.tokens/seconds + r.debt/maxDemandWindow.Seconds(),
		Slots:    float64(r.usage.peak + r.usage.refused),
	}
}

// refusal is the final answer to a request over the limit. The jitter spreads
// the retries of the refused callers.
func (w *workspace) refusal(wait time.Duration) *result.Error {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after += rand.N(after/2 + 1)
	return result.New(result.WorkspaceLimit, "the limit of workspace %q is used up", w.name).WithRetryAfter(after)
}
