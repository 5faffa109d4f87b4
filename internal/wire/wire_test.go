package wire

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// part, message and row are types of this build.
type part struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Size uint32
}

type message struct {
	_     struct{} `cbor:",toarray"`
	Parts []part
	ByKey map[string]*part
	Pair  [2]part
	Row   *row
	Raw   cbor.RawMessage
	Late  part     `wire:"added"`
	Notes []string `wire:"added"`
}

type row struct {
	Part  part   `cbor:"1,keyasint"`
	State string `cbor:"state"`
	Named part
	Count int `json:"count"`
}

var filled = message{
	Parts: []part{{ID: "a", Size: 1}, {ID: "b", Size: 1 << 20}},
	ByKey: map[string]*part{"c": {ID: "c"}, "none": nil},
	Pair:  [2]part{{ID: "d"}, {ID: "e"}},
	Row:   &row{Part: part{ID: "f"}, State: "open", Named: part{ID: "g"}, Count: -3},
	Raw:   cbor.RawMessage{0x82, 1, 2},
	Late:  part{ID: "h"},
	Notes: []string{"i"},
}

// elements returns the elements of a part of a later build.
func elements(p part, added ...any) []any { return append([]any{p.ID, p.Size}, added...) }

// later returns the elements of filled as a later build writes them.
func later(added ...any) []any {
	return append([]any{
		[]any{elements(filled.Parts[0], added...), elements(filled.Parts[1])},
		map[string]any{"c": elements(*filled.ByKey["c"], added...), "none": nil},
		[]any{elements(filled.Pair[0], added...), elements(filled.Pair[1], added...)},
		map[any]any{
			1: elements(filled.Row.Part, added...), "state": "open", "Named": elements(filled.Row.Named, added...), "count": -3,
			2: added, "more": added, -7: added,
		},
		filled.Raw,
		elements(filled.Late, added...),
		filled.Notes,
	}, added...)
}

func marshal(t testing.TB, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestUnknownFieldsAreIgnored guards against messages of a later build that cut the link.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	for name, added := range map[string][]any{
		"no field":        nil,
		"a number":        {7},
		"null":            {nil},
		"nested values":   {[]any{1, map[string]any{"x": []byte{1}}}, "text", 1.5, cbor.Tag{Number: 77, Content: []int{1}}},
		"a large integer": {uint64(1) << 63},
		"25 fields":       make([]any, 25),
		"300 fields":      make([]any, 300),
		"a long text":     {strings.Repeat("x", 70_000)},
	} {
		t.Run(name, func(t *testing.T) {
			before := wiretest.UnknownFields("later")
			var m message
			if err := Unmarshal(marshal(t, later(added...)), &m, "later"); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(m, filled) {
				t.Errorf("read as %+v, want %+v", m, filled)
			}
			// Eight arrays have added elements; three keys are unknown.
			if got, want := wiretest.UnknownFields("later")-before, uint64(8*len(added)+3); got != want {
				t.Errorf("%d unknown fields counted, want %d", got, want)
			}
		})
	}
}

// TestAbsentFieldsAreZero guards against messages of an earlier build that cut the link.
func TestAbsentFieldsAreZero(t *testing.T) {
	all := later()
	for n := range all {
		m := message{Notes: []string{"left over"}}
		err := Unmarshal(marshal(t, all[:n]), &m, "earlier")
		want := filled
		want.Notes = nil
		switch {
		case n < 5:
			if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("has %d fields, at least 5", n)) {
				t.Errorf("%d of 5 required fields: error %v", n, err)
			}
			continue
		case n == 5:
			want.Late = part{}
		}
		if err != nil || !reflect.DeepEqual(m, want) {
			t.Errorf("%d fields: read as %+v, error %v; want %+v", n, m, err, want)
		}
	}
	if err := Unmarshal(marshal(t, []any{"a"}), new(part), "earlier"); err == nil {
		t.Error("a type without added fields accepts fewer")
	}
}

// TestIndefiniteLengths guards against arrays of indefinite length that are cut in the wrong place.
func TestIndefiniteLengths(t *testing.T) {
	// [_ "a", 5, (_ h'01', h'02'), [_ 1], {_ 1: 2}] in an array of indefinite length
	data := []byte{0x9f, 0x9f, 0x61, 'a', 5, 0x5f, 0x41, 1, 0x41, 2, 0xff, 0x9f, 1, 0xff, 0xbf, 1, 2, 0xff, 0xff, 0x82, 0x61, 'b', 6, 0xff}
	var parts []part
	if err := Unmarshal(data, &parts, "peer"); err != nil {
		t.Fatal(err)
	}
	if want := []part{{ID: "a", Size: 5}, {ID: "b", Size: 6}}; !reflect.DeepEqual(parts, want) {
		t.Errorf("read as %+v, want %+v", parts, want)
	}
}

