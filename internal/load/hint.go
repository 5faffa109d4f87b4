package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// MaxHintEntries bounds the upstreams in one hint; the least busy ones are omitted.
const MaxHintEntries = 64

// maxHintBytes bounds the encoded size of a hint that is accepted.
const maxHintBytes = 16 << 10

// Key is a hash of an upstream's ID, which stands for it in hints.
type Key uint32

// KeyOf returns the key of an upstream's ID. If two IDs have the same key, hints
// count for both upstreams, which only makes the estimates less exact.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// HintEntry is what an instance has outstanding on one upstream.
type HintEntry struct {
	_           struct{} `cbor:",toarray"`
	Key         Key
	Outstanding Outstanding
}

// Hint is what one instance has outstanding, by upstream. An upstream that is
// omitted has nothing outstanding, or less than those listed.
type Hint struct {
	_       struct{} `cbor:",toarray"`
	Entries []HintEntry
}

// EncodeHint returns the CBOR form of a hint with the first MaxHintEntries entries:
// those of exclusive upstreams, then the busiest. It sorts entries.
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

// DecodeHint decodes and validates a peer's hint.
func DecodeHint(from string, payload []byte) (Hint, error) {
	var h Hint
	if len(payload) > maxHintBytes {
		return h, trace.LimitExceeded("hint of %d bytes exceeds the limit", len(payload))
	}
	if err := wire.Unmarshal(payload, &h, from); err != nil {
		return h, trace.Wrap(err)
	}
	if len(h.Entries) > MaxHintEntries {
		return h, trace.LimitExceeded("hint of %d entries exceeds the limit", len(h.Entries))
	}
	for _, e := range h.Entries {
		if !e.Outstanding.valid() {
			return h, trace.BadParameter("hint amounts must not be negative or implausible")
		}
	}
	return h, nil
}

// maxHintWorkTokens bounds the plausible amounts of work.
const maxHintWorkTokens = 1e12

// total returns the sum of the work of all sizes.
func (o Outstanding) total() float64 {
	sum := 0.0
	for _, work := range o.Work {
		sum += work
	}
	return sum
}

// valid reports whether no amount is negative, not a number or implausible.
func (o Outstanding) valid() bool {
	for _, work := range o.Work {
		if !(work >= 0 && work < maxHintWorkTokens) {
			return false
		}
	}
	return o.Streams >= 0 && o.LongStreams >= 0 && o.MemoryTokens >= 0
}
