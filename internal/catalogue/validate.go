package catalogue

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Ranges of numeric fields and lengths of lists. Tokens are model tokens; the
// weight is relative to other workspaces.
const (
	maxRequestsPerSecond = 1e6
	maxTokensPerSecond   = 1e9
	maxConcurrent        = 1_000_000
	maxPromptTokens      = 4_000_000
	maxOutputTokens      = 1_000_000
	minTimeout           = 100 * time.Millisecond
	maxTimeout           = 24 * time.Hour
	maxOwners            = 64
	maxKeys              = 16
	maxWeight            = 1000
	maxReferences        = 256
	maxAdapters          = 64
	maxEngines           = 10_000
	maxRoutes            = 256
	maxMemoryTokens      = 1_000_000_000
)

// All matches every owner, model or service in a list.
const All = "*"

// policyName is the name of the only policy entry.
const policyName = "default"

// Algorithms of a policy.
const (
	algorithmBanyan        = "banyan"
	algorithmRoundRobin    = "round-robin"
	algorithmLeastRequests = "least-requests"
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)
	hexSHA256    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	routeMethods = []string{All, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	algorithms   = []string{"", algorithmBanyan, algorithmRoundRobin, algorithmLeastRequests}
	classes      = []Class{"", ClassInteractive, ClassStandard, ClassBatch}
	kinds        = []Kind{KindOperator, KindWorkspace, KindModel, KindService, KindUpstream, KindPolicy}
)

const (
	allowedNames = "allowed are 1 to 128 letters, digits, '.', '_' and '-', starting and ending with a letter or digit"
	allowedHash  = "must be 64 lower-case hex digits, a SHA-256"
)

// Kinds returns all kinds of entries.
func Kinds() []Kind { return slices.Clone(kinds) }

// validateEntry checks one entry, except for its references to others. The
// error is a FieldErrors.
func validateEntry(e *Entry) error {
	v := validator{entry: e}
	v.common()
	if v.specMatchesKind() {
		v.specFields()
	}
	return v.errs.orNil()
}

// validator collects the errors of one entry.
type validator struct {
	entry *Entry
	errs  FieldErrors
}

