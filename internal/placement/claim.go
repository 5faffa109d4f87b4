package placement

import "time"

// Bounds of a claim.
const (
	// claimFrom is the prompt size from which on jobs wait for a claim; smaller
	// ones leave the engines soon.
	claimFrom = 30_000
	// claimLease outlasts the pause between two questions for a job.
	claimLease = 300 * time.Millisecond
	// maxClaim bounds what one job may keep others waiting: a prompt over one
	// engine's memory finds it within a second unless all engines are full.
	maxClaim = time.Second
)

// claim is the turn of a job that is larger than an engine's memory. Others that
// need much memory wait until it is placed, since they would take each free engine
// before there are enough.
type claim struct {
	job          string
	since, until time.Time
}

// renew takes or keeps the turn, if no other job has it and it has not lasted too
// long.
func (c *claim) renew(job string, now time.Time) {
	if c.job != job {
		if now.Before(c.until) {
			return
		}
		*c = claim{job: job, since: now}
	}
	if now.Sub(c.since) < maxClaim {
		c.until = now.Add(claimLease)
	}
}

// end gives the turn up.
func (c *claim) end(job string) {
	if c.job == job {
		*c = claim{}
	}
}

// holds states whether j must wait for another job's turn.
func (c *claim) holds(j *Job, now time.Time) bool {
	return c.job != j.ID && j.Prompt >= claimFrom && now.Before(c.until)
}
