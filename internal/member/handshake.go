package member

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// handshakeSource is the source of handshake messages in metrics: their sender is not yet
// known to be the instance that they name.
const handshakeSource = "handshake"

// challengeFrom is the position of challenge.From.
const challengeFrom = 0

// nonceBytes is the size of the random part of a challenge.
const nonceBytes = 16

// Roles in the handshake, part of each MAC so that one side's MAC cannot be
// replayed as the other's.
const (
	macAcceptor = "acceptor"
	macDialler  = "dialler"
)

// computeMAC returns the MAC of the dialler's hello and the acceptor's record under the shared
// secret. Both are the bytes that were sent, which may hold fields that the receiver does not
// know.
func computeMAC(secret []byte, role string, first, acceptor, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(first)
	mac.Write(acceptor)
	mac.Write(nonce)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}

// readMessage reads one handshake message, decodes it into v and returns its bytes.
func readMessage(ctx context.Context, conn Conn, v any) ([]byte, error) {
	data, err := conn.Read(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "reading handshake")
	}
	return data, trace.Wrap(decoding.Unmarshal(data, v, handshakeSource), "decoding handshake")
}

// dialHandshake runs the dialler's side of the handshake and returns the acceptor's
// record.
func dialHandshake(ctx context.Context, conn Conn, secret []byte, first hello) (record, error) {
	first.Version = ProtocolVersion
	first.Nonce = newNonce()
	sent := encode(first)
	if err := conn.Write(ctx, sent); err != nil {
		return record{}, trace.Wrap(err, "sending hello")
	}
	var c challenge
	received, err := readMessage(ctx, conn, &c)
	if err != nil {
		return record{}, err
	}
	acceptor, err := wire.Element(received, challengeFrom)
	if err != nil {
		return record{}, trace.Wrap(err, "decoding handshake")
	}
	if !hmac.Equal(c.MAC, computeMAC(secret, macAcceptor+c.Refusal, sent, acceptor, c.Nonce)) {
		return record{}, trace.AccessDenied("acceptor does not know the shared secret")
	}
	if c.Refusal != "" {
		return record{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	answer := proof{MAC: computeMAC(secret, macDialler, sent, acceptor, c.Nonce)}
	if err := conn.Write(ctx, encode(answer)); err != nil {
		return record{}, trace.Wrap(err, "sending proof")
	}
	return c.From, nil
}

// acceptHandshake runs the acceptor's side of the handshake and returns the
// dialler's hello. refuse returns the reason for refusing the link, or "".
func acceptHandshake(ctx context.Context, conn Conn, secret []byte, self record, refuse func(hello) string) (hello, error) {
	var first hello
	received, err := readMessage(ctx, conn, &first)
	if err != nil {
		return hello{}, err
	}
	acceptor := encode(self)
	c := challenge{From: self, Nonce: newNonce(), Refusal: refuse(first)}
	c.MAC = computeMAC(secret, macAcceptor+c.Refusal, received, acceptor, c.Nonce)
	if err := conn.Write(ctx, encode(c)); err != nil {
		return hello{}, trace.Wrap(err, "sending challenge")
	}
	if c.Refusal != "" {
		return hello{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	var p proof
	if _, err := readMessage(ctx, conn, &p); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(p.MAC, computeMAC(secret, macDialler, received, acceptor, c.Nonce)) {
		return hello{}, trace.AccessDenied("dialler does not know the shared secret")
	}
	return first, nil
}
