package deployment

import (
	"errors"
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// Kind is the kind of a route, which determines whether its requests may be retried.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests must not run twice.
	AtMostOnce
	// Stream requests are answered with events; they run at most once unless the route
	// is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at-most-once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is one service of a route with its weight in the traffic split.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable reports whether streams may be resumed at another engine after the last
	// event.
	Resumable bool
	// Public reports whether requests need no API key.
	Public  bool
	Targets []Target
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// FirstAnswer is the objective for the time to the complete answer, or to the first
	// event of a stream.
	FirstAnswer time.Duration
	// MaxPause is the objective for the pause between two events of a stream.
	MaxPause time.Duration
	// MaxAttempts is the maximum number of upstreams that may run one request.
	MaxAttempts int
	// Generation reports whether requests declare their model and prompt size.
	Generation bool
	// Priority orders routes; 0 is the most urgent.
	Priority int
}

// Service is a set of equivalent upstreams.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the number of connections that one upstream accepts in total.
	ConnectionLimit int
	// Engine is the cost model of model engines; nil for a plain service.
	Engine *enginemodel.Model
	// ColdStart is for how long an upstream is cold after a start; 0 if that is not stated.
	ColdStart time.Duration `wire:"added"`
	// ColdPerSecond is the number of requests a second that a cold upstream takes from all
	// instances together; 0 for no limit.
	ColdPerSecond float64 `wire:"added"`
}

// Workspace is a customer of the deployment.
type Workspace struct {
	Name string
	// Priority takes precedence over that of the route, unless it is NoPriority.
	Priority int
}

// NoPriority is the priority of a workspace to which that of the route applies.
const NoPriority = -1

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Keys maps API keys to workspaces. It is nil if the configuration says nothing of
	// workspaces; then no request needs a key. If it is empty, no key is valid.
	Keys   map[string]Workspace
	Limits Limits
}

// ErrUnknownKey is returned for a request whose API key is needed, and missing or unknown.
var ErrUnknownKey = errors.New("the API key is missing or unknown")

// WorkspaceOf returns the workspace of a request with an API key, "" if it has none, on a route.
// A request that needs no key and has no known one belongs to no workspace.
func (c *Configuration) WorkspaceOf(route *Route, key string) (Workspace, error) {
	if workspace, known := c.Keys[key]; known && key != "" {
		return workspace, nil
	}
	if c.Keys != nil && !route.Public {
		return Workspace{}, ErrUnknownKey
	}
	return Workspace{Priority: NoPriority}, nil
}

// Upstream is one engine or one process of a plain service.
type Upstream struct {
	// ID identifies the upstream; in most cases a restarted upstream has a new one.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving reports whether the upstream gets no new work.
	Leaving bool
	// Warming is how much longer the upstream is cold, as of its entry.
	Warming time.Duration
	// Born is the start of the upstream in Unix milliseconds; 0 if unknown. An upstream
	// that restarts with the same ID has a later one.
	Born int64
	// learnedAt is when this instance learned of the entry. It is not sent to other instances,
	// whose clocks differ.
	learnedAt time.Time
}

// LearnedAt returns when this instance learned of the entry; zero if it is not from a View.
func (u Upstream) LearnedAt() time.Time { return u.learnedAt }

// SameIncarnation reports whether two entries are of the same start of an upstream.
func (u Upstream) SameIncarnation(other Upstream) bool {
	return u.ID == other.ID && u.Born == other.Born && u.Address == other.Address
}

// ProbeResult is what a probe shows of one incarnation of an upstream.
type ProbeResult uint8

// Results of probes.
const (
	// Unreachable: there was no answer. The upstream may run behind a broken network.
	Unreachable ProbeResult = iota
	// Ended: the connection was refused or reset, or another incarnation answered.
	Ended
	// Alive: the incarnation runs, but takes no work now.
	Alive
	// Healthy: the incarnation takes work.
	Healthy
)

// String returns the result's name in logs.
func (r ProbeResult) String() string {
	switch r {
	case Ended:
		return "ended"
	case Alive:
		return "alive"
	case Healthy:
		return "healthy"
	}
	return "unreachable"
}
