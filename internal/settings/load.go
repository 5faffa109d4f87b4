package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// FieldError is one invalid field of a settings file.
type FieldError struct {
	File string
	// Line is the 1-based line of the field; zero if the field is missing.
	Line  int
	Field string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Field, e.Problem)
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration; write a number with a unit, for example 250ms, 30s or 2m", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// Load reads and validates a settings file. If fields are invalid, the error
// joins one FieldError for each.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings; file is used in errors only.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, decodeError(file, err)
	}
	var extra any
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Settings{}, &FieldError{File: file, Field: "(document)", Problem: "the file must hold exactly one YAML document"}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return Settings{}, decodeError(file, err)
	}
	c := checker{file: file, root: &root}
	c.check(&s)
	if err := errors.Join(c.errs...); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// yamlLine matches a line number and its problem in an error of the YAML
// library.
var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// unknownField matches the field's name in the YAML library's error for an
// unknown field.
var unknownField = regexp.MustCompile(`field (\S+) not found`)

// decodeError turns an error of the YAML library into FieldErrors.
func decodeError(file string, err error) error {
	var errs []error
	for _, m := range yamlLine.FindAllStringSubmatch(err.Error(), -1) {
		e := &FieldError{File: file, Field: "(value)", Problem: m[2]}
		fmt.Sscanf(m[1], "%d", &e.Line) //nolint:errcheck // the pattern matches digits only
		if u := unknownField.FindStringSubmatch(m[2]); u != nil {
			e.Field = u[1]
			e.Problem = "unknown field; docs/operators/settings.md lists the fields"
		}
		errs = append(errs, e)
	}
	if len(errs) == 0 {
		return &FieldError{File: file, Field: "(document)", Problem: err.Error()}
	}
	return errors.Join(errs...)
}

// checker collects the errors of one file and finds the lines of fields.
type checker struct {
	file string
	root *yaml.Node
	errs []error
}

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, &FieldError{File: c.file, Line: c.line(field), Field: field, Problem: fmt.Sprintf(format, args...)})
}

// line returns the line of a dotted field, or zero if the file does not set it.
func (c *checker) line(field string) int {
	if key, _ := c.find(field); key != nil {
		return key.Line
	}
	return 0
}

// find returns the key and value nodes of a dotted field, or nil for both if
// the file does not set it.
func (c *checker) find(field string) (key, value *yaml.Node) {
	value = c.root
	if value.Kind == yaml.DocumentNode && len(value.Content) > 0 {
		value = value.Content[0]
	}
	for _, name := range strings.Split(field, ".") {
		key, value = child(value, name)
		if key == nil {
			return nil, nil
		}
	}
	return key, value
}

// child returns the key and value nodes of a mapping's field, or nil for both.
func child(node *yaml.Node, name string) (key, value *yaml.Node) {
	if node == nil || node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i], node.Content[i+1]
		}
	}
	return nil, nil
}

// namePattern matches the allowed names of instances, regions and data centres.
// A slash is not allowed because the names of holds join these names with
// slashes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

// hexSHA256 matches a hex SHA-256 digest.
var hexSHA256 = regexp.MustCompile(`^[0-9a-f]{64}$`)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// minAfterNotice is the least part of the grace period that is left after the notice.
const minAfterNotice = time.Second

func (c *checker) check(s *Settings) {
	c.name("instance", s.Instance)
	c.name("region", s.Region)
	c.name("data_centre", s.DataCentre)
	c.listener("listen.callers", s.Listen.Callers)
	c.listener("listen.operators", s.Listen.Operators)
	c.listener(linksField, s.Listen.Links)
	c.baseURL("platform.url", s.Platform.URL)
	c.duration("platform.timeout", s.Platform.Timeout, 50*time.Millisecond, time.Minute)
	c.number("platform.loads_per_minute", s.Platform.LoadsPerMinute, 1, 100_000, "")
	c.secret("secrets.links", s.Secrets.Links, true)
	c.secret("secrets.orders", s.Secrets.Orders, false)
	if hash := s.Secrets.BootstrapTokenSHA256; hash != "" && !hexSHA256.MatchString(hash) {
		c.fail("secrets.bootstrap_token_sha256", "must be 64 hex digits, the SHA-256 of the token")
	}
	c.limits(&s.Limits)
	c.duration("drain.notice", s.Drain.Notice, 0, 10*time.Minute)
	if s.Drain.Grace != 0 {
		c.duration("drain.grace", s.Drain.Grace, s.Drain.Notice.Std()+minAfterNotice, 2*time.Hour)
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		c.fail("log.level", "%q is not a level; allowed are debug, info, warning, error", s.Log.Level)
	}
}

func (c *checker) limits(l *Limits) {
	const mib = 1 << 20
	c.size("limits.header_bytes", l.HeaderBytes, 4<<10, mib)
	c.size("limits.body_bytes", l.BodyBytes, 64<<10, 64*mib)
	c.size("limits.bodies_bytes", l.BodiesBytes, l.BodyBytes, 16<<10*mib)
	c.size("limits.memory_bytes", l.MemoryBytes, 16*mib, 64<<10*mib)
	c.duration("limits.body_timeout", l.BodyTimeout, time.Second, 10*time.Minute)
	c.duration("limits.request_timeout", l.RequestTimeout, 100*time.Millisecond, time.Hour)
	c.duration("limits.silence_timeout", l.SilenceTimeout, 100*time.Millisecond, time.Minute)
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fail(field, "%q is not a name; allowed are 1 to 64 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit", value)
	}
}

// linksField is the field of the listener for links from other instances.
const linksField = "listen.links"

func (c *checker) listener(field string, l Listener) {
	host, _, err := net.SplitHostPort(l.Address)
	if err != nil || (host != "" && net.ParseIP(host) == nil) {
		c.fail(field+".address", "%q is not IP:PORT, for example 127.0.0.1:8001", l.Address)
	}
	if (l.TLSCert == "") != (l.TLSKey == "") {
		c.fail(field, "tls_cert and tls_key must be set together")
	}
	requiresCA := field == linksField && l.TLSCert != ""
	if requiresCA != (l.TLSCA != "") {
		c.fail(field, "tls_ca must be set for links with TLS, and for nothing else")
	}
}

func (c *checker) baseURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(field, "%q is not a base URL, for example http://127.0.0.1:9000", value)
	}
}

func (c *checker) secret(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if len(value) < minSecretBytes {
		c.fail(field, "must have at least %d characters", minSecretBytes)
	}
}

func (c *checker) duration(field string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.fail(field, "%s is out of range; allowed is %s to %s", value.Std(), low, high)
	}
}

func (c *checker) size(field string, value, low, high int64) {
	c.number(field, value, low, high, " bytes")
}

// floatTag is the YAML tag of a number with a fraction, which the YAML library
// truncates to a whole number without an error.
const floatTag = "!!float"

func (c *checker) number(field string, value, low, high int64, unit string) {
	if _, node := c.find(field); node != nil && node.Tag == floatTag {
		c.fail(field, "%s must be a whole number", node.Value)
		return
	}
	if value < low || value > high {
		c.fail(field, "%d is out of range; allowed is %d to %d%s", value, low, high, unit)
	}
}
