// Package settings reads and validates the daemon's YAML settings. Every error
// names the file, the line and the field, and says what is allowed.
package settings

import (
	"time"
)

// Duration is a time.Duration written like "250ms" or "30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings holds the settings of one instance.
type Settings struct {
	// Instance is the instance's unique name.
	Instance   string `yaml:"instance"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Listen holds the instance's three listeners.
	Listen   Listeners `yaml:"listen"`
	Platform Platform  `yaml:"platform"`
	Secrets  Secrets   `yaml:"secrets"`
	Limits   Limits    `yaml:"limits"`
	Drain    Drain     `yaml:"drain"`
	Log      Log       `yaml:"log"`
}

// Listeners are the addresses that the instance listens on.
type Listeners struct {
	// Callers serves the OpenAI API and plain services.
	Callers Listener `yaml:"callers"`
	// Operators serves the operators' API, health checks and metrics.
	Operators Listener `yaml:"operators"`
	// Links serves the other instances.
	Links Listener `yaml:"links"`
}

// Listener is one TCP listener, with TLS if TLSCert and TLSKey are set.
type Listener struct {
	// Address is IP:PORT; without the IP, the listener accepts connections on
	// all addresses.
	Address string `yaml:"address"`
	// TLSCert and TLSKey are PEM files, reloaded when they change.
	TLSCert string `yaml:"tls_cert"`
	TLSKey  string `yaml:"tls_key"`
	// TLSCA is a PEM file with the certificate authorities of the other
	// instances' certificates. It is required for links with TLS and not
	// allowed elsewhere.
	TLSCA string `yaml:"tls_ca"`
}

// Platform configures the calls to the platform's services.
type Platform struct {
	// URL is the base URL of the platform's services.
	URL string `yaml:"url"`
	// Timeout bounds one call to the platform.
	Timeout Duration `yaml:"timeout"`
	// LoadsPerMinute bounds the number of models that the whole fleet loads
	// from the weight store per minute.
	LoadsPerMinute int64 `yaml:"loads_per_minute"`
}

// Secrets are shared by all instances of a deployment.
type Secrets struct {
	// Links is the key that authenticates the links between instances.
	Links string `yaml:"links"`
	// Orders is the key that signs orders to upstreams that verify the issuer.
	Orders string `yaml:"orders"`
	// BootstrapTokenSHA256 is the hex SHA-256 of a token with the right to
	// edit all entries, for the first edit of an empty catalogue.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
}

// Limits bounds the requests of callers and the instance's use of memory.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int64 `yaml:"header_bytes"`
	BodyBytes   int64 `yaml:"body_bytes"`
	// BodiesBytes bounds the sum of all bodies that the instance holds at once.
	BodiesBytes int64 `yaml:"bodies_bytes"`
	// BodyTimeout bounds the time to receive a body.
	BodyTimeout Duration `yaml:"body_timeout"`
	// RequestTimeout bounds a request for which neither the catalogue nor the
	// caller sets a timeout.
	RequestTimeout Duration `yaml:"request_timeout"`
	// SilenceTimeout is the longest time without data from an upstream before
	// the instance checks whether the connection still works.
	SilenceTimeout Duration `yaml:"silence_timeout"`
	// MemoryBytes is the soft limit of the process's memory.
	MemoryBytes int64 `yaml:"memory_bytes"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Notice is the time for which the instance reports "not ready" before it
	// refuses new requests, so that the load balancer stops sending first.
	Notice Duration `yaml:"notice"`
	// Grace is the time after which the process is killed; zero if it never is. No request is
	// begun that may not end before.
	Grace Duration `yaml:"grace"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest logged level: "debug", "info", "warning" or "error".
	Level string `yaml:"level"`
}

// Defaults returns the default settings. Fields that have no sensible default
// are empty.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second), LoadsPerMinute: 60},
		Limits: Limits{
			HeaderBytes:    32 << 10,
			BodyBytes:      8 << 20,
			BodiesBytes:    40 << 20,
			BodyTimeout:    Duration(30 * time.Second),
			RequestTimeout: Duration(2 * time.Minute),
			SilenceTimeout: Duration(3 * time.Second),
			MemoryBytes:    64 << 20,
		},
		Drain: Drain{Notice: Duration(2 * time.Second)},
		Log:   Log{Level: "info"},
	}
}
