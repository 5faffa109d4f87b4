package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

const (
	// burstWindow is the time over which a share may be used unevenly.
	burstWindow = time.Second
	// minRequestBurst lets an instance with a small share admit one request.
	minRequestBurst = 1
	// minRetryAfter and maxRetryAfter bound when a caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minDemandWindow and maxDemandWindow bound the time over which demand is
	// averaged.
	minDemandWindow = 500 * time.Millisecond
	maxDemandWindow = 10 * time.Second
	// urgentUnleased and urgentRefused are the least times between two asks
	// for a workspace without a lease, and for one whose lease is too small.
	urgentUnleased = 500 * time.Millisecond
	urgentRefused  = time.Second
	// slotRetryAfter is when to come back if all slots are in use.
	slotRetryAfter = time.Second
	// allowancePart of a limit is reserved for the instances' allowances. It
	// does not depend on the size of the fleet, so that a change of size
	// leaves no lease too large.
	allowancePart = 0.05
)

// workspace is the local state of one workspace. Traffic and the control
// goroutine share it under mu.
type workspace struct {
	name string

	mu    sync.Mutex
	limit share
	// fallback is used while there is no valid lease; the allowance is part
	// of it.
	fallback share
	// reserved is the part of the limit that is never lent. The allowance is
	// this instance's part of it, to use at any time without asking.
	reserved, allowance share
	// allowed meters the use of the allowance.
	allowed meter
	lease   share
	until   time.Time
	// leased states whether the buckets run at the lease.
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
	w.divide(size, now)
	w.allowed = newMeter(w.allowance, now)
	return w
}

// divide computes what an instance may use without a lease. The caller holds
// mu.
func (w *workspace) divide(size int, now time.Time) {
	w.fallback = w.limit.times(1 / float64(size))
	w.reserved = w.limit.times(allowancePart)
	w.reserved.Slots = math.Floor(w.reserved.Slots)
	w.allowance = w.reserved.times(1 / float64(size))
	w.allowance.Slots = math.Floor(w.allowance.Slots)
	w.allowed.setRates(w.allowance, now)
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

// refresh falls back if the lease has run out. The caller holds mu.
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

// taken is the outcome of an attempt to admit a request.
type taken struct {
	// wait is the time after which to come back, or zero if admitted.
	wait time.Duration
	// allowed states that the request is within the allowance.
	allowed bool
	// starved states that the workspace wants a lease or a larger share.
	starved bool
}

// take admits one request or returns the time after which to come back.
func (w *workspace) take(tokens int, now time.Time) taken {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	wait := w.waitLocked(float64(tokens))
	if wait == 0 {
		w.requests.balance--
		w.tokens.balance -= float64(tokens)
		w.inUse++
		if w.withinAllowance(float64(tokens), now) {
			return taken{allowed: true}
		}
		w.usage.peak = max(w.usage.peak, w.inUse)
	} else {
		w.usage.refused++
	}
	w.usage.requests++
	w.usage.tokens += float64(tokens)
	return taken{wait: wait, starved: !w.leased || wait > 0}
}

// withinAllowance draws an admitted request on the allowance, if it has room.
// The caller holds mu.
func (w *workspace) withinAllowance(tokens float64, now time.Time) bool {
	if w.limit.Slots > 0 && float64(w.inUse) > w.allowance.Slots {
		return false
	}
	return w.allowed.take(w.limit, tokens, now)
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
func (w *workspace) done(estimated, actual int, allowed bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inUse--
	w.refresh(now)
	w.tokens.refund(float64(estimated - actual))
	if allowed {
		w.allowed.tokens.refund(float64(estimated - actual))
	}
}

// setLimit changes the limits.
func (w *workspace) setLimit(limit share, size int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	w.lease = w.lease.atMost(limit)
	w.divide(size, now)
}

// setFleetSize changes the number of instances that share the limits.
func (w *workspace) setFleetSize(size int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.divide(size, now)
}

// capital is what the keeper may lend if it sees only a part of the fleet.
func (w *workspace) capital(part float64) capital {
	w.mu.Lock()
	defer w.mu.Unlock()
	return capital{all: w.limit.less(w.reserved).times(part), fallback: w.fallback.less(w.allowance)}
}

// urgency returns the least time between two asks if a renewal should not wait
// for its time, because there is demand without a lease or a request was
// refused; else zero.
func (w *workspace) urgency(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	switch {
	case !w.leased && w.usage.requests > 0:
		return urgentUnleased
	case w.usage.refused > 0:
		return urgentRefused
	}
	return 0
}

// grant installs a lease.
func (w *workspace) grant(s share, until, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !now.Before(until) {
		return
	}
	w.lease, w.until, w.leased = s.atMost(w.limit), until, true
	w.apply(w.lease.plus(w.allowance), now)
}

// release gives up the lease.
func (w *workspace) release(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leased, w.lease = false, share{}
	w.apply(w.fallback, now)
}

// report is what a renewal needs to know of a workspace.
type report struct {
	usage usage
	held  share
	left  time.Duration
	inUse int
	// inLease is the part of inUse that the allowance does not cover.
	inLease int
	debt    float64
	leased  bool
}

// takeReport returns the present state and starts a new measurement.
func (w *workspace) takeReport(now time.Time) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.reportLocked(now)
	w.usage = usage{peak: w.inUse}
	return r
}

// peek returns the present state.
func (w *workspace) peek(now time.Time) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportLocked(now)
}

func (w *workspace) reportLocked(now time.Time) report {
	w.refresh(now)
	r := report{usage: w.usage, inUse: w.inUse, leased: w.leased}
	r.inLease = max(0, w.inUse-int(w.allowance.Slots))
	r.debt = max(0, -w.tokens.balance)
	if w.leased {
		r.held, r.left = w.lease, w.until.Sub(now)
	}
	return r
}

// demand is what the instance could have used since the last renewal. A debt of
// tokens counts as demand, so that it is repaid in time.
func (r report) demand(elapsed time.Duration) share {
	seconds := min(max(elapsed, minDemandWindow), maxDemandWindow).Seconds()
	return share{
		Requests: r.usage.requests / seconds,
		Tokens:   r.usage.tokens/seconds + r.debt/maxDemandWindow.Seconds(),
		Slots:    float64(r.usage.peak + r.usage.refused),
	}
}

// refusal is the final answer to a request over the limit. The jitter spreads
// the callers that come back.
func (w *workspace) refusal(wait time.Duration) *result.Error {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after += rand.N(after/2 + 1)
	return result.New(result.WorkspaceLimit, "the limit of workspace %q is used up", w.name).After(after)
}
