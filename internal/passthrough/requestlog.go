package passthrough

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// requestRecord collects the data of one request for the request log.
type requestRecord struct {
	// status is the status sent to the caller; zero before that.
	status int
	// read is when the whole request had been read.
	read time.Time
	// stop is the graceful shutdown that had begun when the request ended; nil if there was none.
	stop *Stop
	// first is the time to a stream's first event.
	first time.Duration
	// last is when the last event was received; pause is the longest time between two
	// events.
	last     time.Time
	pause    time.Duration
	events   int
	attempts []attemptRecord
}

// attemptRecord is one attempt in a requestRecord.
type attemptRecord struct {
	upstream string
	helpers  int
	expect   time.Duration
	outcome  placement.Outcome
	status   int
	began    time.Time
	// list is the revision of the list of upstreams when the attempt was placed.
	list deployment.Revision
	// waited is how long the request had waited until it was placed.
	waited time.Duration
	// via is the instance through which the request was sent; empty if it was sent directly.
	via string
}

// placed records the start of an attempt.
func (r *requestRecord) placed(a *attempt, list deployment.Revision, arrived time.Time) {
	now := time.Now()
	r.attempts = append(r.attempts, attemptRecord{
		upstream: a.upstream.ID, helpers: len(a.decision.Helpers), expect: a.decision.Expect, began: now,
		list: list, waited: now.Sub(arrived),
	})
}

// sentVia records the instance through which the last attempt was sent.
func (r *requestRecord) sentVia(instance string) { r.attempts[len(r.attempts)-1].via = instance }

// event records an event of a stream.
func (r *requestRecord) event(now time.Time) {
	if !r.last.IsZero() {
		r.pause = max(r.pause, now.Sub(r.last))
	}
	r.last = now
	r.events++
}

// ended records how the last attempt ended.
func (r *requestRecord) ended(service string, o placement.Outcome, status int) {
	last := &r.attempts[len(r.attempts)-1]
	last.outcome, last.status = o, status
	countAttempt(service, o, last.began)
}

// Rate limit of the request log. Failed and slow requests are always logged.
const (
	// inTimePerSecond and inTimeBurst bound the log lines about requests that were
	// answered in time: about 0.1 MB per minute.
	inTimePerSecond = 20
	inTimeBurst     = 60
)

// requestLog logs requests, one line each, and counts all of them.
type requestLog struct {
	inTime *rate.Limiter
	// omitted counts the lines omitted since the last one.
	omitted atomic.Int64
}

func newRequestLog() *requestLog {
	return &requestLog{inTime: rate.NewLimiter(inTimePerSecond, inTimeBurst)}
}

// write counts a request that has ended and logs it.
func (l *requestLog) write(rq *request, err *result.Error) {
	count(rq, err)
	slow := rq.isSlow()
	if err == nil && !slow && !l.inTime.Allow() {
		l.omitted.Add(1)
		return
	}
	entry := log.WithFields(l.fields(rq))
	if stop := rq.record.stop; stop != nil {
		entry = entry.WithFields(stopFields(rq, stop, time.Now()))
	}
	if n := l.omitted.Swap(0); n > 0 {
		entry = entry.WithField("left_out", n)
	}
	if err == nil {
		entry.WithField("status", rq.record.status).WithField("slow", slow).Info("request answered")
		return
	}
	entry = entry.WithField("code", int(err.Code)).WithField("execution", string(err.Execution)).
		WithField("retry_after_ms", err.RetryAfter.Milliseconds())
	if err.Cause != nil {
		entry = entry.WithField("cause", err.Cause.Error())
	}
	entry.Warn("request failed (" + err.Detail + ")")
}

// isSlow reports whether the request missed an objective.
func (rq *request) isSlow() bool {
	if rq.route == nil {
		return false
	}
	first := time.Since(rq.arrived)
	if rq.route.Kind == deployment.Stream {
		first = rq.record.first
	}
	return first > rq.route.FirstAnswer || rq.route.MaxPause > 0 && rq.record.pause > rq.route.MaxPause
}

// fields returns the log fields of a request, with the versions and ages of the
// configuration and the list of upstreams that it was served with.
func (l *requestLog) fields(rq *request) logrus.Fields {
	f := logrus.Fields{
		"request":       rq.call.ID,
		"ms":            time.Since(rq.arrived).Milliseconds(),
		"list_revision": rq.view.Revision,
		"list_age_ms":   rq.arrived.Sub(rq.view.ListedAt).Milliseconds(),
	}
	if rq.view.Config != nil {
		f["config"], f["config_age_ms"] = rq.view.Config.Version, rq.arrived.Sub(rq.view.ConfigAt).Milliseconds()
	}
	if rq.fingerprint != 0 {
		f["fingerprint"] = rq.fingerprint
	}
	if len(rq.parts) > 0 {
		parts := make([]string, len(rq.parts))
		for i, key := range rq.parts {
			parts[i] = rq.call.PromptParts[i] + "/" + strconv.FormatUint(key, 10)
		}
		f["parts"] = parts
	}
	if rq.route != nil {
		f["route"], f["kind"], f["service"], f["workspace"] = rq.route.Name, rq.route.Kind.String(), rq.service, rq.workspace
	}
	if rq.call.PromptTokens > 0 {
		f["prompt"], f["output"] = rq.call.PromptTokens, rq.outputTokens()
		f["first_ms"], f["pause_ms"], f["events"] = rq.record.first.Milliseconds(), rq.record.pause.Milliseconds(), rq.record.events
	}
	attempts := make([]string, len(rq.record.attempts))
	for i, t := range rq.record.attempts {
		attempts[i] = t.String()
	}
	f["attempts"] = attempts
	return f
}

// String returns the attempt's upstream, outcome, time of placement, revision of the list,
// predicted time, helpers, and status for the log.
func (t attemptRecord) String() string {
	text := fmt.Sprintf("%s %s at_ms=%d list=%s expect_ms=%d helpers=%d status=%d",
		t.upstream, t.outcome, t.waited.Milliseconds(), t.list, t.expect.Milliseconds(), t.helpers, t.status)
	if t.via != "" {
		text += " via=" + t.via
	}
	return text
}
