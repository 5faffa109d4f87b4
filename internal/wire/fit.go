package wire

import (
	"encoding"
	"encoding/binary"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Major types of CBOR.
const (
	majorUint = iota
	majorNegative
	majorBytes
	majorText
	majorArray
	majorMap
	majorTag
	majorSimple
)

const (
	null       = 0xf6
	undefined  = 0xf7
	breakByte  = 0xff
	indefinite = math.MaxUint64
)

// readHead returns the major type, the argument and the bytes after the head of an item. The
// argument of an item of indefinite length is indefinite.
func readHead(data []byte) (major int, argument uint64, rest []byte) {
	major, info := int(data[0]>>5), data[0]&0x1f
	rest = data[1:]
	switch {
	case info < 24:
		return major, uint64(info), rest
	case info == 24:
		return major, uint64(rest[0]), rest[1:]
	case info == 25:
		return major, uint64(binary.BigEndian.Uint16(rest)), rest[2:]
	case info == 26:
		return major, uint64(binary.BigEndian.Uint32(rest)), rest[4:]
	case info == 27:
		return major, binary.BigEndian.Uint64(rest), rest[8:]
	}
	return major, indefinite, rest
}

// ends reports whether a container with count items ends after n of them.
func ends(rest []byte, n, count uint64) bool {
	if count == indefinite {
		return rest[0] == breakByte
	}
	return n == count
}

// afterEnd returns the bytes after a container whose items have been read.
func afterEnd(rest []byte, count uint64) []byte {
	if count == indefinite {
		return rest[1:]
	}
	return rest
}

// cut splits data after its first item.
func cut(data []byte) (item, rest []byte) {
	rest = skip(data)
	return data[:len(data)-len(rest)], rest
}

// skip returns the bytes after the first item.
func skip(data []byte) []byte {
	major, argument, rest := readHead(data)
	switch major {
	case majorBytes, majorText:
		if argument != indefinite {
			return rest[argument:]
		}
	case majorArray:
	case majorMap:
		if argument != indefinite {
			argument *= 2
		}
	case majorTag:
		return skip(rest)
	default:
		return rest
	}
	for n := uint64(0); !ends(rest, n, argument); n++ {
		rest = skip(rest)
	}
	return afterEnd(rest, argument)
}

// fitter copies a well-formed message to out, with the fields that a type has.
type fitter struct {
	out     []byte
	unknown int
	absent  int
}

// fit appends the first item of data, as t has it, and returns the bytes after the item.
func (f *fitter) fit(data []byte, t reflect.Type) ([]byte, error) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	p := planOf(t)
	major, count, rest := readHead(data)
	switch {
	case major == majorTag && p.kind != leaf:
		f.out = append(f.out, data[:len(data)-len(rest)]...)
		return f.fit(rest, t)
	case major == majorArray && p.kind == arrayStruct:
		return f.fitFields(rest, count, t, p)
	case major == majorMap && p.kind == mapStruct:
		return f.fitPairs(rest, count, p)
	case major == majorArray && p.kind == list, major == majorMap && p.kind == table:
		f.out = append(f.out, data[:len(data)-len(rest)]...)
		for n := uint64(0); !ends(rest, n, count); n++ {
			if p.kind == table {
				rest = f.copy(rest)
			}
			var err error
			if rest, err = f.fit(rest, t.Elem()); err != nil {
				return nil, err
			}
		}
		if count == indefinite {
			f.out = append(f.out, breakByte)
		}
		return afterEnd(rest, count), nil
	}
	return f.copy(data), nil
}

// copy appends the first item of data unchanged and returns the bytes after it.
func (f *fitter) copy(data []byte) []byte {
	item, rest := cut(data)
	f.out = append(f.out, item...)
	return rest
}

// fitFields appends the elements of a struct that is encoded as an array.
func (f *fitter) fitFields(rest []byte, count uint64, t reflect.Type, p *plan) ([]byte, error) {
	f.out = appendHead(f.out, majorArray, uint64(len(p.fields)))
	known, n := uint64(len(p.fields)), uint64(0)
	for ; !ends(rest, n, count); n++ {
		if n >= known {
			f.unknown++
			rest = skip(rest)
			continue
		}
		var err error
		if rest, err = f.fit(rest, p.fields[n]); err != nil {
			return nil, err
		}
	}
	if n < uint64(p.required) {
		return nil, trace.BadParameter("%s has %d fields, at least %d are required", t, n, p.required)
	}
	for ; n < known; n++ {
		f.absent++
		f.out = append(f.out, null)
	}
	return afterEnd(rest, count), nil
}

