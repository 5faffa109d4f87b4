// Package golden compares the encodings of messages and rows with those of the build in
// production, so that no change of a type cuts instances of the two builds from each other.
//
// The files testdata/golden/NAME.hex of a package hold the bytes that the build in production
// writes for a value whose fields are all set. They are written anew by
//
//	GOLDEN_UPDATE=1 go test ./internal/... ./platform/... -run Golden
//
// in a checkout of that build, and only there.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// Message is the encoding of one type.
type Message struct {
	// Encode encodes a value of the type that Filled returns.
	Encode func() ([]byte, error)
	// Decode decodes bytes and returns their encoding.
	Decode func(data []byte) ([]byte, error)
	// Type is that of the value, if it is read by package wire; else nil. Filled returns the
	// value then.
	Type   reflect.Type
	Filled func() reflect.Value
}

// Of returns the Message of type T with the given functions.
func Of[T any](encode func(T) ([]byte, error), decode func([]byte, *T) error) Message {
	return Message{
		Encode: func() ([]byte, error) { return encode(Filled[T]()) },
		Decode: func(data []byte) ([]byte, error) {
			var v T
			if err := decode(data, &v); err != nil {
				return nil, err
			}
			return encode(v)
		},
	}
}

// Check fails the test if this build writes a message in another way than the build in
// production, but for added fields, or can't read what that one writes.
func Check(t *testing.T, messages map[string]Message) {
	t.Helper()
	checkListed(t, messages)
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", "golden", name+".hex")
			ours, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if os.Getenv("GOLDEN_UPDATE") != "" {
				if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, []byte(hex.EncodeToString(ours)+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			theirs, err := hex.DecodeString(strings.TrimSpace(string(text)))
			if err != nil {
				t.Fatal(err)
			}
			if again, err := m.Decode(theirs); err != nil {
				t.Errorf("what the build in production writes can't be read: %v", err)
			} else if !bytes.Equal(again, ours) {
				t.Errorf("read as %x, which this build writes as %x", again, ours)
			}
			if !sameInProduction(t, m, ours, theirs) {
				t.Errorf("this build writes %x, the one in production %x and may not read that; see docs/operators/upgrades.md", ours, theirs)
			}
			checkGrown(t, m, theirs)
		})
	}
}

// Filled returns a value whose exported fields are all set, the same one each time.
func Filled[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n, 0)
	return v
}

// maxDepth bounds the pointers and lists that lead to values of the same type.
const maxDepth = 8

func fill(v reflect.Value, n *int, depth int) {
	if !v.CanSet() || depth > maxDepth {
		return
	}
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	case reflect.String:
		v.SetString("text " + strconv.Itoa(*n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		fillStruct(v, n, depth)
	}
}

// fillStruct fills the fields of a struct that the build in production has.
func fillStruct(v reflect.Value, n *int, depth int) {
	for i := range v.NumField() {
		if !isAdded(v.Type().Field(i)) {
			fill(v.Field(i), n, depth+1)
		}
	}
}

// CBOR returns the Message of a type that is encoded as CBOR with the library's defaults.
func CBOR[T any]() Message {
	m := Of(func(v T) ([]byte, error) { return cbor.Marshal(v) }, func(data []byte, v *T) error { return wire.Unmarshal(data, v, "golden") })
	m.Type = reflect.TypeFor[T]()
	m.Filled = func() reflect.Value { return reflect.ValueOf(Filled[T]()) }
	return m
}

// JSON returns the Message of a type that is encoded as JSON.
func JSON[T any]() Message {
	return Of(func(v T) ([]byte, error) { return json.Marshal(v) }, func(data []byte, v *T) error { return json.Unmarshal(data, v) })
}
