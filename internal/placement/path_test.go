package placement

import (
	"fmt"
	"testing"
	"time"
)

// TestFailedPathsDoNotPauseUpstreams checks that an upstream that one instance cannot reach
// stays in use for the others while it answers them.
func TestFailedPathsDoNotPauseUpstreams(t *testing.T) {
	p := NewPlanner("")
	deploymentOf([]*Planner{p}, 2)
	now := time.Now()
	for i := range 40 {
		lost, served := shortJob(fmt.Sprint("lost", i)), shortJob(fmt.Sprint("served", i))
		lost.Owner, served.Owner = "a/1", "b/1"
		d := p.Place(lost, 1, now)
		served.Avoid = nil
		for _, m := range p.pools["llm"].order {
			if m.upstream.ID != d.Upstream {
				served.Avoid = append(served.Avoid, m.upstream.ID)
			}
		}
		p.Place(served, 1, now)
		now = now.Add(50 * time.Millisecond)
		p.FirstAnswer(served.ID, now)
		now = now.Add(10 * time.Millisecond)
		p.Ended(lost.ID, End{Outcome: Unreached}, now)
		p.Ended(served.ID, End{Outcome: Completed}, now)
		for _, m := range p.pools["llm"].order {
			if m.health.down || !m.health.usable(now) {
				t.Fatalf("round %d: %s, which answers the other instance, is paused", i, m.upstream.ID)
			}
		}
	}
}
