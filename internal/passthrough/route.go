package passthrough

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/result"
)

// admit finds the route, checks the API key, chooses the service and reads the body.
func (h *Handler) admit(rq *request) *result.Error {
	c := rq.view.Config
	if c == nil {
		return result.New(result.NotReady, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	path, _, _ := splitTarget(rq.r.RequestURI)
	rq.route = rq.view.RouteOf(hostOf(rq.r.Host), path)
	if rq.route == nil {
		return result.New(result.UnknownRoute, "no route has this host and path")
	}
	workspace, unknown := c.WorkspaceOf(rq.route, rq.call.Key)
	if unknown != nil {
		return result.New(result.Unauthenticated, "%s", unknown)
	}
	rq.workspace = workspace.Name
	rq.priority = rq.route.Priority
	if workspace.Priority != deployment.NoPriority {
		rq.priority = workspace.Priority
	}
	rq.service = pickTarget(rq.route, rq.call.ID)
	rq.deadline = rq.arrived.Add(rq.timeout())
	limit := c.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(rq.w)
	_ = controller.SetReadDeadline(rq.deadline) // only a writer of a test does not support it
	unlink := context.AfterFunc(h.opts.Ending, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := h.readBody(rq, limit)
	if !unlink() { // the read deadline passes, or has passed, and ends the request's context
		err = noTimeLeft()
	} else if err == nil { // else the server waits no longer for the rest of the body
		_ = controller.SetReadDeadline(time.Time{})
	}
	if err == nil {
		rq.record.read = time.Now()
	}
	rq.body = body
	rq.fingerprint = fingerprintOf(rq)
	rq.parts = sharedParts(rq.service, rq.call.PromptParts)
	return err
}

// defaultMaxBodyBytes bounds a body if the configuration does not.
const defaultMaxBodyBytes = 8 << 20

// timeout returns how long the request may take.
func (rq *request) timeout() time.Duration {
	timeout := defaultTimeout
	if rq.route.Timeout > 0 {
		timeout = rq.route.Timeout
	}
	if rq.call.Remaining > 0 {
		timeout = min(timeout, rq.call.Remaining)
	}
	return timeout
}

// hostOf returns the host without a port, in lower case.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// pickTarget chooses a service by the route's weights. The choice depends only on the
// call's ID, so that it can be explained afterwards.
func pickTarget(route *deployment.Route, id string) string {
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total <= 0 || len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, t := range route.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
