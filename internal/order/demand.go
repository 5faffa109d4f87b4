package order

import (
	"math"
	"time"
)

// Demand is the load of one model in the group.
type Demand struct {
	// Engines is the number of fully used engines that carry the load.
	Engines float64
	// PrefillShare is the part of the load that is prompt processing; zero
	// keeps all engines in the mixed role.
	PrefillShare float64
}

// Hysteresis of the number of engines.
const (
	// growAt and shrinkAt are uses of the present, and of one engine fewer,
	// beyond which the number changes; sizeFor is the use that a new number
	// is chosen for.
	growAt   = 0.85
	shrinkAt = 0.55
	sizeFor  = 0.7
	// growAfter and shrinkAfter are how long the use must stay beyond.
	growAfter   = 30 * time.Second
	shrinkAfter = 10 * time.Minute
	// roleStep is the least change of the prefill share that moves roles,
	// and roleAfter how long it must last.
	roleStep  = 0.15
	roleAfter = 2 * time.Minute
)

// follower turns demand into targets. Hysteresis keeps it from moving engines
// on every change of the load.
type follower struct {
	models map[string]*followed
}

// followed is the state of one model.
type followed struct {
	engines int
	share   float64
	// above, below and moved are since when the demand is beyond a bound;
	// zero if it is not.
	above, below, moved time.Time
}

// targets takes the present demand and returns the targets. A model starts
// with the number of engines that it has.
func (f *follower) targets(demand map[string]Demand, have map[string]int, now time.Time) map[string]Target {
	if f.models == nil {
		f.models = map[string]*followed{}
	}
	targets := make(map[string]Target, len(demand))
	for model, d := range demand {
		m, ok := f.models[model]
		if !ok {
			m = &followed{engines: max(have[model], 1), share: d.PrefillShare}
			f.models[model] = m
		}
		m.follow(d, now)
		targets[model] = Target{Engines: m.engines, Prefill: prefillEngines(m.engines, m.share)}
	}
	return targets
}

// follow takes one observation of the demand.
func (m *followed) follow(d Demand, now time.Time) {
	size := max(1, int(math.Ceil(d.Engines/sizeFor)))
	above := d.Engines > growAt*float64(m.engines)
	below := m.engines > 1 && d.Engines < shrinkAt*float64(m.engines-1)
	if lasted(&m.above, above, growAfter, now) {
		m.engines = max(size, m.engines)
	}
	if lasted(&m.below, below, shrinkAfter, now) {
		m.engines = min(size, m.engines)
	}
	if lasted(&m.moved, math.Abs(d.PrefillShare-m.share) > roleStep, roleAfter, now) {
		m.share = d.PrefillShare
	}
}

// lasted states whether a condition has held for a time, and restarts the time
// if it has.
func lasted(since *time.Time, holds bool, long time.Duration, now time.Time) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	if now.Sub(*since) < long {
		return false
	}
	*since = time.Time{}
	return true
}
