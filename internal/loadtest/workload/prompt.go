// Package workload turns a scenario into a sequence of requests. The same seed
// gives the same requests, and prompts are generated while they are sent.
package workload

import (
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// wordBytes is the length of the pieces that a text is made of.
const wordBytes = 16

// text is an io.Reader of n pseudo-random hexadecimal digits.
type text struct {
	state uint64
	left  int
	word  []byte
}

func newText(seed uint64, n int) *text { return &text{state: seed, left: n} }

// next is one step of the splitmix64 generator.
func (t *text) next() uint64 {
	t.state += 0x9e3779b97f4a7c15
	z := t.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Read implements io.Reader.
func (t *text) Read(p []byte) (int, error) {
	if t.left == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && t.left > 0 {
		if len(t.word) == 0 {
			var raw [wordBytes / 2]byte
			binary.LittleEndian.PutUint64(raw[:], t.next())
			t.word = hex.AppendEncode(t.word, raw[:])
		}
		m := min(copy(p[n:], t.word), t.left)
		t.word = t.word[m:]
		t.left -= m
		n += m
	}
	return n, nil
}

// Prompt is the text of a request: a prefix that others may share, and a rest of
// its own.
type Prompt struct {
	PrefixSeed   uint64
	PrefixTokens int
	Seed         uint64
	// Tokens is the length with the prefix.
	Tokens int
}

// Bytes returns the length of the text.
func (p Prompt) Bytes() int { return p.Tokens * upstream.BytesPerToken }

// Reader returns a reader of the text.
func (p Prompt) Reader() io.Reader {
	prefix := min(p.PrefixTokens, p.Tokens)
	return io.MultiReader(
		newText(p.PrefixSeed, prefix*upstream.BytesPerToken),
		newText(p.Seed, (p.Tokens-prefix)*upstream.BytesPerToken),
	)
}

// Hash returns the hash that decides the answer's text.
func (p Prompt) Hash() answer.Hash {
	h := answer.NewHasher()
	// Neither the reader nor the hasher can fail.
	_, _ = io.Copy(h, p.Reader())
	return h.Sum()
}
