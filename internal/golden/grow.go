package golden

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// addedKey is the key of the field that grown adds to structs that are encoded as maps.
const addedKey = 9999

// checkGrown fails the test if a message of a later build, whose types have a field more each,
// can't be read, or is read as something else than the message without these fields.
func checkGrown(t *testing.T, m Message, theirs []byte) {
	t.Helper()
	if m.Type == nil {
		return
	}
	v := reflect.New(m.Type)
	if err := cbor.Unmarshal(theirs, v.Interface()); err != nil {
		t.Fatal(err)
	}
	data, err := cbor.Marshal(grown(v.Elem()))
	if err != nil {
		t.Fatal(err)
	}
	read := reflect.New(m.Type)
	if err := wire.Unmarshal(data, read.Interface(), "golden"); err != nil {
		t.Errorf("what a build with more fields writes can't be read: %v", err)
	} else if !reflect.DeepEqual(read.Interface(), v.Interface()) {
		t.Errorf("with unknown fields read as %+v, without as %+v", read.Elem(), v.Elem())
	}
}

// grown returns a value that is encoded like v, with another field in each struct.
func grown(v reflect.Value) any {
	encoded := func() any {
		data, err := cbor.Marshal(v.Interface())
		if err != nil {
			panic(err) // the value was decoded from CBOR
		}
		return cbor.RawMessage(data)
	}
	if _, ok := reflect.New(v.Type()).Interface().(cbor.Unmarshaler); ok {
		return encoded()
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return grown(v.Elem())
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return encoded()
		}
		items := make([]any, v.Len())
		for i := range items {
			items[i] = grown(v.Index(i))
		}
		return items
	case reflect.Map:
		items := map[any]any{}
		for _, key := range v.MapKeys() {
			items[key.Interface()] = grown(v.MapIndex(key))
		}
		return items
	case reflect.Struct:
		return grownStruct(v, encoded)
	}
	return encoded()
}

func grownStruct(v reflect.Value, encoded func() any) any {
	added := []any{"added", map[string]any{"nested": []int{1}}}
	if !wire.IsArray(v.Type()) {
		// Keys may be numbers or names; the pairs are kept as they are encoded.
		var pairs map[any]cbor.RawMessage
		if err := cbor.Unmarshal(encoded().(cbor.RawMessage), &pairs); err != nil {
			return encoded()
		}
		items := map[any]any{addedKey: added}
		for key, value := range pairs {
			items[key] = value
			for i := range v.NumField() {
				tag := strings.Split(v.Type().Field(i).Tag.Get("cbor"), ",")[0]
				if fmt.Sprint(key) == tag {
					items[key] = grown(v.Field(i))
				}
			}
		}
		return items
	}
	var items []any
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			items = append(items, grown(v.Field(i)))
		}
	}
	return append(items, added)
}

// checkListed fails the test if the package in the current directory has a type that is encoded
// as an array and that no message contains.
func checkListed(t *testing.T, messages map[string]Message) {
	t.Helper()
	reached := map[reflect.Type]bool{}
	for _, m := range messages {
		if m.Type != nil {
			reach(m.Type, reached)
		}
	}
	names := map[string]bool{}
	for r := range reached {
		names[path.Base(r.PkgPath())+"."+r.Name()] = true
	}
	for _, name := range arrayTypes(t) {
		if !names[name] {
			t.Errorf("%s is encoded as an array, but is part of no message in the golden test", name)
		}
	}
}

func reach(t reflect.Type, reached map[reflect.Type]bool) {
	if reached[t] {
		return
	}
	reached[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		reach(t.Elem(), reached)
	case reflect.Struct:
		for i := range t.NumField() {
			reach(t.Field(i).Type, reached)
		}
	}
}

// arrayTypes returns the names of the structs in the current directory that are encoded as
// arrays.
func arrayTypes(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok && isArray(s) {
				names = append(names, file.Name.Name+"."+spec.Name.Name)
			}
			return true
		})
	}
	return names
}

func isArray(s *ast.StructType) bool {
	for _, field := range s.Fields.List {
		if field.Tag != nil && strings.Contains(field.Tag.Value, "toarray") {
			return true
		}
	}
	return false
}
