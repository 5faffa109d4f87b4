package hosted

import "time"

// Settings holds an instance's settings, which the platform provides.
type Settings struct {
	// Instance is the instance's ID, unique in the deployment.
	Instance   string
	DataCentre string
	Region     string
	// CallersAddress, ReadinessAddress and LinksAddress are the addresses to listen
	// on, as host:port, for callers, readiness checks and links of other instances.
	CallersAddress   string
	ReadinessAddress string
	LinksAddress     string
	// OperatorsAddress is the address to listen on for operators; it serves metrics
	// and state dumps.
	OperatorsAddress string
	// StoreAddress is the address of the platform's metadata store, as host:port.
	StoreAddress string
	// Capacity is the processor time that the process may use, in thousandths of a core; 0 if
	// unknown.
	Capacity uint32
	// MemoryBytes is the limit above which the process is killed.
	MemoryBytes int64
	// FileDescriptors is the number of descriptors that the process may open; 0 if unknown.
	FileDescriptors int
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// ApplyTimeout is the time within which a change of the configuration or of the
	// list of upstreams must be applied.
	ApplyTimeout time.Duration
	// EvacuationBound is the time within which the evacuation of a data centre must be in force;
	// 0 if not stated.
	EvacuationBound time.Duration
	// UpstreamHeartbeat is the interval at which upstreams renew their entries.
	UpstreamHeartbeat time.Duration
	// MaxIdleHold is how long reserved engine memory may remain unused.
	MaxIdleHold time.Duration
	// RetryRatio, RetryWindow and RetryBurst bound the retries of all instances
	// together: in each window, the fraction RetryRatio of the requests plus
	// RetryBurst.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryBurst  float64
	// ColdOverage and ColdSlack bound the requests that a cold upstream gets in any second:
	// its rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// LearnCosts reports whether placement learns what requests cost from those that have ended.
	// It applies from the start of the process.
	LearnCosts bool
}
