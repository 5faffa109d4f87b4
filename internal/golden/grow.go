package golden

import (
	"bytes"
	"errors"
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
	if err := wire.Unmarshal(theirs, v.Interface(), "golden"); err != nil {
		t.Fatal(err)
	}
	data, err := cbor.Marshal(encodedWith(v.Elem(), grownStruct))
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

// sameInProduction reports whether this build writes a message as the build in production does, but
// for the fields that it has added.
func sameInProduction(t *testing.T, m Message, ours, theirs []byte) bool {
	t.Helper()
	if m.Type == nil || !hasAdded(m.Type, map[reflect.Type]bool{}) {
		return bytes.Equal(ours, theirs)
	}
	data, err := cbor.Marshal(encodedWith(m.Filled(), productionStruct))
	if err != nil {
		t.Fatal(err)
	}
	// The pairs of a map have no order.
	var without, production any
	if err := errors.Join(cbor.Unmarshal(data, &without), cbor.Unmarshal(theirs, &production)); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(without, production)
}

// hasAdded reports whether a type, or one that it contains, has fields that this build has added.
func hasAdded(t reflect.Type, visited map[reflect.Type]bool) bool {
	reach(t, visited)
	for v := range visited {
		if v.Kind() != reflect.Struct {
			continue
		}
		for i := range v.NumField() {
			if isAdded(v.Field(i)) {
				return true
			}
		}
	}
	return false
}

// structForm returns a value that is encoded like a struct, but for a difference in its fields.
// encoded returns the struct's own encoding.
type structForm func(v reflect.Value, encoded func() any) any

// encodedWith returns a value that is encoded like v, with each struct in the given form.
func encodedWith(v reflect.Value, form structForm) any {
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
		return encodedWith(v.Elem(), form)
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 || v.Kind() == reflect.Slice && v.IsNil() {
			return encoded()
		}
		items := make([]any, v.Len())
		for i := range items {
			items[i] = encodedWith(v.Index(i), form)
		}
		return items
	case reflect.Map:
		items := map[any]any{}
		for _, key := range v.MapKeys() {
			items[key.Interface()] = encodedWith(v.MapIndex(key), form)
		}
		return items
	case reflect.Struct:
		return form(v, encoded)
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
					items[key] = encodedWith(v.Field(i), grownStruct)
				}
			}
		}
		return items
	}
	var items []any
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			items = append(items, encodedWith(v.Field(i), grownStruct))
		}
	}
	return append(items, added)
}

// isAdded reports whether the build in production lacks a field.
func isAdded(f reflect.StructField) bool { return f.Tag.Get("wire") == "added" }

// productionStruct leaves out the fields that the build in production lacks.
func productionStruct(v reflect.Value, encoded func() any) any {
	if !wire.IsArray(v.Type()) {
		return productionPairs(v, encoded)
	}
	var items []any
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && !isAdded(f) {
			items = append(items, encodedWith(v.Field(i), productionStruct))
		}
	}
	return items
}

// productionPairs is productionStruct for structs that are encoded as maps.
func productionPairs(v reflect.Value, encoded func() any) any {
	var pairs map[any]cbor.RawMessage
	if err := cbor.Unmarshal(encoded().(cbor.RawMessage), &pairs); err != nil {
		return encoded()
	}
	items := make(map[any]any, len(pairs))
	for key, value := range pairs {
		items[key] = value
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := strings.Split(f.Tag.Get("cbor"), ",")[0]
		if name == "" {
			name = f.Name
		}
		if isAdded(f) {
			delete(items, name)
		} else if _, encoded := pairs[name]; encoded && hasAdded(f.Type, map[reflect.Type]bool{}) {
			items[name] = encodedWith(v.Field(i), productionStruct)
		}
	}
	return items
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
