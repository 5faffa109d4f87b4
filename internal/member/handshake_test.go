package member

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// pipeConn is one end of a connection in memory. It keeps what was written to it.
type pipeConn struct {
	in   <-chan []byte
	out  chan<- []byte
	sent [][]byte
	// change, if set, replaces message i on its way.
	change func(i int, data []byte) []byte
}

func newPipe() (a, b *pipeConn) {
	ab, ba := make(chan []byte, 4), make(chan []byte, 4)
	return &pipeConn{in: ba, out: ab}, &pipeConn{in: ab, out: ba}
}

func (c *pipeConn) Read(ctx context.Context) ([]byte, error) {
	select {
	case data, ok := <-c.in:
		if !ok {
			return nil, io.EOF
		}
		return data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *pipeConn) Write(_ context.Context, data []byte) error {
	if c.change != nil {
		data = c.change(len(c.sent), data)
	}
	c.sent = append(c.sent, data)
	c.out <- data
	return nil
}

func (c *pipeConn) Close() { close(c.out) }

// side is one side's implementation of the handshake.
type side struct {
	dial   func(ctx context.Context, conn Conn, secret []byte, first hello) (record, error)
	accept func(ctx context.Context, conn Conn, secret []byte, self record, refuse func(hello) string) (hello, error)
}

var ours = side{dialHandshake, acceptHandshake}

// strict is the handshake of builds up to 361f2d3, which read no message with unknown fields and
// encode what they have read for the MAC.
var strict = side{
	dial: func(ctx context.Context, conn Conn, secret []byte, first hello) (record, error) {
		first.Version, first.Nonce = 1, newNonce()
		_ = conn.Write(ctx, encode(first))
		var c challenge
		if err := readStrict(ctx, conn, &c); err != nil {
			return record{}, err
		}
		if !hmac.Equal(c.MAC, macStrict(secret, "acceptor"+c.Refusal, first, c.From, c.Nonce)) {
			return record{}, errors.New("acceptor does not know the shared secret")
		}
		if c.Refusal != "" {
			return record{}, errors.New("link refused: " + c.Refusal)
		}
		return c.From, conn.Write(ctx, encode(proof{MAC: macStrict(secret, "dialler", first, c.From, c.Nonce)}))
	},
	accept: func(ctx context.Context, conn Conn, secret []byte, self record, refuse func(hello) string) (hello, error) {
		var first hello
		if err := readStrict(ctx, conn, &first); err != nil {
			return hello{}, err
		}
		c := challenge{From: self, Nonce: newNonce(), Refusal: refuse(first)}
		c.MAC = macStrict(secret, "acceptor"+c.Refusal, first, self, c.Nonce)
		_ = conn.Write(ctx, encode(c))
		if c.Refusal != "" {
			return hello{}, errors.New("link refused: " + c.Refusal)
		}
		var p proof
		if err := readStrict(ctx, conn, &p); err != nil {
			return hello{}, err
		}
		if !hmac.Equal(p.MAC, macStrict(secret, "dialler", first, self, c.Nonce)) {
			return hello{}, errors.New("dialler does not know the shared secret")
		}
		return first, nil
	},
}

func readStrict(ctx context.Context, conn Conn, v any) error {
	data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, v)
}

func macStrict(secret []byte, role string, first hello, acceptor record, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(encode(first))
	mac.Write(encode(acceptor))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// laterRecord, laterHello and laterChallenge are the types of a build with more fields.
type laterRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Seq         uint64
	Status      status
	Leaving     bool
	Address     string
	DataCentre  string
	Region      string
	Capacity    uint32
	Build       string
	Features    []string
}

type laterHello struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Kind    linkKind
	To      string
	From    laterRecord
	Nonce   []byte
	Highest int
}

type laterChallenge struct {
	_       struct{} `cbor:",toarray"`
	From    laterRecord
	Nonce   []byte
	MAC     []byte
	Refusal string
	Extra   map[string]int
}

func laterRecordOf(r record) laterRecord {
	return laterRecord{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, DataCentre: r.DataCentre, Build: "later", Features: []string{"x"}}
}