func (v *validator) fail(field, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Entry: v.entry.Key(), Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (v *validator) common() {
	e := v.entry
	if !slices.Contains(kinds, e.Kind) {
		v.fail("kind", "%q is not a kind; allowed are operator, workspace, model, service, upstream, policy", e.Kind)
	}
	v.name("name", e.Name)
	v.name("owner", e.Owner)
	if !slices.Contains(classes, e.Class) {
		v.fail("class", "%q is not a class; allowed are interactive, standard, batch", e.Class)
	}
	v.limits()
}

func (v *validator) limits() {
	l := &v.entry.Limits
	if *l == (Limits{}) {
		return
	}
	if v.entry.Kind == KindOperator || v.entry.Kind == KindPolicy {
		v.fail("limits", "not allowed in an entry of kind %q; allowed on workspace, model, service and upstream", v.entry.Kind)
	}
	v.float("limits.requests_per_second", l.RequestsPerSecond, maxRequestsPerSecond)
	v.float("limits.tokens_per_second", l.TokensPerSecond, maxTokensPerSecond)
	v.int("limits.concurrent", l.Concurrent, maxConcurrent)
	v.int("limits.prompt_tokens", l.PromptTokens, maxPromptTokens)
	v.int("limits.output_tokens", l.OutputTokens, maxOutputTokens)
	if t := l.Timeout.Std(); t != 0 && (t < minTimeout || t > maxTimeout) {
		v.fail("limits.timeout", "%s is out of range; allowed is %s to %s", t, minTimeout, maxTimeout)
	}
}

// specMatchesKind checks that exactly the specification of the entry's kind is
// set, and reports whether it is.
func (v *validator) specMatchesKind() bool {
	e := v.entry
	set := map[Kind]bool{
		KindOperator:  e.Operator != nil,
		KindWorkspace: e.Workspace != nil,
		KindModel:     e.Model != nil,
		KindService:   e.Service != nil,
		KindUpstream:  e.Upstream != nil,
		KindPolicy:    e.Policy != nil,
	}
	for _, kind := range kinds {
		if set[kind] && kind != e.Kind {
			v.fail(string(kind), "not allowed in an entry of kind %q", e.Kind)
		}
	}
	if slices.Contains(kinds, e.Kind) && !set[e.Kind] {
		v.fail(string(e.Kind), "missing; an entry of kind %q needs it", e.Kind)
	}
	return set[e.Kind]
}

func (v *validator) specFields() {
	switch v.entry.Kind {
	case KindOperator:
		v.operator(v.entry.Operator)
	case KindWorkspace:
		v.workspace(v.entry.Workspace)
	case KindModel:
		v.model(v.entry.Model)
	case KindService:
		v.service(v.entry.Service)
	case KindUpstream:
		v.upstream(v.entry.Upstream)
	case KindPolicy:
		v.policy(v.entry.Policy)
	}
}

func (v *validator) operator(s *OperatorSpec) {
	v.hash("operator.token_sha256", s.TokenSHA256)
	if len(s.Owners) == 0 {
		v.fail("operator.owners", "must have at least one owner, or %q for all", All)
	}
	v.names("operator.owners", s.Owners, maxOwners, true)
}

func (v *validator) workspace(s *WorkspaceSpec) {
	if len(s.KeySHA256) == 0 || len(s.KeySHA256) > maxKeys {
		v.fail("workspace.key_sha256", "has %d keys; allowed is 1 to %d", len(s.KeySHA256), maxKeys)
	}
	for i, hash := range s.KeySHA256 {
		v.hash(fmt.Sprintf("workspace.key_sha256[%d]", i), hash)
	}
	v.float("workspace.weight", s.Weight, maxWeight)
	v.names("workspace.models", s.Models, maxReferences, true)
	v.names("workspace.services", s.Services, maxReferences, true)
}

func (v *validator) model(s *ModelSpec) {
	v.name("model.version", s.Version)
	v.names("model.adapters", s.Adapters, maxAdapters, false)
	v.int("model.min_engines", s.MinEngines, maxEngines)
	v.int("model.max_engines", s.MaxEngines, maxEngines)
	if s.MaxEngines > 0 && s.MinEngines > s.MaxEngines {
		v.fail("model.min_engines", "%d is over model.max_engines, %d", s.MinEngines, s.MaxEngines)
	}
}

func (v *validator) service(s *ServiceSpec) {
	if len(s.Routes) == 0 || len(s.Routes) > maxRoutes {
		v.fail("service.routes", "has %d routes; allowed is 1 to %d", len(s.Routes), maxRoutes)
	}
	for i, route := range s.Routes {
		if !slices.Contains(routeMethods, route.Method) {
			v.fail(fmt.Sprintf("service.routes[%d].method", i), "%q is not a method; allowed are %s", route.Method, strings.Join(routeMethods, ", "))
		}
		if !strings.HasPrefix(route.Prefix, "/") {
			v.fail(fmt.Sprintf("service.routes[%d].prefix", i), "%q must start with \"/\"", route.Prefix)
		}
	}
}

func (v *validator) upstream(s *UpstreamSpec) {
	u, err := url.Parse(s.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.User != nil {
		v.fail("upstream.url", "%q is not a base URL, for example http://127.0.0.1:9001", s.URL)
	}
	v.name("upstream.data_centre", s.DataCentre)
	v.names("upstream.models", s.Models, maxReferences, false)
	if s.Service != "" {
		v.name("upstream.service", s.Service)
	}
	if (len(s.Models) == 0) == (s.Service == "") {
		v.fail("upstream.models", "set either upstream.models or upstream.service")
	}
	if s.Service != "" && (s.Fencing || s.ChecksIssuer || s.MemoryTokens != 0) {
		v.fail("upstream.service", "fencing, checks_issuer and memory_tokens are for engines only")
	}
	v.int("upstream.memory_tokens", s.MemoryTokens, maxMemoryTokens)
}

func (v *validator) policy(s *PolicySpec) {
	if v.entry.Name != policyName {
		v.fail("name", "the only policy is named %q", policyName)
	}
	v.float("policy.short_weight", s.ShortWeight, 1)
	v.int("policy.short_tokens", s.ShortTokens, maxPromptTokens)
	if !slices.Contains(algorithms, s.Algorithm) {
		v.fail("policy.algorithm", "%q is not an algorithm; allowed are %s", s.Algorithm, strings.Join(algorithms[1:], ", "))
	}
}

func (v *validator) name(field, value string) {
	if !namePattern.MatchString(value) {
		v.fail(field, "%q is not a name; %s", value, allowedNames)
	}
}

// names checks a list of distinct names; "*" is allowed if allowAll is true.
func (v *validator) names(field string, values []string, limit int, allowAll bool) {
	if len(values) > limit {
		v.fail(field, "has %d names; allowed is at most %d", len(values), limit)
	}
	seen := make(map[string]bool, len(values))
	for i, value := range values {
		item := fmt.Sprintf("%s[%d]", field, i)
		if !allowAll || value != All {
			v.name(item, value)
		}
		if seen[value] {
			v.fail(item, "%q is listed twice", value)
		}
		seen[value] = true
	}
}

func (v *validator) hash(field, value string) {
	if !hexSHA256.MatchString(value) {
		v.fail(field, allowedHash)
	}
}

// float checks that value is from 0 to high; the comparison also rejects NaN.
func (v *validator) float(field string, value, high float64) {
	if !(value >= 0 && value <= high) {
		v.fail(field, "%g is out of range; allowed is 0 to %.0f", value, high)
	}
}

func (v *validator) int(field string, value, high int) {
	if value < 0 || value > high {
		v.fail(field, "%d is out of range; allowed is 0 to %d", value, high)
	}
}
