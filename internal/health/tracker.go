// Package health determines the state of upstreams from several signals: probes,
// completed and failed requests, latency relative to other upstreams, restarts, and
// whether an upstream is leaving. The states and their transitions are defined in
// charts/upstream.yaml. From the state follows an upstream's share: the fraction of
// normal traffic that it should get.
package health

import (
	"time"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
)

// States and events of charts/upstream.yaml.
const (
	StateWarming chart.State = "warming"
	StateHealthy chart.State = "healthy"
	StateSlow    chart.State = "slow"
	StateFailed  chart.State = "failed"
	StateLeaving chart.State = "leaving"

	eventProbeOK     chart.Event = "probe-ok"
	eventProbeFailed chart.Event = "probe-failed"
	eventErrorsHigh  chart.Event = "errors-high"
	eventSlow        chart.Event = "slow"
	eventNormal      chart.Event = "normal"
	eventWarm        chart.Event = "warm"
	eventProgress    chart.Event = "progress"
	eventLeave       chart.Event = "leave"
	eventStay        chart.Event = "stay"

	actionStartWarming chart.Action = "start-warming"
	actionClearErrors  chart.Action = "clear-errors"
)

// Thresholds of the signals.
const (
	// maxProbeFailures is the number of failed probes in a row that fails an
	// upstream.
	maxProbeFailures = 2
	// errorGain is the weight of a new result in the error rate, a moving
	// average.
	errorGain = 0.2
	// maxErrorRate is the error rate above which an upstream fails.
	maxErrorRate = 0.5
	// slowRatio is the ratio of the latency to the pool's median above which an
	// upstream is slow; below normalRatio it is normal again.
	slowRatio   = 3.0
	normalRatio = 1.5
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.2
	// minLatencySamples is the number of samples needed before the latency is
	// compared.
	minLatencySamples = 5
	// warmUpTime is the duration of the warm-up.
	warmUpTime = 10 * time.Second
	// firstShare is the share at the start of the warm-up.
	firstShare = 0.1
	// slowShare is the share of a slow upstream: enough to see it recover.
	slowShare = 0.15
	// PanicShare is the fraction of the upstreams that must be usable. With
	// less, the health states are not trusted and failed upstreams are used too.
	PanicShare = 0.5
)

// Tracker determines the state of one upstream. It is not safe for concurrent use.
type Tracker struct {
	machine       *chart.Machine
	warmUpStarted time.Time
	// failedProbes counts the failed probes since the last successful one.
	failedProbes int
	errorRate    float64
	// latency is the mean normalised latency over samples samples.
	latency float64
	samples int
}

// TrackerFactory creates trackers that share one loaded chart.
type TrackerFactory struct {
	chart *chart.Chart
}

// NewTrackerFactory loads the chart. It fails only if the embedded chart is broken.
func NewTrackerFactory() (*TrackerFactory, error) {
	c, err := chart.Load(charts.FS, "upstream")
	if err != nil {
		return nil, err
	}
	return &TrackerFactory{chart: c}, nil
}

// NewTracker returns a tracker whose warm-up starts at now. With warm set it needs
// no warm-up: the upstreams that an instance finds when it starts are not new.
func (f *TrackerFactory) NewTracker(now time.Time, warm bool) *Tracker {
	t := &Tracker{machine: f.chart.NewMachine(), warmUpStarted: now}
	if warm {
		t.fire(eventWarm, now)
	}
	return t
}

// State returns the current state.
func (t *Tracker) State() chart.State { return t.machine.State() }

// Probe applies the result of a probe.
func (t *Tracker) Probe(ok bool, now time.Time) {
	if !ok {
		t.failedProbes++
		if t.failedProbes >= maxProbeFailures {
			t.fire(eventProbeFailed, now)
		}
		return
	}
	t.failedProbes = 0
	t.fire(eventProbeOK, now)
}

// Crashed fails the upstream without a second failed probe, because a lost
// connection together with a failed probe or a new boot proves a crash.
func (t *Tracker) Crashed(now time.Time) { t.fire(eventProbeFailed, now) }

// Success applies a completed request.
func (t *Tracker) Success(now time.Time) {
	t.errorRate -= errorGain * t.errorRate
	t.fire(eventProgress, now)
}

// Failure applies a lost, stalled or failed request.
func (t *Tracker) Failure(now time.Time) {
	t.errorRate += errorGain * (1 - t.errorRate)
	if t.errorRate > maxErrorRate {
		t.fire(eventErrorsHigh, now)
	}
}

// Latency adds a latency sample: the ratio of the measured to the expected latency
// of a request, so that long and short requests are comparable.
func (t *Tracker) Latency(ratio float64) {
	t.samples++
	t.latency = average(t.latency, ratio, t.samples)
}

// Compare compares the latency with the median of the upstreams of the pool.
func (t *Tracker) Compare(median float64, now time.Time) {
	if median <= 0 || t.samples < minLatencySamples {
		return
	}
	switch ratio := t.latency / median; {
	case ratio > slowRatio:
		t.fire(eventSlow, now)
	case ratio < normalRatio:
		t.fire(eventNormal, now)
	}
}

// LatencySample returns the mean normalised latency; ok is false until there are
// minLatencySamples.
func (t *Tracker) LatencySample() (ratio float64, ok bool) {
	return t.latency, t.samples >= minLatencySamples
}

// SetLeaving sets whether the upstream is leaving according to its own report or the
// list of instances.
func (t *Tracker) SetLeaving(leaving bool, now time.Time) {
	if leaving {
		t.fire(eventLeave, now)
		return
	}
	t.fire(eventStay, now)
}

// Share returns the fraction of normal traffic that the upstream should get, from 0
// to 1. With panicking set, a failed upstream counts as usable.
func (t *Tracker) Share(now time.Time, panicking bool) float64 {
	switch t.machine.State() {
	case StateLeaving:
		return 0
	case StateFailed:
		if panicking {
			return 1
		}
		return 0
	case StateSlow:
		return slowShare
	case StateWarming:
		progress := now.Sub(t.warmUpStarted).Seconds() / warmUpTime.Seconds()
		if progress >= 1 {
			t.fire(eventWarm, now)
			return 1
		}
		return firstShare + (1-firstShare)*max(progress, 0)
	}
	return 1
}

// Restarted starts the warm-up again, because a new process has an empty cache.
func (t *Tracker) Restarted(now time.Time) {
	t.fire(eventErrorsHigh, now)
	t.fire(eventProbeOK, now)
	t.failedProbes = 0
}

// fire fires an event and performs the actions of the transition. It cannot fail,
// because chart.Load checks that each state handles or ignores each event.
func (t *Tracker) fire(event chart.Event, now time.Time) {
	actions, err := t.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		switch action {
		case actionStartWarming:
			t.warmUpStarted = now
		case actionClearErrors:
			t.errorRate = 0
			t.samples = 0
		}
	}
}

// average returns the moving average after sample number n; the first samples have
// equal weights.
func average(mean, sample float64, n int) float64 {
	gain := max(latencyGain, 1/float64(n))
	return mean + gain*(sample-mean)
}

// Panicking reports whether too few of total upstreams are usable for their health
// states to be trusted. Leaving upstreams count in neither number.
func Panicking(usable, total int) bool {
	return total > 1 && float64(usable) < PanicShare*float64(total)
}
