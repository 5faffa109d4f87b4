package passthrough

import (
	"errors"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/result"
)

// evacuatedRetryAfter is the time after which a request may be retried that was refused because
// all upstreams are in evacuated data centres. Evacuations last for seconds at least.
const evacuatedRetryAfter = time.Second

// errEvacuated is the cause of refusals because an upstream is in an evacuated data centre.
var errEvacuated = errors.New("the data centre is evacuated")

// refusedEvacuated returns the refusal of a job that was placed at an upstream in an evacuated data
// centre.
func refusedEvacuated(up deployment.Upstream) *result.Error {
	return result.Wrap(errEvacuated, result.NoUpstream, "upstream %s gets no new work", up.ID).WithRetryAfter(transientRetryAfter)
}

// evacuatedFor returns the refusal of a request of whose service all upstreams are in evacuated
// data centres; nil if one is not. A stream that has begun waits for another upstream, since it
// could only be cut.
func (h *Handler) evacuatedFor(rq *request) *result.Error {
	if rq.begun() || !h.opts.State.View().OnlyEvacuated(rq.service) {
		return nil
	}
	return result.Wrap(errEvacuated, result.NoUpstream, "all upstreams of the service are in evacuated data centres").WithRetryAfter(evacuatedRetryAfter)
}
