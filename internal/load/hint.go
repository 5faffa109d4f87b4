package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// MaxHintEntries bounds the upstreams in one hint; the busiest are kept.
const MaxHintEntries = 64

// maxHintBytes bounds a hint that is decoded.
const maxHintBytes = 16 << 10

// Key is a short form of an upstream's ID.
type Key uint32

// KeyOf returns the key of an upstream's ID. Two IDs can share one; the hint
// then counts for both, which only makes the estimate less exact.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// HintEntry is what an instance has outstanding on one upstream.
type HintEntry struct {
	_           struct{} `cbor:",toarray"`
	Key         Key
	Outstanding Outstanding
}

// Hint is what one instance has outstanding, upstream by upstream. An upstream
// that is left out has nothing outstanding or less than those listed.
type Hint struct {
	_       struct{} `cbor:",toarray"`
	Entries []HintEntry
}

// EncodeHint returns the CBOR form of the busiest MaxHintEntries entries.
func EncodeHint(entries []HintEntry) ([]byte, error) {
	slices.SortFunc(entries, func(a, b HintEntry) int {
		if a.Outstanding.Exclusive != b.Outstanding.Exclusive {
			if a.Outstanding.Exclusive {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Outstanding.total(), a.Outstanding.total())
	})
	if len(entries) > MaxHintEntries {
		entries = entries[:MaxHintEntries]
	}
	data, err := cbor.Marshal(Hint{Entries: entries})
	return data, trace.Wrap(err)
}

// DecodeHint checks and decodes a peer's hint.
func DecodeHint(payload []byte) (Hint, error) {
	var h Hint
	if len(payload) > maxHintBytes {
		return h, trace.LimitExceeded("hint of %d bytes", len(payload))
	}
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return h, trace.Wrap(err)
	}
	if len(h.Entries) > MaxHintEntries {
		return h, trace.LimitExceeded("hint of %d entries", len(h.Entries))
	}
	for _, e := range h.Entries {
		if !e.Outstanding.valid() {
			return h, trace.BadParameter("hint with a negative amount")
		}
	}
	return h, nil
}

// maxHintWork bounds a plausible amount of work in tokens.
const maxHintWork = 1e12

// total returns the work of all sizes.
func (o Outstanding) total() float64 {
	sum := 0.0
	for _, work := range o.Work {
		sum += work
	}
	return sum
}

// valid rejects negative, not-a-number and implausible amounts.
func (o Outstanding) valid() bool {
	for _, work := range o.Work {
		if !(work >= 0 && work < maxHintWork) {
			return false
		}
	}
	return o.Streams >= 0 && o.LongStreams >= 0 && o.Memory >= 0
}
