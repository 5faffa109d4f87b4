package catalogue

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Patterns of the YAML library's errors, and of this package's error for
// durations.
var (
	yamlLine          = regexp.MustCompile(`line (\d+): ([^\n]*)`)
	typeErrorText     = regexp.MustCompile("cannot unmarshal (!!\\w+)(?: `(.*)`)? into (\\S+)")
	durationErrorText = regexp.MustCompile(`^"(.*)" is not a duration`)
)

// truncationMark ends a value that the YAML library has truncated.
const truncationMark = "..."

// typeNames maps Go types to their names in messages to operators.
var typeNames = map[string]string{
	"int":     "a whole number",
	"float64": "a number",
	"string":  "text",
	"bool":    "true or false",
}

// syntaxErrors turns an error about a document into FieldErrors.
func syntaxErrors(file string, err error) FieldErrors {
	errs := splitErrors(file, err)
	for i := range errs {
		errs[i].Field = "(document)"
	}
	return errs
}

// typeErrors turns an error about an entry's values into FieldErrors that name
// the fields.
func typeErrors(file string, node *yaml.Node, entry Key, err error) FieldErrors {
	errs := splitErrors(file, err)
	for i := range errs {
		e := &errs[i]
		e.Entry = entry
		e.Field = namedField(node, e.Line, e.Problem)
		e.Problem = explain(e.Problem)
	}
	return errs
}

// splitErrors returns one FieldError, without a field, per line that the YAML
// library reports.
func splitErrors(file string, err error) FieldErrors {
	var errs FieldErrors
	for _, m := range yamlLine.FindAllStringSubmatch(err.Error(), -1) {
		line, _ := strconv.Atoi(m[1])
		errs = append(errs, FieldError{File: file, Line: line, Problem: m[2]})
	}
	if len(errs) == 0 {
		errs = FieldErrors{{File: file, Problem: err.Error()}}
	}
	return errs
}

// explain rewrites a type error of the YAML library to say what is allowed.
func explain(problem string) string {
	m := typeErrorText.FindStringSubmatch(problem)
	if m == nil {
		return problem
	}
	wanted, ok := typeNames[m[3]]
	switch {
	case ok:
	case strings.HasPrefix(m[3], "[]"):
		wanted = "a list"
	default:
		wanted = "a mapping or a known word"
	}
	if m[2] == "" {
		return "not allowed here; allowed is " + wanted
	}
	return fmt.Sprintf("%q is not allowed; allowed is %s", m[2], wanted)
}

// namedField returns the path of the field that an error is about: the first
// one on the line with the value in the error, else the deepest one that starts
// at or before the line.
func namedField(node *yaml.Node, line int, problem string) string {
	match := func(*yaml.Node) bool { return false }
	if m := typeErrorText.FindStringSubmatch(problem); m != nil {
		match = func(n *yaml.Node) bool { return n.ShortTag() == m[1] && sameValue(n.Value, m[2]) }
	} else if m := durationErrorText.FindStringSubmatch(problem); m != nil {
		match = func(n *yaml.Node) bool { return n.Value == m[1] }
	}
	if path, ok := findField(node, line, "", match); ok {
		return path
	}
	return fieldAt(node, line, "")
}

// sameValue reports whether value is the one shown in an error, where it may be
// truncated.
func sameValue(value, shown string) bool {
	if start, cut := strings.CutSuffix(shown, truncationMark); cut {
		return strings.HasPrefix(value, start)
	}
	return value == shown
}

// findField returns the path of the first field on a line whose value matches,
// inner fields before outer ones.
func findField(node *yaml.Node, line int, path string, match func(*yaml.Node) bool) (string, bool) {
	for _, c := range children(node, path) {
		if found, ok := findField(c.node, line, c.path, match); ok {
			return found, true
		}
	}
	return path, path != "" && node.Line == line && match(node)
}

// fieldAt returns the path of the deepest field that starts at or before a
// line.
func fieldAt(node *yaml.Node, line int, path string) string {
	found := path
	if found == "" {
		found = "(entry)"
	}
	for _, c := range children(node, path) {
		if c.line <= line {
			found = fieldAt(c.node, line, c.path)
		}
	}
	return found
}

// childField is a field or list item below a node; line is the line of its key.
type childField struct {
	node *yaml.Node
	path string
	line int
}

func children(node *yaml.Node, path string) []childField {
	var found []childField
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i]
			found = append(found, childField{node.Content[i+1], joinPath(path, key.Value), key.Line})
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			found = append(found, childField{item, fmt.Sprintf("%s[%d]", path, i), item.Line})
		}
	}
	return found
}
