package passthrough

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// story is what is told of a request in the log.
type story struct {
	// status is the status that was sent on; zero before that.
	status int
	// first is the time to a stream's first event.
	first time.Duration
	// last is when the last event came; pause is the longest time between two.
	last     time.Time
	pause    time.Duration
	events   int
	attempts []told
}

// told is one attempt.
type told struct {
	upstream string
	helpers  int
	expect   time.Duration
	outcome  placement.Outcome
	status   int
	began    time.Time
	// waited is how long the request had waited for the place.
	waited time.Duration
}

func (s *story) placed(a *attempt, arrived time.Time) {
	now := time.Now()
	s.attempts = append(s.attempts, told{
		upstream: a.upstream.ID, helpers: len(a.decision.Helpers), expect: a.decision.Expect, began: now, waited: now.Sub(arrived),
	})
}

// event notes an event of a stream.
func (s *story) event(now time.Time) {
	if !s.last.IsZero() {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
	s.events++
}

func (s *story) ended(service string, o placement.Outcome, status int) {
	last := &s.attempts[len(s.attempts)-1]
	last.outcome, last.status = o, status
	countAttempt(service, o, last.began)
}

// Bounds of the lines about requests. Failed and slow requests always have one.
const (
	// ordinaryPerSecond and ordinaryBurst bound the lines about requests that were
	// answered in time: a tenth of a MB a minute.
	ordinaryPerSecond = 20
	ordinaryBurst     = 60
)

// journal writes one line for each request, and counts all.
type journal struct {
	ordinary *rate.Limiter
	leftOut  atomic.Int64
}

func newJournal() *journal {
	return &journal{ordinary: rate.NewLimiter(ordinaryPerSecond, ordinaryBurst)}
}

// write tells the request's story.
func (j *journal) write(rq *request, err *result.Error) {
	count(rq, err)
	slow := rq.isSlow()
	if err == nil && !slow && !j.ordinary.Allow() {
		j.leftOut.Add(1)
		return
	}
	entry := log.WithFields(j.fields(rq))
	if n := j.leftOut.Swap(0); n > 0 {
		entry = entry.WithField("left_out", n)
	}
	if err == nil {
		entry.WithField("status", rq.story.status).WithField("slow", slow).Info("A request was answered.")
		return
	}
	entry = entry.WithField("code", int(err.Code)).WithField("execution", string(err.Execution)).
		WithField("retry_after_ms", err.RetryAfter.Milliseconds())
	if err.Cause != nil {
		entry = entry.WithField("cause", err.Cause.Error())
	}
	entry.Warn("A request was not answered: " + err.Detail + ".")
}

// isSlow states whether the request missed an objective.
func (rq *request) isSlow() bool {
	if rq.route == nil {
		return false
	}
	first := time.Since(rq.arrived)
	if rq.route.Kind == deployment.Stream {
		first = rq.story.first
	}
	return first > rq.route.FirstAnswer || rq.route.MaxPause > 0 && rq.story.pause > rq.route.MaxPause
}

// fields lists what decided about the request, with its age or version.
func (j *journal) fields(rq *request) logrus.Fields {
	f := logrus.Fields{
		"request":       rq.call.ID,
		"ms":            time.Since(rq.arrived).Milliseconds(),
		"list_revision": rq.view.Revision,
		"list_age_ms":   rq.arrived.Sub(rq.view.ListedAt).Milliseconds(),
	}
	if rq.view.Config != nil {
		f["config"], f["config_age_ms"] = rq.view.Config.Version, rq.arrived.Sub(rq.view.ConfigAt).Milliseconds()
	}
	if rq.route != nil {
		f["route"], f["kind"], f["service"], f["workspace"] = rq.route.Name, rq.route.Kind.String(), rq.service, rq.workspace
	}
	if rq.call.PromptTokens > 0 {
		f["prompt"], f["output"] = rq.call.PromptTokens, rq.outputTokens()
		f["first_ms"], f["pause_ms"], f["events"] = rq.story.first.Milliseconds(), rq.story.pause.Milliseconds(), rq.story.events
	}
	attempts := make([]string, len(rq.story.attempts))
	for i, t := range rq.story.attempts {
		attempts[i] = t.String()
	}
	f["attempts"] = attempts
	return f
}

// String tells of an attempt: upstream, outcome, when it was placed, prediction,
// helpers, and status.
func (t told) String() string {
	return fmt.Sprintf("%s %s at_ms=%d expect_ms=%d helpers=%d status=%d",
		t.upstream, t.outcome, t.waited.Milliseconds(), t.expect.Milliseconds(), t.helpers, t.status)
}
