package tunnel

import (
	"maps"
	"sync"
	"time"
)

// Timing of paths.
const (
	// trialInterval is the time between direct connections that are tried over a broken path.
	trialInterval = 300 * time.Millisecond
	// forgetTime is how long a broken path without requests is remembered.
	forgetTime = 10 * time.Second
	// cutOffFailures is the number of upstreams in a row to which no direct connection was
	// established from which on the instance counts as cut off from all upstreams.
	cutOffFailures = 3
	// latelyTime is how long after a direct connection an instance that cannot connect to one
	// upstream still counts as one with paths of its own.
	latelyTime = 500 * time.Millisecond
	// recoveryTime is how long an instance that has just connected directly does not count as
	// isolated.
	recoveryTime = time.Second
	// isolatedFailures is the number of upstreams in a row that could not be reached in any
	// way from which on the instance counts as isolated, if one of them was tried after another
	// had failed: attempts at the same time show only that moment.
	isolatedFailures = 3
	// isolatedTrialInterval is the time between connections that an isolated instance tries.
	isolatedTrialInterval = 100 * time.Millisecond
)

// How long another instance is not asked for tunnels after it could not open one.
const (
	// noPathTime applies if it said that it has no path, or failed where others did not.
	noPathTime = time.Second
	// silentTime applies if it did not answer.
	silentTime = 2 * time.Second
	// busyTime applies if it has too many tunnels.
	busyTime = 250 * time.Millisecond
)

// paths is what an instance knows of its own paths to upstreams and of the other instances
// that may open connections for it. Upstreams are known by address. It is safe for concurrent
// use.
type paths struct {
	mu     sync.Mutex
	broken map[string]*brokenPath
	// unfit holds the instances that are not asked, and until when.
	unfit map[string]time.Time
	// connectedAt is when a direct connection was last established.
	connectedAt time.Time
	// unconnected holds the upstreams to which direct connections have failed since one was
	// last established.
	unconnected map[string]bool
	// unreached holds the upstreams that could not be reached in any way since a connection
	// was last established.
	unreached map[string]bool
	// unreachedAt is when the first of them had failed; failedAgain reports whether an attempt
	// that began later has failed, too.
	unreachedAt time.Time
	failedAgain bool
	// isolatedTrialAt is when an isolated instance may next try to connect.
	isolatedTrialAt time.Time
}

// brokenPath is the state of a path over which this instance cannot connect.
type brokenPath struct {
	since   time.Time
	usedAt  time.Time
	trialAt time.Time
	cause   string
}

func newPaths() *paths {
	return &paths{broken: map[string]*brokenPath{}, unfit: map[string]time.Time{}, unconnected: map[string]bool{}, unreached: map[string]bool{}}
}

// use reports whether a connection to an upstream is to be opened directly, and whether the
// path is doubtful, so that another way is tried at the same time. Over a broken path it is
// opened directly only as a trial.
func (p *paths) use(address string, now time.Time) (direct, doubtful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	if b == nil {
		return true, p.isCutOff()
	}
	if now.Sub(b.usedAt) > forgetTime {
		delete(p.broken, address)
		return true, p.isCutOff()
	}
	b.usedAt = now
	if now.Before(b.trialAt) {
		return false, true
	}
	b.trialAt = now.Add(trialInterval)
	return true, true
}

// connected records a direct connection. It reports whether the path was broken.
func (p *paths) connected(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectedAt = now
	p.reachedLocked()
	clear(p.unconnected)
	broken := p.broken[address] != nil
	delete(p.broken, address)
	for _, b := range p.broken {
		b.trialAt = now // others may be whole again too
	}
	return broken
}

// directFailed records that no direct connection to an upstream could be established.
func (p *paths) directFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unconnected[address] = true
}

// isCutOff reports whether this instance seems to have no path to any upstream. The caller
// holds mu.
func (p *paths) isCutOff() bool { return len(p.unconnected) >= cutOffFailures }

// cutOff is isCutOff for callers that do not hold mu.
func (p *paths) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCutOff()
}

// reached records that another instance has connected to an upstream.
func (p *paths) reached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedLocked()
}

// reachedLocked records that an upstream was reached in some way. The caller holds mu.
func (p *paths) reachedLocked() {
	clear(p.unreached)
	p.failedAgain = false
}

// tunnelled records that another instance has connected to an upstream to which a direct
// connection has failed, or was not established in time. failed are the instances that could
// not connect to it. It reports whether the path was whole before.
func (p *paths) tunnelled(address, cause string, failed []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedLocked()
	for _, instance := range failed {
		p.avoidLocked(instance, noPathTime, now)
	}
	if p.broken[address] != nil {
		return false
	}
	maps.DeleteFunc(p.broken, func(_ string, b *brokenPath) bool { return now.Sub(b.usedAt) > forgetTime })
	p.broken[address] = &brokenPath{since: now, usedAt: now, trialAt: now.Add(trialInterval), cause: cause}
	return true
}

// failed records that an upstream could not be reached in any way since began.
func (p *paths) failed(address string, began, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreached) == 0 {
		p.unreachedAt = now
	}
	p.unreached[address] = true
	p.failedAgain = p.failedAgain || !began.Before(p.unreachedAt)
}

// isIsolated reports whether this instance seems to reach no upstream in any way. The caller
// holds mu.
func (p *paths) isIsolated(now time.Time) bool {
	return len(p.unreached) >= isolatedFailures && p.failedAgain && now.Sub(p.connectedAt) >= recoveryTime
}

// connectedLately reports whether a direct connection was established lately.
func (p *paths) connectedLately(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.connectedAt) < latelyTime
}

// mayConnect reports whether a connection may be tried. An isolated instance tries few, since
// a caller that is refused at once can go elsewhere in time.
func (p *paths) mayConnect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isIsolated(now) {
		return true
	}
	if now.Before(p.isolatedTrialAt) {
		return false
	}
	p.isolatedTrialAt = now.Add(isolatedTrialInterval)
	return true
}

// reaches reports whether this instance may be able to connect directly to an upstream.
func (p *paths) reaches(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.broken[address]; b != nil && now.Sub(b.usedAt) <= forgetTime {
		return false
	}
	return !p.isCutOff()
}

// avoid records that an instance is not to be asked for some time.
func (p *paths) avoid(instance string, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidLocked(instance, d, now)
}

// avoidLocked is avoid for callers that hold mu. It ends no longer time.
func (p *paths) avoidLocked(instance string, d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(p.unfit[instance]) {
		p.unfit[instance] = until
	}
}

// fitAgain records that an instance may be asked.
func (p *paths) fitAgain(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unfit, instance)
}

// isFit reports whether an instance may be asked.
func (p *paths) isFit(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, unfit := p.unfit[instance]
	if unfit && !now.Before(until) {
		delete(p.unfit, instance)
		return true
	}
	return !unfit
}

// PathState is a broken path in a state dump.
type PathState struct {
	Address string `json:"address"`
	// Seconds is for how long the path has been broken.
	Seconds float64 `json:"seconds"`
	// Cause is why the direct connection failed.
	Cause string `json:"cause"`
}

// dump returns the broken paths.
func (p *paths) dump(now time.Time) []PathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]PathState, 0, len(p.broken))
	for address, b := range p.broken {
		if now.Sub(b.usedAt) <= forgetTime {
			list = append(list, PathState{address, now.Sub(b.since).Seconds(), b.cause})
		}
	}
	return list
}
