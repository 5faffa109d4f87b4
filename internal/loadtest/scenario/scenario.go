// Package scenario reads the YAML files that describe load experiments. A scenario
// is a mix of generation requests and calls of a plain service, sent at random times
// in phases of different load.
package scenario

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Scenario describes one load experiment.
type Scenario struct {
	// Name is the name of the experiment.
	Name string `yaml:"name" json:"name"`
	// Seed determines arrival times, lengths and prompts.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Targets lists the base URLs of the instances, which receive requests in
	// round robin. They must be loopback addresses.
	Targets []string `yaml:"targets" json:"targets"`
	// Engines and Services list base URLs of stand-ins, whose records are
	// checked after the run. Both are optional.
	Engines  []string `yaml:"engines" json:"engines,omitempty"`
	Services []string `yaml:"services" json:"services,omitempty"`
	// Workspaces are the customers whose keys the requests carry.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Model is the model that generation requests name.
	Model string `yaml:"model" json:"model"`
	// RequestsPerSecond is the mean rate of the Poisson process at load 1, for
	// all kinds of requests together.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// StreamShare is the share of generation requests with a streamed answer.
	StreamShare float64 `yaml:"stream_share" json:"stream_share"`
	// Prompts is the mix of prompt lengths.
	Prompts []Bucket `yaml:"prompts" json:"prompts"`
	// Prefix describes the prompts that share a prefix.
	Prefix Prefix `yaml:"prefix" json:"prefix"`
	// Calls describes calls of a plain service.
	Calls Calls `yaml:"calls" json:"calls"`
	// LongTokens is the shortest prompt that counts as long.
	LongTokens int `yaml:"long_tokens" json:"long_tokens"`
	// MaxInFlight bounds requests in flight; requests beyond it are counted
	// instead of sent.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
	// Grace is how long after its time limit a request may end without counting
	// as a violation.
	Grace Duration `yaml:"grace" json:"grace"`
	// Settle is how long engines may take to free all memory after the run.
	Settle Duration `yaml:"settle" json:"settle"`
	// LeavingGrace is how long an engine may still receive new work after it has
	// begun to report that it is leaving.
	LeavingGrace Duration `yaml:"leaving_grace" json:"leaving_grace"`
	// Phases run one after another.
	Phases []Phase `yaml:"phases" json:"phases"`
}

// Workspace is a customer that sends requests.
type Workspace struct {
	Key string `yaml:"key" json:"key"`
	// Share is the workspace's weight among all workspaces.
	Share float64 `yaml:"share" json:"share"`
}

// Bucket is a range of prompt lengths.
type Bucket struct {
	Name string `yaml:"name" json:"name"`
	// MinTokens and MaxTokens bound the length, whose logarithm is uniformly
	// distributed.
	MinTokens int `yaml:"min_tokens" json:"min_tokens"`
	MaxTokens int `yaml:"max_tokens" json:"max_tokens"`
	// Share is the bucket's weight among all buckets.
	Share float64 `yaml:"share" json:"share"`
	// OutputTokens is the length of the answer.
	OutputTokens int `yaml:"output_tokens" json:"output_tokens"`
	// Timeout is the time limit that the request carries.
	Timeout Duration `yaml:"timeout" json:"timeout"`
}

// Prefix describes prompts that begin with one of a few shared texts.
type Prefix struct {
	// Share is the share of prompts that have a shared prefix.
	Share float64 `yaml:"share" json:"share"`
	// Count is the number of shared texts and Tokens the length of each.
	Count  int `yaml:"count" json:"count"`
	Tokens int `yaml:"tokens" json:"tokens"`
}

// Calls describes calls of a plain service.
type Calls struct {
	// Share is the share of all requests that are calls.
	Share float64 `yaml:"share" json:"share"`
	// Service is the service's name.
	Service string `yaml:"service" json:"service"`
	// WriteShare is the share of calls that are not idempotent: a POST with
	// an Idempotency-Key; the others are GETs.
	WriteShare float64 `yaml:"write_share" json:"write_share"`
	// RepeatShare is the share of the POSTs that are sent twice with the
	// same key, the second time to another instance.
	RepeatShare float64  `yaml:"repeat_share" json:"repeat_share"`
	Timeout     Duration `yaml:"timeout" json:"timeout"`
}

// Phase is a part of the run with its own load.
type Phase struct {
	Name     string   `yaml:"name" json:"name"`
	Duration Duration `yaml:"duration" json:"duration"`
	// Load multiplies the scenario's rate.
	Load float64 `yaml:"load" json:"load"`
	// WithoutLong omits prompts of at least LongTokens; the rate of the others
	// does not change.
	WithoutLong bool `yaml:"without_long" json:"without_long"`
	// Drain makes the run wait for all answers before the next phase begins.
	Drain bool `yaml:"drain" json:"drain"`
}

