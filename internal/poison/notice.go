package poison

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// MaxNotices bounds the notices of one message.
const MaxNotices = 256

// maxMessageBytes bounds a message that is decoded.
const maxMessageBytes = 64 << 10

// Notice tells other instances what is known of one fingerprint.
type Notice struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// Crashes lists the crashes seen, at most maxCrashes.
	Crashes []Crash
	// Cleared says that the request ran to its end.
	Cleared bool
}

// Encode returns the CBOR form of the first MaxNotices notices.
func Encode(notices []Notice) ([]byte, error) {
	data, err := cbor.Marshal(notices[:min(len(notices), MaxNotices)])
	return data, trace.Wrap(err)
}

// Decode checks and decodes a message.
func Decode(payload []byte) ([]Notice, error) {
	if len(payload) > maxMessageBytes {
		return nil, trace.LimitExceeded("message of %d bytes", len(payload))
	}
	var notices []Notice
	if err := cbor.Unmarshal(payload, &notices); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(notices) > MaxNotices {
		return nil, trace.LimitExceeded("message of %d notices", len(notices))
	}
	for _, n := range notices {
		if len(n.Crashes) > maxCrashes {
			return nil, trace.LimitExceeded("notice of %d crashes", len(n.Crashes))
		}
	}
	return notices, nil
}
