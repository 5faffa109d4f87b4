package order

import (
	"math"
	"time"
)

// Demand is the load of one model in the group.
type Demand struct {
	// Engines is the load in units of fully utilised engines.
	Engines float64
	// PrefillShare is the fraction of the load that is prompt processing; at
	// zero all engines keep the mixed role.
	PrefillShare float64
}

// Hysteresis of the number of engines and of their roles.
const (
	// scaleUpUtilisation is the utilisation of the current number of engines
	// above which the number grows; scaleDownUtilisation is the utilisation of
	// one engine fewer below which it shrinks. targetUtilisation is the
	// utilisation for which the new number is chosen.
	scaleUpUtilisation   = 0.85
	scaleDownUtilisation = 0.55
	targetUtilisation    = 0.7
	// scaleUpDelay and scaleDownDelay are how long the utilisation must remain
	// beyond the threshold.
	scaleUpDelay   = 30 * time.Second
	scaleDownDelay = 10 * time.Minute
	// minPrefillShareChange is the minimum change of the prefill share that
	// changes roles, and roleChangeDelay how long it must last.
	minPrefillShareChange = 0.15
	roleChangeDelay       = 2 * time.Minute
)

// scaler computes targets from demand. Hysteresis keeps engines from being
// reassigned on every change of the load.
type scaler struct {
	models map[string]*modelScaling
}

// modelScaling is the scaling state of one model.
type modelScaling struct {
	engines int
	share   float64
	// aboveSince, belowSince and shareChangedSince are the times since when the
	// demand has been beyond a threshold; zero if it is not.
	aboveSince, belowSince, shareChangedSince time.Time
}

// targets updates the scaling state from the current demand and returns the
// targets. A new model starts with the number of engines that it has.
func (s *scaler) targets(demand map[string]Demand, have map[string]int, now time.Time) map[string]Target {
	if s.models == nil {
		s.models = map[string]*modelScaling{}
	}
	targets := make(map[string]Target, len(demand))
	for model, d := range demand {
		m, ok := s.models[model]
		if !ok {
			m = &modelScaling{engines: max(have[model], 1), share: d.PrefillShare}
			s.models[model] = m
		}
		m.update(d, now)
		targets[model] = Target{Engines: m.engines, Prefill: prefillEngines(m.engines, m.share)}
	}
	return targets
}

// update applies one observation of the demand.
func (m *modelScaling) update(d Demand, now time.Time) {
	size := max(1, int(math.Ceil(d.Engines/targetUtilisation)))
	above := d.Engines > scaleUpUtilisation*float64(m.engines)
	below := m.engines > 1 && d.Engines < scaleDownUtilisation*float64(m.engines-1)
	if heldFor(&m.aboveSince, above, scaleUpDelay, now) {
		m.engines = max(size, m.engines)
	}
	if heldFor(&m.belowSince, below, scaleDownDelay, now) {
		m.engines = min(size, m.engines)
	}
	if heldFor(&m.shareChangedSince, math.Abs(d.PrefillShare-m.share) > minPrefillShareChange, roleChangeDelay, now) {
		m.share = d.PrefillShare
	}
}

// heldFor reports whether a condition has held for the given delay, and if so
// restarts the delay. since is the time since when it has held, or zero.
func heldFor(since *time.Time, holds bool, delay time.Duration, now time.Time) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	if now.Sub(*since) < delay {
		return false
	}
	*since = time.Time{}
	return true
}
