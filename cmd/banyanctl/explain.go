package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// errNotInLogs means that no line of the logs names the request.
var errNotInLogs = errors.New("no line of the logs names the request")

const (
	// explainMargin is the time before and after a request in which lines about its upstreams
	// and about the paths of its instance belong to its account.
	explainMargin = 2 * time.Second
	// maxLogLineBytes bounds a line of a log.
	maxLogLineBytes = 1 << 20
)

type explainCommand struct {
	app   *app
	Files []string `short:"f" long:"file" description:"Log of an instance, with one JSON object a line; the file's name without its ending is taken for the instance's. - is standard input, the default"`
	Args  struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// logLine is one line of an instance's log.
type logLine struct {
	At       time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Part     string         `json:"part"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lines []logLine
	for _, file := range files {
		read, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	account := accountOf(lines, c.Args.ID)
	if len(account) == 0 {
		return fmt.Errorf("%w: %s", errNotInLogs, c.Args.ID)
	}
	if c.app.Output != outputTable {
		return c.app.print(account)
	}
	table := newTable(c.app.out)
	fmt.Fprintln(table, "TIME\tINSTANCE\tPART\tMESSAGE\tFIELDS")
	for _, l := range account {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Part, l.Message, l.fieldText())
	}
	return table.Flush()
}

// readLog reads the lines of a log that are JSON objects. What stands before the object in a
// line, as collectors of logs write it, may end with the name of the instance.
func readLog(file string) ([]logLine, error) {
	in, name := io.Reader(os.Stdin), ""
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer opened.Close()
		base := filepath.Base(file)
		in, name = opened, strings.TrimSuffix(base, filepath.Ext(base))
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes(), name); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", file, err)
	}
	return lines, nil
}

// parseLogLine parses a line of the log of an instance.
func parseLogLine(text []byte, instance string) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{Instance: instance}
	if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
		return logLine{}, false
	}
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		l.Instance = string(words[len(words)-1])
	}
	if err := l.At.UnmarshalText([]byte(l.text("time"))); err != nil {
		return logLine{}, false
	}
	l.Part, l.Message = l.text("part"), l.text("msg")
	for _, field := range []string{"time", "part", "msg", "level"} {
		delete(l.Fields, field)
	}
	return l, true
}

// text returns a field that is a text, or "".
func (l *logLine) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// fieldText formats the fields of a line, sorted by name.
func (l *logLine) fieldText() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		data, err := json.Marshal(l.Fields[name])
		if err != nil {
			data = fmt.Append(nil, l.Fields[name])
		}
		out = append(out, name+"="+string(data))
	}
	return strings.Join(out, " ")
}

// names reports whether a line is about a request or one of its attempts, which are named
// after it.
func (l *logLine) names(id string) bool {
	request := l.text("request")
	return request == id || strings.HasPrefix(request, id+"-")
}

// span is when a request was served, and by what.
type span struct {
	first, last          time.Time
	upstreams, instances map[string]bool
}

// spanOf returns the span of a request.
func spanOf(lines []logLine, id string) span {
	s := span{upstreams: map[string]bool{}, instances: map[string]bool{}}
	for _, l := range lines {
		if l.names(id) {
			s.add(&l)
		}
	}
	return s
}

// add extends the span by a line that names the request.
func (s *span) add(l *logLine) {
	began := l.At
	if ms, ok := l.Fields["ms"].(float64); ok {
		began = began.Add(-time.Duration(ms) * time.Millisecond)
	}
	if s.first.IsZero() || began.Before(s.first) {
		s.first = began
	}
	if l.At.After(s.last) {
		s.last = l.At
	}
	if up := l.text("upstream"); up != "" {
		s.upstreams[up] = true
	}
	attempts, _ := l.Fields["attempts"].([]any)
	for _, attempt := range attempts {
		text, _ := attempt.(string)
		up, _, _ := strings.Cut(text, " ")
		s.upstreams[up] = true
	}
	if l.Part == "passthrough" {
		s.instances[l.Instance] = true
	}
}

// covers reports whether a line that does not name the request is about its upstreams, or about
// the paths of its instance, at that time.
func (s *span) covers(l *logLine) bool {
	if s.first.IsZero() || l.At.Before(s.first.Add(-explainMargin)) || l.At.After(s.last.Add(explainMargin)) {
		return false
	}
	if l.Part == "tunnel" {
		return s.instances[l.Instance]
	}
	return l.Fields["request"] == nil && s.upstreams[l.text("upstream")]
}

// accountOf returns the lines about a request in the order of time: those that name it, and,
// around them, those about its upstreams and the paths of its instance.
func accountOf(lines []logLine, id string) []logLine {
	s := spanOf(lines, id)
	var account []logLine
	for _, l := range lines {
		if l.names(id) || s.covers(&l) {
			account = append(account, l)
		}
	}
	slices.SortStableFunc(account, func(a, b logLine) int { return a.At.Compare(b.At) })
	return account
}
