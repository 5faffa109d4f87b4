package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestPageListsEveryField checks docs/operators/settings.md against the type.
func TestPageListsEveryField(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, field := range leaves(reflect.TypeFor[Settings](), "") {
		if !strings.Contains(page, "| `"+field+"` |") {
			t.Errorf("the page does not list %s", field)
		}
	}
}

// leaves returns the dotted names of all fields that are not structs.
func leaves(typ reflect.Type, prefix string) []string {
	var out []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, leaves(f.Type, name+".")...)
			continue
		}
		out = append(out, name)
	}
	return out
}
