package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/gang"
	"github.com/banyanroute/banyanroute/internal/reclaim"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// endpoints holds the current set of upstreams for components that call them by
// ID.
type endpoints struct {
	current atomic.Pointer[map[string]admit.Upstream]
}

func newEndpoints() *endpoints {
	e := &endpoints{}
	e.set(nil)
	return e
}

// set replaces the set of upstreams.
func (e *endpoints) set(list []admit.Upstream) {
	byID := make(map[string]admit.Upstream, len(list))
	for _, up := range list {
		byID[up.ID] = up
	}
	e.current.Store(&byID)
}

// all returns the current set by ID; the caller must not change it.
func (e *endpoints) all() map[string]admit.Upstream { return *e.current.Load() }

// at returns the upstream with an address, host:port.
func (e *endpoints) at(address string) (deployment.Upstream, bool) {
	for _, up := range e.all() {
		if u, err := url.Parse(up.URL); err == nil && addressOf(u) == address {
			return deployment.Upstream{ID: up.ID, Service: up.Service, Address: address, DataCentre: up.DataCentre}, true
		}
	}
	return deployment.Upstream{}, false
}

// addressOf returns the address, host:port, to which connections for a URL are opened.
func addressOf(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// engines returns the engines, without plain services.
func (e *endpoints) engines() []reclaim.Engine {
	var list []reclaim.Engine
	for _, up := range e.all() {
		if up.Service == "" {
			list = append(list, reclaim.Engine{ID: up.ID, URL: up.URL})
		}
	}
	return list
}

// url returns the base URL of an upstream.
func (e *endpoints) url(id string) (string, error) {
	up, ok := e.all()[id]
	if !ok {
		return "", trace.NotFound("the catalogue has no upstream %q", id)
	}
	return up.URL, nil
}

// reserver reserves memory for prompts that are larger than one engine's memory.
type reserver struct {
	client    *upstream.Client
	endpoints *endpoints
}

// Reserve implements gang.Reserver.
func (r *reserver) Reserve(ctx context.Context, upstreamID string, req upstream.ReserveRequest) error {
	base, err := r.endpoints.url(upstreamID)
	if err != nil {
		return err
	}
	err = r.client.Reserve(ctx, base, req)
	if errors.Is(err, upstream.ErrConflict) {
		return fmt.Errorf("%w: %w", gang.ErrNoMemory, err)
	}
	return err
}

// Release implements gang.Reserver.
func (r *reserver) Release(ctx context.Context, upstreamID, name string) error {
	base, err := r.endpoints.url(upstreamID)
	if err != nil {
		return err
	}
	return r.client.ReleaseHold(ctx, base, name)
}

// holdClient adapts the upstream client to reclaim.HoldClient.
type holdClient struct{ client *upstream.Client }

// Holds implements reclaim.HoldClient.
func (h holdClient) Holds(ctx context.Context, engineURL string) (upstream.Holds, error) {
	return h.client.Holds(ctx, engineURL)
}

// Release implements reclaim.HoldClient.
func (h holdClient) Release(ctx context.Context, engineURL, name string) error {
	return h.client.ReleaseHold(ctx, engineURL, name)
}
