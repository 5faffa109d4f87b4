package catalogue

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// floatTag is the YAML tag of a number with a fraction or exponent.
const floatTag = "!!float"

// unknownFields lists the mapping keys of an entry that its types do not have,
// and fractions in place of whole numbers. It walks the node because the YAML
// library reports neither the path of an unknown field nor the allowed ones,
// and truncates fractions without an error.
func unknownFields(file string, node *yaml.Node) FieldErrors {
	w := fieldWalker{file: file}
	w.walk(node, reflect.TypeFor[Entry](), "")
	return w.errs
}

// fieldWalker compares YAML nodes with Go types.
type fieldWalker struct {
	file string
	errs FieldErrors
}

func (w *fieldWalker) fail(node *yaml.Node, field, format string, args ...any) {
	w.errs = append(w.errs, FieldError{File: w.file, Line: node.Line, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (w *fieldWalker) walk(node *yaml.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch {
	case node.Kind == yaml.ScalarNode && t.Kind() == reflect.Int && node.ShortTag() == floatTag:
		w.fail(node, path, "%q is not allowed; allowed is a whole number", node.Value)
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		w.walkStruct(node, t, path)
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, item := range node.Content {
			w.walk(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (w *fieldWalker) walkStruct(node *yaml.Node, t reflect.Type, path string) {
	fields := structFields(t)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		full := joinPath(path, name)
		fieldType, ok := fields[name]
		if !ok {
			w.fail(node.Content[i], full, "unknown field; allowed are %s", strings.Join(sortedNames(fields), ", "))
			continue
		}
		w.walk(node.Content[i+1], fieldType, full)
	}
}

// joinPath appends a name to a dotted path; an empty name becomes "".
func joinPath(path, name string) string {
	if name == "" {
		name = `""`
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// structFields maps the YAML names of a struct's fields to their types.
func structFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name != "" {
			fields[name] = field.Type
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
