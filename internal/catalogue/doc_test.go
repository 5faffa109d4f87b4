package catalogue

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// fieldPaths returns the dotted YAML paths of all leaf fields of t.
func fieldPaths(t reflect.Type, path string) []string {
	switch t.Kind() {
	case reflect.Pointer:
		return fieldPaths(t.Elem(), path)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return append([]string{path}, fieldPaths(t.Elem(), path+"[]")...)
		}
	case reflect.Struct:
		var paths []string
		for name, field := range structFields(t) {
			paths = append(paths, fieldPaths(field, strings.TrimPrefix(path+"."+name, "."))...)
		}
		return paths
	}
	return []string{path}
}

// TestPageListsEveryField checks that docs/operators/catalogue.md lists each
// field of an entry, and no other.
func TestPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/catalogue.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 7 {
			listed[strings.Trim(cells[1], " `")] = true
		}
	}
	fields := fieldPaths(reflect.TypeFor[Entry](), "")
	for _, field := range fields {
		if !listed[field] {
			t.Errorf("docs/operators/catalogue.md does not list %s", field)
		}
		delete(listed, field)
	}
	for name := range listed {
		if name != "Field" && !strings.HasPrefix(name, "--") {
			t.Errorf("docs/operators/catalogue.md lists %s, which no entry has", name)
		}
	}
}