// TestOtherMismatchesAreRefused guards against fields that are read as another type's.
func TestOtherMismatchesAreRefused(t *testing.T) {
	for name, data := range map[string][]byte{
		"number for a text":                 marshal(t, []any{1, 2}),
		"number for a text, a field more":   marshal(t, []any{1, 2, 3}),
		"negative for an unsigned":          marshal(t, []any{"a", -1, 3}),
		"map for an array":                  marshal(t, map[string]any{"ID": "a"}),
		"text for an array":                 marshal(t, "a"),
		"cut off":                           marshal(t, []any{"a", 1, 3})[:4],
		"bytes after the end":               append(marshal(t, []any{"a", 1, 3}), 0),
		"empty":                             nil,
		"array of impossible length":        {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"invalid text in an unknown field":  {0x83, 0x61, 'a', 1, 0x62, 'a'},
		"reserved head in an unknown field": {0x83, 0x61, 'a', 1, 0x1c},
		"nested beyond the limit":           append(append([]byte{0x83, 0x61, 'a', 1}, bytes.Repeat([]byte{0x81}, 64)...), 1),
	} {
		if err := Unmarshal(data, new(part), "peer"); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestLimitsHold guards against unknown fields beyond the decoder's limits.
func TestLimitsHold(t *testing.T) {
	d := New(cbor.DecOptions{MaxArrayElements: 16})
	if err := d.Unmarshal(marshal(t, elements(part{ID: "a"}, make([]any, 14)...)), new(part), "peer"); err != nil {
		t.Error(err)
	}
	if err := d.Unmarshal(marshal(t, elements(part{ID: "a"}, make([]any, 15)...)), new(part), "peer"); err == nil {
		t.Error("an array beyond the limit was accepted")
	}
}

// TestElement guards against a MAC over other bytes than those received.
func TestElement(t *testing.T) {
	data := marshal(t, []any{[]any{"a", 1, "unknown"}, []byte("nonce")})
	item, err := Element(data, 0)
	if want := marshal(t, []any{"a", 1, "unknown"}); err != nil || !bytes.Equal(item, want) {
		t.Errorf("element %x, error %v; want %x", item, err, want)
	}
	for _, bad := range [][]byte{nil, {0x80}, {0x82, 1}, marshal(t, "text"), marshal(t, map[int]int{0: 1})} {
		if _, err := Element(bad, 0); err == nil {
			t.Errorf("%x has an element", bad)
		}
	}
}

// TestSourcesAreBounded guards against a counter for each of ever more instances.
func TestSourcesAreBounded(t *testing.T) {
	for i := range 2 * maxSources {
		countUnknownFields(fmt.Sprint("source-", i), 1)
	}
	if n := len(sources.known); n > maxSources {
		t.Errorf("%d sources counted apart, at most %d allowed", n, maxSources)
	}
	if wiretest.UnknownFields(otherSources) == 0 {
		t.Error("sources beyond the limit are not counted")
	}
}

// FuzzUnmarshal checks that arbitrary bytes cause no panic, that a message without unknown or
// absent fields is read as by the library, and that memory is bounded by the message.
func FuzzUnmarshal(f *testing.F) {
	f.Add(marshal(f, filled))
	f.Add(marshal(f, later()))
	f.Add(marshal(f, later(1, "x", []int{2})))
	f.Add(marshal(f, later()[:5]))
	f.Add([]byte{0x9f, 0x9f, 0x9f, 0x61, 'a', 5, 1, 0xff, 0xff, 0xbf, 0xff, 0x80, 0xbf, 0xff, 0xf6, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var ours, library message
		err := Unmarshal(data, &ours, "peer")
		if strict := cbor.Unmarshal(data, &library); strict == nil && err == nil {
			if !reflect.DeepEqual(ours, library) {
				t.Errorf("read as %+v, by the library as %+v", ours, library)
			}
		} else if strict == nil {
			t.Errorf("refused with %v, accepted by the library", err)
		}
		if cbor.Wellformed(data) == nil {
			fit := fitter{}
			_, _ = fit.fit(data, reflect.TypeFor[message]())
			if limit := 4*len(data) + 64; len(fit.out) > limit {
				t.Errorf("%d bytes grew to %d", len(data), len(fit.out))
			}
		}
		_, _ = Element(data, 1)
	})
}

// TestOneDecoder guards against messages and rows that are decoded without tolerance for other
// builds, and against types that no golden test compares with the build in production.
func TestOneDecoder(t *testing.T) {
	decodes := regexp.MustCompile(`\bcbor\.(Unmarshal\w*|NewDecoder|DecOptions\{[^}]*\}\.DecMode)\(`)
	for _, dir := range []string{"internal", "platform", "cmd"} {
		root := filepath.Join("..", "..", dir)
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if name := filepath.Base(filepath.Dir(path)); name == "wire" || name == "golden" {
				return nil
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if found := decodes.Find(data); found != nil {
				t.Errorf("%s calls %s...; use wire.Unmarshal", path, found)
			}
			if bytes.Contains(data, []byte("toarray")) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(path), "golden_test.go")); err != nil {
					t.Errorf("%s has types of messages, but its package has no golden test", path)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	for name, data := range map[string][]byte{
		"same build":  marshal(b, filled),
		"later build": marshal(b, later(7)),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var m message
				if err := Unmarshal(data, &m, "peer"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/msg")
		})
	}
	b.Run("library", func(b *testing.B) {
		data := marshal(b, filled)
		b.ReportAllocs()
		for b.Loop() {
			var m message
			if err := cbor.Unmarshal(data, &m); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "B/msg")
	})
}
