package poison

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// MaxNotices bounds the notices in one message.
const MaxNotices = 256

// maxMessageBytes bounds the size of a message that is accepted.
const maxMessageBytes = 64 << 10

// Notice is what one instance reports to the others about a fingerprint.
type Notice struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// Crashes lists the crashes in which the request was in flight, at most
	// maxCrashes.
	Crashes []Crash
	// Cleared reports whether the request completed without a crash.
	Cleared bool
}

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

// Decode decodes and validates a message.
func Decode(payload []byte) ([]Notice, error) {
	if len(payload) > maxMessageBytes {
		return nil, trace.LimitExceeded("message of %d bytes exceeds the limit", len(payload))
	}
	var notices []Notice
	if err := cbor.Unmarshal(payload, &notices); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(notices) > MaxNotices {
		return nil, trace.LimitExceeded("message of %d notices exceeds the limit", len(notices))
	}
	for _, n := range notices {
		if len(n.Crashes) > maxCrashes {
			return nil, trace.LimitExceeded("notice of %d crashes exceeds the limit", len(n.Crashes))
		}
	}
	return notices, nil
}