// Defaults of omitted fields.
const (
	defaultMaxInFlight   = 2000
	defaultGrace         = time.Second
	defaultSettle        = 15 * time.Second
	defaultLeavingGrace  = 5 * time.Second
	defaultPromptTimeout = 60 * time.Second
	defaultOutputTokens  = 16
	defaultLongTokens    = 32_000
	defaultCallTimeout   = 10 * time.Second
)

// Load reads and checks a scenario file. Unknown fields are errors.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	return s, trace.Wrap(err, "%s", file)
}

// Parse decodes and checks a scenario.
func Parse(data []byte) (*Scenario, error) {
	s := &Scenario{
		Seed: 1, StreamShare: 1, MaxInFlight: defaultMaxInFlight, LongTokens: defaultLongTokens,
		Grace: Duration(defaultGrace), Settle: Duration(defaultSettle),
		LeavingGrace: Duration(defaultLeavingGrace),
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	s.setDefaults()
	return s, trace.Wrap(s.Check())
}

// setDefaults sets fields whose zero value stands for a default.
func (s *Scenario) setDefaults() {
	for i := range s.Prompts {
		b := &s.Prompts[i]
		if b.Timeout == 0 {
			b.Timeout = Duration(defaultPromptTimeout)
		}
		if b.OutputTokens == 0 {
			b.OutputTokens = defaultOutputTokens
		}
		if b.Name == "" {
			b.Name = fmt.Sprintf("%d-%d", b.MinTokens, b.MaxTokens)
		}
	}
	for i := range s.Phases {
		if s.Phases[i].Load == 0 {
			s.Phases[i].Load = 1
		}
	}
	if s.Calls.Timeout == 0 {
		s.Calls.Timeout = Duration(defaultCallTimeout)
	}
}

// Check returns an error that names the first invalid field. All addresses must
// be loopback addresses.
func (s *Scenario) Check() error {
	if err := s.checkAddresses(); err != nil {
		return err
	}
	switch {
	case s.RequestsPerSecond <= 0:
		return trace.BadParameter("requests_per_second must be positive")
	case len(s.Workspaces) == 0:
		return trace.BadParameter("workspaces must have an entry")
	case len(s.Phases) == 0:
		return trace.BadParameter("phases must have an entry")
	case len(s.Prompts) == 0 && s.Calls.Share < 1:
		return trace.BadParameter("prompts must have an entry unless calls.share is 1")
	case s.Calls.Share > 0 && s.Calls.Service == "":
		return trace.BadParameter("calls.service must name a service")
	case s.Prefix.Share > 0 && s.Prefix.Count <= 0:
		return trace.BadParameter("prefix.count must be positive")
	}
	if err := s.checkShares(); err != nil {
		return err
	}
	return s.checkPhases()
}

func (s *Scenario) checkAddresses() error {
	if len(s.Targets) == 0 {
		return trace.BadParameter("targets must have an entry")
	}
	for _, list := range [][]string{s.Targets, s.Engines, s.Services} {
		for _, address := range list {
			if err := httpjson.CheckLoopbackURL(address); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (s *Scenario) checkShares() error {
	for name, share := range map[string]float64{
		"stream_share": s.StreamShare, "prefix.share": s.Prefix.Share, "calls.share": s.Calls.Share,
		"calls.write_share": s.Calls.WriteShare, "calls.repeat_share": s.Calls.RepeatShare,
	} {
		if share < 0 || share > 1 {
			return trace.BadParameter("%s must be from 0 to 1, not %v", name, share)
		}
	}
	for i, b := range s.Prompts {
		if b.MinTokens <= 0 || b.MaxTokens < b.MinTokens || b.Share <= 0 {
			return trace.BadParameter("prompts[%d] must have 0 < min_tokens <= max_tokens and share > 0", i)
		}
	}
	for i, w := range s.Workspaces {
		if w.Key == "" || w.Share <= 0 {
			return trace.BadParameter("workspaces[%d] must have a key and share > 0", i)
		}
	}
	return nil
}

func (s *Scenario) checkPhases() error {
	names := map[string]bool{}
	for i, p := range s.Phases {
		if p.Name == "" || names[p.Name] {
			return trace.BadParameter("phases[%d].name %q must be set and unique", i, p.Name)
		}
		if p.Duration <= 0 || p.Load < 0 {
			return trace.BadParameter("phases[%d] must have duration > 0 and load > 0", i)
		}
		names[p.Name] = true
	}
	return nil
}
