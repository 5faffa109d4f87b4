package member

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// ProtocolVersion is the version of the link protocol that an instance sends. It accepts its own and
// those of the builds before and after; fields that the build after has added are ignored.
const (
	ProtocolVersion = 1
	lowestVersion   = max(ProtocolVersion-1, 1)
	highestVersion  = ProtocolVersion + 1
)

// linkKind determines which messages a link carries.
type linkKind uint8

const (
	// linkOverlay carries heartbeats, gossip, broadcasts and calls.
	linkOverlay linkKind = iota + 1
	// linkDirect carries calls only.
	linkDirect
	// linkStream carries the messages of one peer.Stream.
	linkStream
)

// hello is the first message of the handshake, sent by the dialler.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Kind    linkKind
	// To is the ID that the dialler expects; another instance may have
	// taken over the address.
	To    string
	From  record
	Nonce []byte
}

// challenge is the acceptor's answer to hello.
type challenge struct {
	_     struct{} `cbor:",toarray"`
	From  record
	Nonce []byte
	MAC   []byte
	// Refusal is the reason if the acceptor refuses the link, else empty.
	Refusal string
}

// proof is the dialler's MAC, the last message of the handshake.
type proof struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
}

// message is one frame on an established link; exactly one field is set.
type message struct {
	Heartbeat *heartbeat   `cbor:"1,keyasint,omitempty"`
	Gossip    []record     `cbor:"2,keyasint,omitempty"`
	Broadcast *broadcast   `cbor:"3,keyasint,omitempty"`
	Call      *callRequest `cbor:"4,keyasint,omitempty"`
	Answer    *callAnswer  `cbor:"5,keyasint,omitempty"`
	Sync      *tableSync   `cbor:"6,keyasint,omitempty"`
	// Bye announces that the sender will close the link, so that the receiver
	// does not take the end of the link for a failure.
	Bye bool `cbor:"7,keyasint,omitempty"`
	// Prune requests that the receiver announce broadcasts on this link instead
	// of sending them.
	Prune bool `cbor:"8,keyasint,omitempty"`
	// Graft requests announced broadcasts, and that the receiver send later ones
	// on this link.
	Graft []broadcastKey `cbor:"9,keyasint,omitempty"`
}

// broadcastKey identifies a broadcast in announcements.
type broadcastKey uint64

// heartbeat shows that the sender is alive.
type heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Digest covers the sender's member table.
	Digest uint64
	// Counters are the highest known counters of the data centres.
	Counters map[string]uint64
	// Announced lists broadcasts that the sender received and did not forward
	// on this link.
	Announced []broadcastKey
}

// tableSync carries a whole member table.
type tableSync struct {
	_       struct{} `cbor:",toarray"`
	Records []record
	// Reply requests the receiver's table.
	Reply bool
}

// broadcast is flooded over the overlay.
type broadcast struct {
	_           struct{} `cbor:",toarray"`
	Origin      string
	Incarnation uint64
	Seq         uint64
	Topic       peer.Topic
	Payload     []byte
}

// callRequest calls the receiver's handler for Topic.
type callRequest struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Topic   peer.Topic
	Payload []byte
	// TimeoutMillis is the time that the caller waits for the answer.
	TimeoutMillis uint64
}

// callAnswer answers the call with the same ID on the same link.
type callAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Payload []byte
	// Error is the handler's error, or empty.
	Error string
}

// maxCollectionElements bounds arrays and maps of a received message.
const maxCollectionElements = 1 << 16

var decoding = wire.New(cbor.DecOptions{
	MaxArrayElements: maxCollectionElements,
	MaxMapPairs:      maxCollectionElements,
})

// encode returns the CBOR encoding of v. It cannot fail: all message types are
// plain data.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
