package member

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/gravitational/trace"
)

// nonceBytes is the size of the random part of a challenge.
const nonceBytes = 16

// Roles in the handshake, part of each MAC so that one side's MAC cannot be
// replayed as the other's.
const (
	macAcceptor = "acceptor"
	macDialler  = "dialler"
)

// computeMAC returns the MAC of both sides' first messages under the shared secret.
func computeMAC(secret []byte, role string, first hello, acceptor record, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(encode(first))
	mac.Write(encode(acceptor))
	mac.Write(nonce)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}

// readMessage reads one handshake message and decodes it into v.
func readMessage(ctx context.Context, conn Conn, v any) error {
	data, err := conn.Read(ctx)
	if err != nil {
		return trace.Wrap(err, "reading handshake")
	}
	return trace.Wrap(decoding.Unmarshal(data, v), "decoding handshake")
}

// dialHandshake runs the dialler's side of the handshake and returns the acceptor's
// record.
func dialHandshake(ctx context.Context, conn Conn, secret []byte, first hello) (record, error) {
	first.Version = ProtocolVersion
	first.Nonce = newNonce()
	if err := conn.Write(ctx, encode(first)); err != nil {
		return record{}, trace.Wrap(err, "sending hello")
	}
	var c challenge
	if err := readMessage(ctx, conn, &c); err != nil {
		return record{}, err
	}
	if !hmac.Equal(c.MAC, computeMAC(secret, macAcceptor+c.Refusal, first, c.From, c.Nonce)) {
		return record{}, trace.AccessDenied("acceptor does not know the shared secret")
	}
	if c.Refusal != "" {
		return record{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	answer := proof{MAC: computeMAC(secret, macDialler, first, c.From, c.Nonce)}
	if err := conn.Write(ctx, encode(answer)); err != nil {
		return record{}, trace.Wrap(err, "sending proof")
	}
	return c.From, nil
}

// acceptHandshake runs the acceptor's side of the handshake and returns the
// dialler's hello. refuse returns the reason for refusing the link, or "".
func acceptHandshake(ctx context.Context, conn Conn, secret []byte, self record, refuse func(hello) string) (hello, error) {
	var first hello
	if err := readMessage(ctx, conn, &first); err != nil {
		return hello{}, err
	}
	c := challenge{From: self, Nonce: newNonce(), Refusal: refuse(first)}
	c.MAC = computeMAC(secret, macAcceptor+c.Refusal, first, self, c.Nonce)
	if err := conn.Write(ctx, encode(c)); err != nil {
		return hello{}, trace.Wrap(err, "sending challenge")
	}
	if c.Refusal != "" {
		return hello{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	var p proof
	if err := readMessage(ctx, conn, &p); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(p.MAC, computeMAC(secret, macDialler, first, self, c.Nonce)) {
		return hello{}, trace.AccessDenied("dialler does not know the shared secret")
	}
	return first, nil
}
