// Package catalogue holds the operators' configuration of a deployment.
//
// The catalogue is a set of entries, each of one kind: operators, workspaces
// (customers), models, plain services, upstreams (engines and processes of plain
// services) and a policy. An Edit puts and deletes entries atomically. An
// accepted edit becomes a Change, under the next Revision.
//
// A Store keeps entries and changes in the platform's table. On each instance a
// Replica keeps a copy, the Snapshot, up to date: by broadcasts of new revisions,
// by exchanges with neighbours (the instances that it has links to), and by polls
// of the store. A Digest of the content shows whether two copies are the same.
package catalogue

import "time"

// Kind names the kind of an entry.
type Kind string

// Kinds of entries.
const (
	KindOperator  Kind = "operator"
	KindWorkspace Kind = "workspace"
	KindModel     Kind = "model"
	KindService   Kind = "service"
	KindUpstream  Kind = "upstream"
	KindPolicy    Kind = "policy"
)

// Class is the scheduling class of an entry's requests.
type Class string

// Classes in descending order of urgency.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Revision counts accepted edits; it never decreases.
type Revision uint64

// Duration is a time.Duration that is encoded like "30s" in YAML and JSON.
type Duration time.Duration

// Key identifies an entry.
type Key struct {
	Kind Kind   `yaml:"kind" json:"kind"`
	Name string `yaml:"name" json:"name"`
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Entry is one catalogue entry. Exactly the specification that belongs to Kind
// is set.
type Entry struct {
	Kind Kind   `yaml:"kind" json:"kind"`
	Name string `yaml:"name" json:"name"`
	// Owner is the operator group that may edit the entry.
	Owner string `yaml:"owner" json:"owner"`
	// Class is the default class of the entry's requests.
	Class  Class  `yaml:"class,omitempty" json:"class,omitempty"`
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitzero"`

	Operator  *OperatorSpec  `yaml:"operator,omitempty" json:"operator,omitempty"`
	Workspace *WorkspaceSpec `yaml:"workspace,omitempty" json:"workspace,omitempty"`
	Model     *ModelSpec     `yaml:"model,omitempty" json:"model,omitempty"`
	Service   *ServiceSpec   `yaml:"service,omitempty" json:"service,omitempty"`
	Upstream  *UpstreamSpec  `yaml:"upstream,omitempty" json:"upstream,omitempty"`
	Policy    *PolicySpec    `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// Key returns the entry's key.
func (e *Entry) Key() Key { return Key{Kind: e.Kind, Name: e.Name} }

// Limits bounds the requests of an entry: the rates and Concurrent over the whole
// fleet, the other fields per request. Zero means no limit; without any Timeout,
// the default of the instance's settings applies.
type Limits struct {
	// RequestsPerSecond is a rate of admitted requests.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	// TokensPerSecond is a rate of estimated prompt and output tokens.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	// Concurrent is the number of requests in flight.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
	// PromptTokens is the longest prompt of one request.
	PromptTokens int `yaml:"prompt_tokens,omitempty" json:"prompt_tokens,omitempty"`
	// OutputTokens is the longest answer of one request.
	OutputTokens int `yaml:"output_tokens,omitempty" json:"output_tokens,omitempty"`
	// Timeout bounds one request, unless the caller sets a shorter time.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// OperatorSpec gives a person or script the right to edit the entries of some
// owners.
type OperatorSpec struct {
	// TokenSHA256 is the hex SHA-256 of the operator's token.
	TokenSHA256 string `yaml:"token_sha256" json:"token_sha256"`
	// Owners lists the owners whose entries the operator may edit; "*" is all.
	Owners []string `yaml:"owners" json:"owners"`
}

// WorkspaceSpec is one customer of the deployment.
type WorkspaceSpec struct {
	// KeySHA256 lists the hex SHA-256 of each key that callers may use.
	KeySHA256 []string `yaml:"key_sha256" json:"key_sha256"`
	// Weight is the workspace's share under contention, relative to other
	// workspaces; 0 means 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Models and Services list what the workspace may use; "*" is all.
	Models   []string `yaml:"models,omitempty" json:"models,omitempty"`
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
}

// ModelSpec is a model that callers name in requests.
type ModelSpec struct {
	// Version is the version that engines should have loaded.
	Version string `yaml:"version" json:"version"`
	// Adapters lists the adapters that engines should have loaded.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// MinEngines and MaxEngines bound the number of engines with the model.
	MinEngines int `yaml:"min_engines,omitempty" json:"min_engines,omitempty"`
	MaxEngines int `yaml:"max_engines,omitempty" json:"max_engines,omitempty"`
}

// ServiceSpec is a plain service that the system routes to.
type ServiceSpec struct {
	// Routes are matched in order; the first match decides.
	Routes []ServiceRoute `yaml:"routes" json:"routes"`
}

// ServiceRoute defines how calls of one method and path prefix are treated.
type ServiceRoute struct {
	// Method is an HTTP method, or "*".
	Method string `yaml:"method" json:"method"`
	// Prefix is a path prefix below the service's name, starting with "/".
	Prefix string `yaml:"prefix" json:"prefix"`
	// Idempotent calls may be retried; others run at most once and need an
	// Idempotency-Key.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
}

// UpstreamSpec is one engine or one process of a plain service.
type UpstreamSpec struct {
	// URL is the base URL, for example "http://127.0.0.1:9001".
	URL string `yaml:"url" json:"url"`
	// DataCentre is where the upstream runs.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// Models lists the models that an engine may serve.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Service is the plain service that the upstream belongs to.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// MemoryTokens is an engine's KV memory in tokens.
	MemoryTokens int `yaml:"memory_tokens,omitempty" json:"memory_tokens,omitempty"`
	// Fencing reports whether the engine refuses orders with an old fencing
	// token.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// ChecksIssuer reports whether the engine verifies the signature of an
	// order.
	ChecksIssuer bool `yaml:"checks_issuer,omitempty" json:"checks_issuer,omitempty"`
}

// PolicySpec tunes the traffic decisions of the deployment. There is at most
// one, named "default".
type PolicySpec struct {
	// ShortWeight is from 0 to 1: 0 optimises the time to first token over
	// all prompt lengths, 1 the slowdown of short requests.
	ShortWeight float64 `yaml:"short_weight" json:"short_weight"`
	// ShortTokens is the longest prompt that counts as short.
	ShortTokens int `yaml:"short_tokens,omitempty" json:"short_tokens,omitempty"`
	// Algorithm is "banyan" (the default), "round-robin" or
	// "least-requests"; the latter two are for comparison.
	Algorithm string `yaml:"algorithm,omitempty" json:"algorithm,omitempty"`
}
