// Package settings reads and checks the daemon's YAML settings. Every error
// names the file, the line and the field, and says what is allowed.
package settings

import (
	"time"
)

// Duration is a time.Duration written like "250ms" or "30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings are the settings of one instance.
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
	// Callers serves the OpenAI form and plain services.
	Callers Listener `yaml:"callers"`
	// Operators serves the operators' API, health and metrics.
	Operators Listener `yaml:"operators"`
	// Links serves the other instances.
	Links Listener `yaml:"links"`
}

// Listener is one TCP listener, with TLS if both files are set.
type Listener struct {
	// Address is host:port.
	Address string `yaml:"address"`
	// TLSCert and TLSKey are PEM files, read again when they change.
	TLSCert string `yaml:"tls_cert"`
	TLSKey  string `yaml:"tls_key"`
	// TLSCA is a PEM file with the authorities that sign the certificates of
	// the other instances. It is for links only, and needed there with TLS.
	TLSCA string `yaml:"tls_ca"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base URL of the platform's services.
	URL string `yaml:"url"`
	// Timeout bounds one call.
	Timeout Duration `yaml:"timeout"`
	// LoadsPerMinute is the number of models that the fleet may load from the
	// weight store in a minute.
	LoadsPerMinute int64 `yaml:"loads_per_minute"`
}

// Secrets are shared by all instances of a deployment.
type Secrets struct {
	// Links authenticates the links between instances.
	Links string `yaml:"links"`
	// Orders signs orders to upstreams that check who gives them.
	Orders string `yaml:"orders"`
	// BootstrapTokenSHA256 is the hex SHA-256 of a token that may edit all
	// entries; it is for the first edit of an empty catalogue.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int64 `yaml:"header_bytes"`
	BodyBytes   int64 `yaml:"body_bytes"`
	// BodiesBytes bounds the bodies that the instance holds at once.
	BodiesBytes int64 `yaml:"bodies_bytes"`
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout Duration `yaml:"body_timeout"`
	// RequestTimeout bounds a request whose entry and caller set no time.
	RequestTimeout Duration `yaml:"request_timeout"`
	// SilenceTimeout is the longest silence of an upstream before the
	// instance looks whether the connection is still good.
	SilenceTimeout Duration `yaml:"silence_timeout"`
	// MemoryBytes is the soft limit of the process's memory.
	MemoryBytes int64 `yaml:"memory_bytes"`
}

// Drain says how a planned stop goes.
type Drain struct {
	// Notice is how long the instance reports "not ready" before it refuses
	// new requests, so that the balancer stops sending first.
	Notice Duration `yaml:"notice"`
}

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `yaml:"level"`
}

// Defaults returns settings in which only the fields without a sensible
// default are empty.
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
