package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestPageListsEveryField checks that docs/operators/settings.md lists each
// field of Settings.
func TestPageListsEveryField(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, field := range leafFields(reflect.TypeFor[Settings](), "") {
		if !strings.Contains(page, "| `"+field+"` |") {
			t.Errorf("the page does not list %s", field)
		}
	}
}

// leafFields returns the dotted names of all fields that are not structs.
func leafFields(typ reflect.Type, prefix string) []string {
	var out []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, leafFields(f.Type, name+".")...)
			continue
		}
		out = append(out, name)
	}
	return out
}
