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

// Roles in the handshake; they keep one side's MAC from serving as the other's.
const (
	macAcceptor = "acceptor"
	macDialler  = "dialler"
)

// macOf authenticates both sides' first messages with the shared secret.
func macOf(secret []byte, role string, first hello, acceptor record, nonce []byte) []byte {
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

// readInto waits for one handshake message.
func readInto(ctx context.Context, conn Conn, v any) error {
	data, err := conn.Read(ctx)
	if err != nil {
		return trace.Wrap(err, "reading handshake")
	}
	return trace.Wrap(decoding.Unmarshal(data, v), "decoding handshake")
}

// greet runs the dialler's side and returns the acceptor's record.
func greet(ctx context.Context, conn Conn, secret []byte, first hello) (record, error) {
	first.Version = protocolVersion
	first.Nonce = newNonce()
	if err := conn.Write(ctx, encode(first)); err != nil {
		return record{}, trace.Wrap(err, "sending hello")
	}
	var c challenge
	if err := readInto(ctx, conn, &c); err != nil {
		return record{}, err
	}
	if !hmac.Equal(c.MAC, macOf(secret, macAcceptor+c.Refusal, first, c.From, c.Nonce)) {
		return record{}, trace.AccessDenied("the instance does not know the shared secret")
	}
	if c.Refusal != "" {
		return record{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	answer := proof{MAC: macOf(secret, macDialler, first, c.From, c.Nonce)}
	if err := conn.Write(ctx, encode(answer)); err != nil {
		return record{}, trace.Wrap(err, "sending proof")
	}
	return c.From, nil
}

// welcome runs the acceptor's side and returns the dialler's hello. The
// function refuse returns the reason for not taking the link, or "".
func welcome(ctx context.Context, conn Conn, secret []byte, self record, refuse func(hello) string) (hello, error) {
	var first hello
	if err := readInto(ctx, conn, &first); err != nil {
		return hello{}, err
	}
	c := challenge{From: self, Nonce: newNonce(), Refusal: refuse(first)}
	c.MAC = macOf(secret, macAcceptor+c.Refusal, first, self, c.Nonce)
	if err := conn.Write(ctx, encode(c)); err != nil {
		return hello{}, trace.Wrap(err, "sending challenge")
	}
	if c.Refusal != "" {
		return hello{}, trace.AccessDenied("link refused: %s", c.Refusal)
	}
	var p proof
	if err := readInto(ctx, conn, &p); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(p.MAC, macOf(secret, macDialler, first, self, c.Nonce)) {
		return hello{}, trace.AccessDenied("the dialler does not know the shared secret")
	}
	return first, nil
}
