package hosted

import "time"

// Settings are what an instance learns about its place from the platform.
type Settings struct {
	// Instance is unique in the deployment.
	Instance   string
	DataCentre string
	Region     string
	// Callers, Readiness and Links are host:port to listen on. Links serves the
	// other instances.
	Callers   string
	Readiness string
	Links     string
	// Operators serves metrics and state dumps.
	Operators string
	// Store is host:port of the platform's metadata store.
	Store string
	// MemoryBytes is the limit above which the process is killed.
	MemoryBytes int64
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// ApplyWithin is the time in which a change of the configuration or of the list
	// of upstreams must be in force.
	ApplyWithin time.Duration
	// MaxIdleHold is how long reserved engine memory may stay unused.
	MaxIdleHold time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound retries of all instances
	// together: in each window RetryRatio of the requests, plus RetryExtra.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
}
