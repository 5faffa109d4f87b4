package passthrough

import (
	"time"

	"github.com/sirupsen/logrus"

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
}

func (s *story) placed(a *attempt) {
	s.attempts = append(s.attempts, told{upstream: a.upstream.ID, helpers: len(a.decision.Helpers), expect: a.decision.Expect})
}

// event notes an event of a stream.
func (s *story) event(now time.Time) {
	if !s.last.IsZero() {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
	s.events++
}

func (s *story) ended(o placement.Outcome, status int) {
	last := &s.attempts[len(s.attempts)-1]
	last.outcome, last.status = o, status
}

// journal writes one line for each request.
type journal struct{}

func newJournal() *journal { return &journal{} }

// write tells the request's story.
func (j *journal) write(rq *request, err *result.Error) {
	fields := logrus.Fields{
		"request": rq.call.ID,
		"ms":      time.Since(rq.arrived).Milliseconds(),
	}
	if rq.view.Config != nil {
		fields["config"] = rq.view.Config.Version
	}
	if rq.route != nil {
		fields["route"], fields["service"], fields["workspace"] = rq.route.Name, rq.service, rq.workspace
	}
	if rq.call.PromptTokens > 0 {
		fields["prompt"], fields["first_ms"] = rq.call.PromptTokens, rq.story.first.Milliseconds()
		fields["pause_ms"], fields["events"], fields["output"] = rq.story.pause.Milliseconds(), rq.story.events, rq.outputTokens()
	}
	for _, t := range rq.story.attempts {
		fields["upstream"], fields["outcome"] = t.upstream, t.outcome.String()
		fields["expect_ms"], fields["helpers"] = t.expect.Milliseconds(), t.helpers
	}
	fields["attempts"] = len(rq.story.attempts)
	entry := log.WithFields(fields)
	if err == nil {
		entry.WithField("status", rq.story.status).Info("A request was answered.")
		return
	}
	entry = entry.WithField("code", int(err.Code)).WithField("execution", string(err.Execution))
	if err.Cause != nil {
		entry = entry.WithField("cause", err.Cause.Error())
	}
	entry.Warn("A request was not answered: " + err.Detail + ".")
}
