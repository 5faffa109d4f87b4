// Package wire decodes the CBOR messages and rows that instances of neighbouring builds
// exchange. A message of another build may have more or fewer fields than the type that it
// is decoded into: unknown fields are ignored and counted, absent ones are zero.
package wire

import (
	"errors"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Store is the source of rows and objects of the platform's store.
const Store = "store"

// Decoder decodes messages within the limits of its options.
type Decoder struct{ mode cbor.DecMode }

// New returns a Decoder. It panics if the options are invalid.
func New(options cbor.DecOptions) *Decoder {
	options.ExtraReturnErrors |= cbor.ExtraDecErrorUnknownField
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return &Decoder{mode}
}

var standard = New(cbor.DecOptions{})

// Unmarshal decodes data with the library's default limits. See Decoder.Unmarshal.
func Unmarshal(data []byte, v any, source string) error { return standard.Unmarshal(data, v, source) }

// Unmarshal decodes data into the zero value that v points to. A struct that is encoded as an
// array may have more elements than v has fields, and fewer, but not less than its fields
// without the tag `wire:"added"`. Unknown fields are counted for source, the ID of an instance
// or Store.
func (d *Decoder) Unmarshal(data []byte, v any, source string) error {
	err := d.mode.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var ofType *cbor.UnmarshalTypeError
	var ofField *cbor.UnknownFieldError
	if !errors.As(err, &ofType) && !errors.As(err, &ofField) {
		return err
	}
	// Errors of these types show that data is well-formed and within the limits.
	target := reflect.ValueOf(v).Elem()
	f := fitter{out: make([]byte, 0, len(data))}
	if _, shortErr := f.fit(data, target.Type()); shortErr != nil {
		return shortErr
	}
	if f.unknown == 0 && f.absent == 0 {
		return err
	}
	fresh := reflect.New(target.Type())
	if err := d.mode.Unmarshal(f.out, fresh.Interface()); err != nil {
		return err
	}
	target.Set(fresh.Elem())
	countUnknownFields(source, f.unknown)
	return nil
}

// Element returns the encoding of element i of data, a well-formed CBOR array.
func Element(data []byte, i int) ([]byte, error) {
	if err := cbor.Wellformed(data); err != nil {
		return nil, trace.Wrap(err)
	}
	major, count, rest := readHead(data)
	if major != majorArray {
		return nil, trace.BadParameter("message is not an array")
	}
	for n := uint64(0); !ends(rest, n, count); n++ {
		item, after := cut(rest)
		if n == uint64(i) {
			return item, nil
		}
		rest = after
	}
	return nil, trace.BadParameter("array has no element %d", i)
}
