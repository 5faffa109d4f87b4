// Package workload generates the sequence of requests of a scenario. The same
// seed gives the same requests. Prompt texts are generated while they are sent.
package workload

import (
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// wordDigits is the number of hexadecimal digits that one random number gives.
const wordDigits = 16

// randomText is an io.Reader of pseudo-random hexadecimal digits.
type randomText struct {
	state     uint64
	remaining int
	word      []byte
}

func newRandomText(seed uint64, digits int) *randomText {
	return &randomText{state: seed, remaining: digits}
}

// next returns the next number of the splitmix64 generator.
func (t *randomText) next() uint64 {
	t.state += 0x9e3779b97f4a7c15
	z := t.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Read implements io.Reader.
func (t *randomText) Read(p []byte) (int, error) {
	if t.remaining == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && t.remaining > 0 {
		if len(t.word) == 0 {
			var raw [wordDigits / 2]byte
			binary.LittleEndian.PutUint64(raw[:], t.next())
			t.word = hex.AppendEncode(t.word, raw[:])
		}
		m := min(copy(p[n:], t.word), t.remaining)
		t.word = t.word[m:]
		t.remaining -= m
		n += m
	}
	return n, nil
}

// Prompt describes the text of a request: a prefix that other prompts may share,
// followed by text that only this prompt has.
type Prompt struct {
	PrefixSeed   uint64
	PrefixTokens int
	Seed         uint64
	// Tokens is the length including the prefix.
	Tokens int
}

// Bytes returns the length of the text.
func (p Prompt) Bytes() int { return p.Tokens * upstream.BytesPerToken }

// Reader returns a reader that generates the text.
func (p Prompt) Reader() io.Reader {
	prefix := min(p.PrefixTokens, p.Tokens)
	return io.MultiReader(
		newRandomText(p.PrefixSeed, prefix*upstream.BytesPerToken),
		newRandomText(p.Seed, (p.Tokens-prefix)*upstream.BytesPerToken),
	)
}

// Hash returns the hash of the text, from which stand-in engines derive the
// answer.
func (p Prompt) Hash() answer.Hash {
	h := answer.NewHasher()
	// Neither the reader nor the hasher can fail.
	_, _ = io.Copy(h, p.Reader())
	return h.Sum()
}
