package passthrough

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/banyanroute/banyanroute/internal/result"
)

// Stop is a graceful shutdown that has begun.
type Stop struct {
	// Began is when the process was told to stop, Grace how long after that it is killed.
	Began time.Time
	Grace time.Duration
	// NewUntil is when the load balancer has noticed it. Later requests arrive only on
	// connections that were open before.
	NewUntil time.Time
	// End is when the requests that still run are ended with an error.
	End time.Time
}

// elsewhereRetryAfter is the time after which a caller may return that is refused because
// of a shutdown: its new connection reaches another instance.
const elsewhereRetryAfter = 10 * time.Millisecond

// mayBegin returns an error if a shutdown would cut the request off. One that may have run, or whose
// answer has begun, goes on.
func (h *Handler) mayBegin(rq *request, now time.Time) *result.Error {
	stop := h.opts.Stop()
	if stop == nil || len(rq.mayHaveRun) > 0 || rq.begun() ||
		stop.leavesTime(rq.deadline, now, h.durations.expected(rq.route.Name)) {
		return nil
	}
	return noTimeLeft()
}

// noTimeLeft returns the refusal of a request that a shutdown leaves no time for.
func noTimeLeft() *result.Error {
	return result.New(result.Draining, "the instance stops and may not have the time that the request takes").
		WithRetryAfter(elsewhereRetryAfter)
}

// stopOutcomes counts requests by how they ended during a graceful shutdown.
type stopOutcomes struct{ answered, refused, cut, failed atomic.Int64 }

// count counts a request that has ended with err, which is nil if it was answered.
func (o *stopOutcomes) count(err *result.Error) {
	outcome, counter := "failed", &o.failed
	switch {
	case err == nil:
		outcome, counter = "answered", &o.answered
	case err.Execution == result.NotRun:
		outcome, counter = "refused", &o.refused
	case err.Code == result.Draining:
		outcome, counter = "cut", &o.cut
	}
	counter.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_shutdown_requests_total{outcome=%q}`, outcome)).Inc()
}

// StopOutcomes returns, as log fields, how many requests have ended in each way since the graceful
// shutdown began. Cut ones were ended because the grace period did.
func (h *Handler) StopOutcomes() logrus.Fields {
	o := &h.inStop
	return logrus.Fields{
		"answered": o.answered.Load(), "refused": o.refused.Load(), "cut": o.cut.Load(), "failed": o.failed.Load(),
	}
}

// stopFields returns the log fields that place a request's steps in a graceful shutdown, in
// milliseconds after its beginning; negative ones came before. Steps that were not reached have none.
func stopFields(rq *request, stop *Stop, now time.Time) logrus.Fields {
	since := func(t time.Time) int64 { return t.Sub(stop.Began).Milliseconds() }
	f := logrus.Fields{
		"stop_grace_ms": stop.Grace.Milliseconds(), "stop_arrived_ms": since(rq.arrived), "stop_ended_ms": since(now),
	}
	if !rq.record.read.IsZero() {
		f["stop_read_ms"] = since(rq.record.read)
	}
	if n := len(rq.record.attempts); n > 0 {
		f["stop_chosen_ms"] = since(rq.record.attempts[n-1].began)
	}
	if sent := rq.heard.sentAt(); !sent.IsZero() {
		f["stop_sent_ms"] = since(sent)
	}
	return f
}

// durations estimates how long the requests of a route take.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*duration
}

// duration is a moving average with its mean deviation, in seconds.
type duration struct{ mean, deviation float64 }

// Gains, as in TCP's retransmission timeout (RFC 6298), and margin of the estimate.
const (
	durationGain    = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationMargin = 2
	// maxDurations bounds the routes; names that no configuration has any more stay until
	// it is reached.
	maxDurations = 4096
)

// observe records how long a request that was answered has taken.
func (d *durations) observe(route string, took time.Duration) {
	seconds := took.Seconds()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.byRoute[route]
	if known == nil {
		if d.byRoute == nil || len(d.byRoute) >= maxDurations {
			d.byRoute = map[string]*duration{}
		}
		d.byRoute[route] = &duration{mean: seconds, deviation: seconds / 2}
		return
	}
	known.deviation += deviationGain * (max(seconds-known.mean, known.mean-seconds) - known.deviation)
	known.mean += durationGain * (seconds - known.mean)
}

// expected returns an upper estimate; zero for a route without an answered request.
func (d *durations) expected(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.byRoute[route]
	if known == nil {
		return 0
	}
	return time.Duration((known.mean + deviationMargin*known.deviation) * float64(time.Second))
}
