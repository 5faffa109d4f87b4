package poison

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// MaxNotices bounds the notices in one message.
const MaxNotices = 256

// maxMessageBytes bounds the size of a message that is accepted.
const maxMessageBytes = 64 << 10

// Notice is what one instance reports to the others about a request, a prompt part or a
// proof of a PartTable.
type Notice struct {
	_ struct{} `cbor:",toarray"`
	// Fingerprint is that of the request, or the part.
	Fingerprint uint64
	// Crashes lists the crashes in which the request or part was in flight, at most
	// maxPartCrashes.
	Crashes []Crash
	// Cleared reports whether a request completed without a crash.
	Cleared bool
	// IsPart reports whether the notice is about a part.
	IsPart bool
	// Parts, if not empty, are parts one of which crashes upstreams. The crashes are then
	// those of the part, if it is a single one.
	Parts []uint64
}

// AboutParts reports whether the notice is for a PartTable.
func (n *Notice) AboutParts() bool { return n.IsPart || len(n.Parts) > 0 }

// Messages returns the CBOR form of the notices, in messages of at most MaxNotices.
func Messages(notices []Notice) ([][]byte, error) {
	var messages [][]byte
	for chunk := range slices.Chunk(notices, MaxNotices) {
		data, err := Encode(chunk)
		if err != nil {
			return nil, err
		}
		messages = append(messages, data)
	}
	return messages, nil
}

// Encode returns the CBOR form of the first MaxNotices notices.
func Encode(notices []Notice) ([]byte, error) {
	data, err := cbor.Marshal(notices[:min(len(notices), MaxNotices)])
	return data, trace.Wrap(err)
}

// Decode decodes and validates a message of another instance.
func Decode(from string, payload []byte) ([]Notice, error) {
	if len(payload) > maxMessageBytes {
		return nil, trace.LimitExceeded("message of %d bytes exceeds the limit", len(payload))
	}
	var notices []Notice
	if err := wire.Unmarshal(payload, &notices, from); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(notices) > MaxNotices {
		return nil, trace.LimitExceeded("message of %d notices exceeds the limit", len(notices))
	}
	for _, n := range notices {
		if len(n.Crashes) > maxPartCrashes || len(n.Crashes) > maxCrashes && !n.AboutParts() {
			return nil, trace.LimitExceeded("notice of %d crashes exceeds the limit", len(n.Crashes))
		}
		if len(n.Parts) > MaxParts {
			return nil, trace.LimitExceeded("notice of %d parts exceeds the limit", len(n.Parts))
		}
	}
	return notices, nil
}
