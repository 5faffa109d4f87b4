package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/poison"
)

// verdict returns how a request must be treated, given the crashes of its fingerprint and
// of its prompt's parts, and the remaining time of a quarantine. A suspect with suspect
// parts waits while another one with such a part runs.
func (s *Scheduler) verdict(r *Request, now time.Time) (poison.Verdict, time.Duration) {
	verdict, left := s.poison.Verdict(r.Fingerprint, now)
	a := s.parts.Assess(r.Parts, 0, now)
	if a.Verdict > verdict {
		return a.Verdict, a.Remaining
	}
	return verdict, left
}

// beginTrial records that the request of g runs as a trial of the suspect parts of its
// prompt.
func (s *Scheduler) beginTrial(g *Grant, now time.Time) {
	g.trial = s.parts.Assess(g.request.Parts, 0, now).Suspects
	s.parts.BeginTrial(g.trial)
}

// clearParts clears the parts of a request that was answered without a crash.
func (s *Scheduler) clearParts(g *Grant) {
	if len(g.request.Parts) > 0 && !g.firstTokenAt.IsZero() {
		s.applyEffects(s.parts.Served(g.request.Parts, g.firstTokenAt))
	}
}

// applyEffects passes the effects of a change of the table of parts to the other instances
// and to the table of requests. Quarantines are not stored.
func (s *Scheduler) applyEffects(e poison.Effects) {
	s.publishPoison(e.Notices)
	s.poison.Explain(e.Explained)
	for _, r := range e.Saved {
		log.WithField("parts", r.Parts).WithField("crashes", len(r.Crashes)).
			Warn("prompt parts quarantined: requests with all of them are refused everywhere")
	}
}
