package passthrough

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// Hypothetical is a request that is not sent.
type Hypothetical struct {
	Route *deployment.Route
	// Workspace is empty if the request has none.
	Workspace string
	// Priority is that of the workspace or else of the route.
	Priority int
	Call     CallerInfo
}

// HypotheticalJob returns the job that the first attempt of a request would be if it arrived now, at a
// service of its route.
func HypotheticalJob(r Hypothetical, service string) placement.Job {
	now := time.Now()
	rq := &request{call: r.Call, route: r.Route, service: service, workspace: r.Workspace, priority: r.Priority, arrived: now}
	rq.deadline = now.Add(rq.timeout())
	job := rq.job()
	setRetries(&job, float64(r.Route.FirstAnswer))
	return job
}