// fitPairs appends the known pairs of a struct that is encoded as a map.
func (f *fitter) fitPairs(rest []byte, count uint64, p *plan) ([]byte, error) {
	f.out = append(f.out, majorMap<<5|0x1f)
	for n := uint64(0); !ends(rest, n, count); n++ {
		key, value := cut(rest)
		t, known := p.byKey[keyOf(key)]
		if !known {
			f.unknown++
			rest = skip(value)
			continue
		}
		f.out = append(f.out, key...)
		var err error
		if rest, err = f.fit(value, t); err != nil {
			return nil, err
		}
	}
	f.out = append(f.out, breakByte)
	return afterEnd(rest, count), nil
}

// appendHead appends the head of a container.
func appendHead(out []byte, major int, count uint64) []byte {
	m := byte(major << 5)
	switch {
	case count < 24:
		return append(out, m|byte(count))
	case count <= math.MaxUint8:
		return append(out, m|24, byte(count))
	}
	return binary.BigEndian.AppendUint16(append(out, m|25), uint16(count))
}

// keyOf returns the name of a key of a struct that is encoded as a map: its text, or its
// number as text after a zero byte.
func keyOf(item []byte) string {
	major, argument, rest := readHead(item)
	switch {
	case major == majorText && argument != indefinite:
		return string(rest)
	case major == majorUint:
		return numberKey(strconv.FormatUint(argument, 10))
	case major == majorNegative && argument <= math.MaxInt64:
		return numberKey(strconv.FormatInt(-1-int64(argument), 10))
	}
	return numberKey("") // no field has this name
}

func numberKey(number string) string { return "\x00" + number }

type kind uint8

const (
	// leaf is copied unchanged.
	leaf kind = iota
	arrayStruct
	mapStruct
	list
	table
)

// plan says how values of a type are encoded.
type plan struct {
	kind kind
	// fields are the types of the elements of an arrayStruct.
	fields []reflect.Type
	// required is the number of fields before the first one that was added later.
	required int
	// byKey holds the types of the fields of a mapStruct.
	byKey map[string]reflect.Type
}

var plans sync.Map // reflect.Type -> *plan

func planOf(t reflect.Type) *plan {
	if p, ok := plans.Load(t); ok {
		return p.(*plan)
	}
	p, _ := plans.LoadOrStore(t, newPlan(t))
	return p.(*plan)
}

var (
	cborUnmarshaler   = reflect.TypeFor[cbor.Unmarshaler]()
	binaryUnmarshaler = reflect.TypeFor[encoding.BinaryUnmarshaler]()
)

func newPlan(t reflect.Type) *plan {
	if reflect.PointerTo(t).Implements(cborUnmarshaler) || reflect.PointerTo(t).Implements(binaryUnmarshaler) {
		return &plan{}
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Uint8 {
			return &plan{}
		}
		return &plan{kind: list}
	case reflect.Map:
		return &plan{kind: table}
	case reflect.Struct:
		return structPlan(t)
	}
	return &plan{}
}

func structPlan(t reflect.Type) *plan {
	p := &plan{kind: mapStruct, byKey: map[string]reflect.Type{}, required: -1}
	if IsArray(t) {
		p.kind = arrayStruct
	}
	for _, field := range reflect.VisibleFields(t) {
		name, options, _ := strings.Cut(tagOf(field), ",")
		if !field.IsExported() || name == "-" || field.Anonymous && name == "" {
			continue
		}
		if field.Tag.Get("wire") == "added" && p.required < 0 {
			p.required = len(p.fields)
		}
		p.fields = append(p.fields, field.Type)
		switch {
		case strings.Contains(options, "keyasint"):
			name = numberKey(name)
		case name == "":
			name = field.Name
		}
		p.byKey[name] = field.Type
	}
	if p.required < 0 {
		p.required = len(p.fields)
	}
	return p
}

// tagOf returns the tag that names a field in CBOR.
func tagOf(field reflect.StructField) string {
	if tag, ok := field.Tag.Lookup("cbor"); ok {
		return tag
	}
	return field.Tag.Get("json")
}

// IsArray reports whether a struct is encoded as an array.
func IsArray(t reflect.Type) bool {
	blank, ok := t.FieldByName("_")
	return ok && strings.Contains(blank.Tag.Get("cbor"), "toarray")
}
