package tunnel

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// openRequest is the first message on a stream: it asks for a connection to an upstream.
type openRequest struct {
	_       struct{} `cbor:",toarray"`
	Address string
	// TimeoutMillis is the time for connecting.
	TimeoutMillis uint32
}

// openCode is the result of an openRequest.
type openCode uint8

const (
	// opened: the connection is established. All further messages are its bytes; an empty
	// one is their end.
	opened openCode = iota + 1
	// noPath: the instance cannot reach the upstream either.
	noPath
	// dialRefused and dialFailed: the instance tried to connect and was refused, or failed in
	// another way.
	dialRefused
	dialFailed
	// busy: the instance has too many tunnels, or leaves.
	busy
	// notListed: the instance knows no upstream with the address.
	notListed
)

// known reports whether this build knows the code. An instance that answers with another one is
// avoided for some time, like one that does not answer.
func (c openCode) known() bool { return c >= opened && c <= notListed }

// String returns the code's name in metrics and errors.
func (c openCode) String() string {
	names := [...]string{"none", "opened", "no-path", "refused", "failed", "busy", "not-listed"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// openAnswer answers an openRequest.
type openAnswer struct {
	_    struct{} `cbor:",toarray"`
	Code openCode
	// Reaches reports whether the instance has connected to any upstream lately. If it has not,
	// its own paths may be the cause of dialRefused and dialFailed.
	Reaches bool
}

// send sends a message.
func send(ctx context.Context, s peer.Stream, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err, "encoding a message of a tunnel")
	}
	return s.Write(ctx, data)
}

// receive reads a message of another instance.
func receive(ctx context.Context, s peer.Stream, from string, message any) error {
	data, err := s.Read(ctx)
	if err != nil {
		return err
	}
	return trace.Wrap(wire.Unmarshal(data, message, from), "decoding a message of a tunnel")
}
