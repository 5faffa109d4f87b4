package deployment

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests must not run twice.
	AtMostOnce
	// Stream answers are events; they are at most once unless resumable.
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

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another engine after the last event.
	Resumable bool
	// Public routes need no key.
	Public  bool
	Targets []Target
	// Timeout is the longest time that a caller may wait.
	Timeout time.Duration
	// FirstAnswer is the objective: to the whole answer, or to a stream's first
	// event.
	FirstAnswer time.Duration
	// MaxPause is the objective for the pause between two events of a stream.
	MaxPause time.Duration
	// MaxAttempts is the number of upstreams that one request may run on.
	MaxAttempts int
	// Generation says that requests state their model and prompt size.
	Generation bool
	// Priority orders routes; 0 is the most urgent.
	Priority int
}

// Service is a set of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is what one upstream accepts of all callers together.
	ConnectionLimit int
	// Engine is the cost model of model engines; nil for a plain service.
	Engine *enginemodel.Model
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Priority int
}

// Limits bound what callers may send.
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
	// Keys finds the workspace of an API key. It is nil if the deployment has
	// no workspaces; then no request needs a key.
	Keys   map[string]Workspace
	Limits Limits
}

// Upstream is one engine or one process of a plain service.
type Upstream struct {
	// ID names this start of the upstream, in most cases.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving upstreams get no new work.
	Leaving bool
	// Warming is how long the upstream remained slow when it said so.
	Warming time.Duration
	// Born is the upstream's start in Unix milliseconds; 0 is unknown. An
	// upstream that starts again under its ID has a later one.
	Born int64
}
