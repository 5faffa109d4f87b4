package placement

import (
	"context"
	"time"
)

// Local places jobs with this instance's own Planner.
type Local struct{ planner *Planner }

// NewLocal returns a placer that asks no other instance.
func NewLocal(p *Planner) *Local { return &Local{p} }

// Place chooses a place for the job.
func (l *Local) Place(_ context.Context, j Job) Decision { return l.planner.Place(j, time.Now()) }

// FirstAnswer notes that the job's first token or answer arrived.
func (l *Local) FirstAnswer(_, id string) { l.planner.FirstAnswer(id, time.Now()) }

// Ended notes the end of the job.
func (l *Local) Ended(_, id string, o Outcome) { l.planner.Ended(id, o, time.Now()) }
