// Package health judges upstreams from several signals: probes, errors,
// progress of answers, and latency against other upstreams. The states and
// their transitions are in charts/upstream.yaml.
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
	// probeFailures is the number of failed probes in a row that fail an
	// upstream.
	probeFailures = 2
	// errorGain is the weight of one result in the error rate.
	errorGain = 0.2
	// errorsHigh is the error rate that fails an upstream.
	errorsHigh = 0.5
	// slowRatio is the latency over the peers' median that counts as slow;
	// below normalRatio it is normal again.
	slowRatio   = 3.0
	normalRatio = 1.5
	// latencyGain is the weight of one latency sample.
	latencyGain = 0.2
	// minLatencySamples come before a latency is judged.
	minLatencySamples = 5
	// warmTime is how long an upstream is warmed up.
	warmTime = 10 * time.Second
	// firstShare is the share at the start of warming.
	firstShare = 0.1
	// slowShare is the share of a slow upstream: enough to see it recover.
	slowShare = 0.15
	// PanicShare is the part of the upstreams that must be usable; with less
	// the judgement itself is doubted and failed ones are used too.
	PanicShare = 0.5
)

// Tracker judges one upstream. It is not safe for concurrent use.
type Tracker struct {
	machine      *chart.Machine
	warmSince    time.Time
	failedProbes int
	errorRate    float64
	latency      float64
	samples      int
}

// Judge makes trackers from the checked chart.
type Judge struct {
	chart *chart.Chart
}

// NewJudge loads the chart. It fails only if the embedded chart is broken.
func NewJudge() (*Judge, error) {
	c, err := chart.Load(charts.FS, "upstream")
	if err != nil {
		return nil, err
	}
	return &Judge{chart: c}, nil
}

// NewTracker returns a tracker that starts warming at now. An upstream of the
// first set that an instance learns is not new and is warm at once.
func (j *Judge) NewTracker(now time.Time, known bool) *Tracker {
	t := &Tracker{machine: j.chart.NewMachine(), warmSince: now}
	if known {
		t.fire(eventWarm, now)
	}
	return t
}

// State returns the present state.
func (t *Tracker) State() chart.State { return t.machine.State() }

// Probe takes the result of a probe.
func (t *Tracker) Probe(ok bool, now time.Time) {
	if !ok {
		t.failedProbes++
		if t.failedProbes >= probeFailures {
			t.fire(eventProbeFailed, now)
		}
		return
	}
	t.failedProbes = 0
	t.fire(eventProbeOK, now)
}

// Crashed takes a lost connection with a failed probe after it, which together
// are proof enough.
func (t *Tracker) Crashed(now time.Time) { t.fire(eventProbeFailed, now) }

// Success takes a completed request or progress of an answer.
func (t *Tracker) Success(now time.Time) {
	t.errorRate -= errorGain * t.errorRate
	t.fire(eventProgress, now)
}

// Failure takes a lost, stalled or failed request.
func (t *Tracker) Failure(now time.Time) {
	t.errorRate += errorGain * (1 - t.errorRate)
	if t.errorRate > errorsHigh {
		t.fire(eventErrorsHigh, now)
	}
}

// Latency takes one sample in seconds, normalised by what was expected of the
// request, so that long and short requests compare.
func (t *Tracker) Latency(ratio float64) {
	t.samples++
	t.latency = average(t.latency, ratio, t.samples)
}

// Compare judges the latency against the median of the upstream's peers.
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

// LatencySample returns the mean normalised latency; ok is false before there
// are enough samples.
func (t *Tracker) LatencySample() (ratio float64, ok bool) {
	return t.latency, t.samples >= minLatencySamples
}

// Leaving takes what the upstream or the list of instances says.
func (t *Tracker) Leaving(leaving bool, now time.Time) {
	if leaving {
		t.fire(eventLeave, now)
		return
	}
	t.fire(eventStay, now)
}

// Share returns the part of normal traffic for the upstream, from 0 to 1. With
// panicking set, a failed upstream counts as usable.
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
		part := now.Sub(t.warmSince).Seconds() / warmTime.Seconds()
		if part >= 1 {
			t.fire(eventWarm, now)
			return 1
		}
		return firstShare + (1-firstShare)*max(part, 0)
	}
	return 1
}

// Restarted begins warming again: a new process has an empty cache.
func (t *Tracker) Restarted(now time.Time) {
	t.fire(eventErrorsHigh, now)
	t.fire(eventProbeOK, now)
	t.failedProbes = 0
}

// fire takes a transition and does its actions. The chart's check guarantees
// that each state handles or ignores each event.
func (t *Tracker) fire(event chart.Event, now time.Time) {
	actions, err := t.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		switch action {
		case actionStartWarming:
			t.warmSince = now
		case actionClearErrors:
			t.errorRate = 0
			t.samples = 0
		}
	}
}

// average moves mean towards sample; the first samples count equally.
func average(mean, sample float64, n int) float64 {
	gain := max(latencyGain, 1/float64(n))
	return mean + gain*(sample-mean)
}

// Panicking states whether too few of total upstreams are usable for the
// judgement to be believed. Leaving upstreams count in neither number.
func Panicking(usable, total int) bool {
	return total > 1 && float64(usable) < PanicShare*float64(total)
}
