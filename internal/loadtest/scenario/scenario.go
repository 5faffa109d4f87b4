// Package scenario reads the YAML files that describe a load experiment.
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

// Duration is a time.Duration that is written like "30s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Scenario is one load experiment.
type Scenario struct {
	// Name of the experiment.
	Name string `yaml:"name" json:"name"`
	// Seed decides arrivals, lengths and prompts.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Targets lists the base URLs of the instances; requests go to each in
	// turn. They must be loopback addresses.
	Targets []string `yaml:"targets" json:"targets"`
	// Engines and Services list base URLs of stand-ins, whose records are
	// checked after the run. They may be left out.
	Engines  []string `yaml:"engines" json:"engines,omitempty"`
	Services []string `yaml:"services" json:"services,omitempty"`
	// Workspaces share the requests.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Model that requests name.
	Model string `yaml:"model" json:"model"`
	// RequestsPerSecond is the mean rate of a Poisson process at load 1, all
	// kinds of requests together.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// StreamShare is the share of answers that are streamed.
	StreamShare float64 `yaml:"stream_share" json:"stream_share"`
	// Prompts is the mix of prompt lengths.
	Prompts []Bucket `yaml:"prompts" json:"prompts"`
	// Prefix describes prompts that begin alike.
	Prefix Prefix `yaml:"prefix" json:"prefix"`
	// Calls describes calls of a plain service.
	Calls Calls `yaml:"calls" json:"calls"`
	// LongTokens is the shortest prompt that counts as long.
	LongTokens int `yaml:"long_tokens" json:"long_tokens"`
	// MaxInFlight bounds requests in flight; those over it are not sent and
	// are counted.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
	// Grace is how late after its time limit an answer may come before it
	// counts as a violation.
	Grace Duration `yaml:"grace" json:"grace"`
	// Settle is how long engines may take after the run to free all memory.
	Settle Duration `yaml:"settle" json:"settle"`
	// LeavingGrace is how long an engine may get new work after it began to
	// report that it is leaving.
	LeavingGrace Duration `yaml:"leaving_grace" json:"leaving_grace"`
	// Phases run one after another.
	Phases []Phase `yaml:"phases" json:"phases"`
}

// Workspace is a customer whose key requests carry.
type Workspace struct {
	Key string `yaml:"key" json:"key"`
	// Share is the workspace's weight among all.
	Share float64 `yaml:"share" json:"share"`
}

// Bucket is a range of prompt lengths.
type Bucket struct {
	Name string `yaml:"name" json:"name"`
	// MinTokens and MaxTokens bound the length, which is spread evenly over
	// its logarithm.
	MinTokens int `yaml:"min_tokens" json:"min_tokens"`
	MaxTokens int `yaml:"max_tokens" json:"max_tokens"`
	// Share is the bucket's weight among the prompts.
	Share float64 `yaml:"share" json:"share"`
	// OutputTokens is the length of the answer.
	OutputTokens int `yaml:"output_tokens" json:"output_tokens"`
	// Timeout is the time limit that the request carries.
	Timeout Duration `yaml:"timeout" json:"timeout"`
}

// Prefix describes prompts that begin with one of a few texts.
type Prefix struct {
	// Share is the share of the prompts that do.
	Share float64 `yaml:"share" json:"share"`
	// Count is the number of texts and Tokens the length of each.
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

// Phase is a part of the run with a load of its own.
type Phase struct {
	Name     string   `yaml:"name" json:"name"`
	Duration Duration `yaml:"duration" json:"duration"`
	// Load multiplies the scenario's rate.
	Load float64 `yaml:"load" json:"load"`
	// WithoutLong leaves out prompts of LongTokens and more; the rate of
	// the others stays as it is.
	WithoutLong bool `yaml:"without_long" json:"without_long"`
	// Drain waits for all answers before the next phase begins.
	Drain bool `yaml:"drain" json:"drain"`
}

// Defaults of fields that a file leaves out.
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

// Load reads and checks a file. Unknown fields are errors.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	return s, trace.Wrap(err, "%s", file)
}

// Parse reads and checks a scenario.
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
	s.fill()
	return s, trace.Wrap(s.Check())
}

// fill sets what the file left out.
func (s *Scenario) fill() {
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

// Check returns an error that names the first field out of range. All addresses
// must be loopback addresses.
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
			return trace.BadParameter("prompts[%d]: need 0 < min_tokens <= max_tokens and share > 0", i)
		}
	}
	for i, w := range s.Workspaces {
		if w.Key == "" || w.Share <= 0 {
			return trace.BadParameter("workspaces[%d]: need a key and share > 0", i)
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
			return trace.BadParameter("phases[%d]: need duration > 0 and load > 0", i)
		}
		names[p.Name] = true
	}
	return nil
}