func macLater(secret []byte, role string, first, acceptor, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), first, acceptor, nonce} {
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// later is the handshake of a build that sends more fields.
var later = side{
	dial: func(ctx context.Context, conn Conn, secret []byte, first hello) (record, error) {
		h := laterHello{Version: 2, Kind: first.Kind, To: first.To, From: laterRecordOf(first.From), Nonce: newNonce(), Highest: 2}
		_ = conn.Write(ctx, encode(h))
		var c challenge
		if err := readStrict(ctx, conn, &c); err != nil {
			return record{}, err
		}
		if !hmac.Equal(c.MAC, macLater(secret, "acceptor"+c.Refusal, encode(h), encode(c.From), c.Nonce)) {
			return record{}, errors.New("acceptor does not know the shared secret")
		}
		return c.From, conn.Write(ctx, encode(proof{MAC: macLater(secret, "dialler", encode(h), encode(c.From), c.Nonce)}))
	},
	accept: func(ctx context.Context, conn Conn, secret []byte, self record, _ func(hello) string) (hello, error) {
		data, err := conn.Read(ctx)
		if err != nil {
			return hello{}, err
		}
		var first hello
		if err := cbor.Unmarshal(data, &first); err != nil {
			return hello{}, err
		}
		acceptor := encode(laterRecordOf(self))
		c := laterChallenge{From: laterRecordOf(self), Nonce: newNonce(), Extra: map[string]int{"x": 1}}
		c.MAC = macLater(secret, "acceptor", data, acceptor, c.Nonce)
		_ = conn.Write(ctx, encode(c))
		var p proof
		if err := readStrict(ctx, conn, &p); err != nil {
			return hello{}, err
		}
		if !hmac.Equal(p.MAC, macLater(secret, "dialler", data, acceptor, c.Nonce)) {
			return hello{}, errors.New("dialler does not know the shared secret")
		}
		return first, nil
	},
}

var (
	dialler  = record{ID: "d", Incarnation: 5, Address: "x", DataCentre: "a", Region: "r", Capacity: 2000}
	acceptor = record{ID: "e", Incarnation: 1 << 40, Leaving: true, Address: "y", DataCentre: "b"}
)

// outcome is what both sides have read and sent in a handshake.
type outcome struct {
	dialled            record
	accepted           hello
	dialErr, acceptErr error
	// sent holds the messages of the dialler, then those of the acceptor.
	sent [][]byte
}

// Sides of a handshake.
const (
	fromDialler = iota
	fromAcceptor
)

// shakeHands runs a handshake that the acceptor refuses if refusal is not empty. Change, if set,
// is applied to the messages of a side.
func shakeHands(t *testing.T, d, a side, refusal string, from int, change func(int, []byte) []byte) outcome {
	t.Helper()
	left, right := newPipe()
	[]*pipeConn{fromDialler: left, fromAcceptor: right}[from].change = change
	var o outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer right.Close()
		o.accepted, o.acceptErr = a.accept(t.Context(), right, []byte("s"), acceptor, func(hello) string { return refusal })
	}()
	o.dialled, o.dialErr = d.dial(t.Context(), left, []byte("s"), hello{Kind: linkOverlay, To: "e", From: dialler})
	left.Close()
	<-done
	o.sent = append(left.sent, right.sent...)
	return o
}

// TestBuildsLink guards against builds that refuse each other's handshake.
func TestBuildsLink(t *testing.T) {
	for _, c := range []struct {
		name            string
		dialler, accept side
	}{
		{"one build", ours, ours},
		{"dialled by 361f2d3", strict, ours},
		{"dialling 361f2d3", ours, strict},
		{"dialled by a later build", later, ours},
		{"dialling a later build", ours, later},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := shakeHands(t, c.dialler, c.accept, "", fromDialler, nil)
			if o.dialErr != nil || o.acceptErr != nil {
				t.Fatalf("dialler's error %v, acceptor's error %v", o.dialErr, o.acceptErr)
			}
			if o.dialled.ID != "e" || o.dialled.Address != "y" || o.accepted.From.ID != "d" || o.accepted.Kind != linkOverlay {
				t.Errorf("dialler read %+v, acceptor read %+v", o.dialled, o.accepted)
			}
		})
	}
}

// TestRefusalIsReadByBothBuilds guards against refusals that look like a wrong secret.
func TestRefusalIsReadByBothBuilds(t *testing.T) {
	for _, c := range [][2]side{{ours, ours}, {strict, ours}, {ours, strict}} {
		o := shakeHands(t, c[0], c[1], "too many links", fromDialler, nil)
		for _, err := range []error{o.dialErr, o.acceptErr} {
			if err == nil || !strings.Contains(err.Error(), "link refused: too many links") {
				t.Errorf("error %v, want the refusal", err)
			}
		}
	}
}

// TestHandshakeSendsWhatProductionReads guards against a handshake that 361f2d3 can't read.
func TestHandshakeSendsWhatProductionReads(t *testing.T) {
	o := shakeHands(t, ours, ours, "", fromDialler, nil)
	if o.dialErr != nil || o.acceptErr != nil {
		t.Fatal(o.dialErr, o.acceptErr)
	}
	if o.accepted.Version != 1 {
		t.Errorf("version %d is sent, 361f2d3 refuses all but 1", o.accepted.Version)
	}
	for i, v := range []any{new(hello), new(proof), new(challenge)} {
		if err := cbor.Unmarshal(o.sent[i], v); err != nil {
			t.Errorf("%T: %v", v, err)
		} else if !bytes.Equal(encode(v), o.sent[i]) {
			t.Errorf("%T is sent as %x, 361f2d3 encodes it as %x for the MAC", v, o.sent[i], encode(v))
		}
	}
}

// TestChangedHandshakeIsRefused guards against unknown fields that the MAC doesn't cover.
func TestChangedHandshakeIsRefused(t *testing.T) {
	replaceInFirst := func(old, replacement string) func(int, []byte) []byte {
		return func(i int, data []byte) []byte {
			if i > 0 {
				return data
			}
			if !bytes.Contains(data, []byte(old)) {
				t.Errorf("the first message does not contain %q", old)
			}
			return bytes.Replace(data, []byte(old), []byte(replacement), 1)
		}
	}
	if o := shakeHands(t, later, ours, "", fromDialler, replaceInFirst("later", "other")); o.acceptErr == nil && o.dialErr == nil {
		t.Error("a hello whose unknown field was changed on its way is accepted")
	}
	if o := shakeHands(t, ours, later, "", fromAcceptor, replaceInFirst("later", "other")); o.dialErr == nil {
		t.Error("a record whose unknown field was changed on its way is accepted")
	}
	if o := shakeHands(t, ours, ours, "", fromDialler, replaceInFirst("\x61r", "\x61q")); o.dialErr == nil {
		t.Error("a hello that was changed on its way is accepted")
	}
}
