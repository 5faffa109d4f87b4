// Package answer defines the text that a stand-in engine generates. Each token
// is a function of the prompt's hash and the token's position, so a checker that
// knows the prompt can verify the order and completeness of an answer.
package answer

import (
	"fmt"
	"hash"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a prompt. It has 8 hexadecimal digits.
type Hash string

// hashDigits is the length of a Hash.
const hashDigits = 8

// Hasher computes the Hash of a prompt that is written in pieces.
type Hasher struct{ digest hash.Hash64 }

// NewHasher returns a Hasher for an empty prompt.
func NewHasher() *Hasher { return &Hasher{digest: xxhash.New()} }

// WriteString adds text to the prompt.
func (h *Hasher) WriteString(text string) { _, _ = io.WriteString(h.digest, text) }

// Write implements io.Writer; it never fails.
func (h *Hasher) Write(p []byte) (int, error) { return h.digest.Write(p) }

// Sum returns the hash of the text written so far.
func (h *Hasher) Sum() Hash {
	return Hash(fmt.Sprintf("%016x", h.digest.Sum64())[:hashDigits])
}

// HashOf returns the hash of a complete prompt.
func HashOf(text string) Hash {
	h := NewHasher()
	h.WriteString(text)
	return h.Sum()
}

// Token returns the token at a position, counted from 1, with its trailing
// space.
func Token(prompt Hash, position int) string {
	return fmt.Sprintf("w%d-%s ", position, prompt)
}

// Text returns the first n tokens.
func Text(prompt Hash, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Checker verifies an answer that arrives in pieces.
type Checker struct {
	prompt   Hash
	position int
	// partial is the text after the last complete token.
	partial string
}

// NewChecker returns a Checker for the answer to a prompt.
func NewChecker(prompt Hash) *Checker { return &Checker{prompt: prompt} }

// Add verifies the next piece of the answer. It returns an error if the piece
// is not the continuation of the pieces before it.
func (c *Checker) Add(piece string) error {
	text := c.partial + piece
	for {
		want := Token(c.prompt, c.position+1)
		if len(text) < len(want) {
			break
		}
		if text[:len(want)] != want {
			return fmt.Errorf("answer continues with %.40q, want token %q", text, want)
		}
		c.position++
		text = text[len(want):]
	}
	c.partial = text
	if !strings.HasPrefix(Token(c.prompt, c.position+1), text) {
		return fmt.Errorf("answer continues with %.40q, want token %q", text, Token(c.prompt, c.position+1))
	}
	return nil
}

// Tokens returns the number of complete tokens verified so far.
func (c *Checker) Tokens() int { return c.position }

// Close returns an error unless the answer has exactly want tokens.
func (c *Checker) Close(want int) error {
	if c.partial != "" || c.position != want {
		return fmt.Errorf("answer has %d tokens followed by %q, want exactly %d tokens", c.position, c.partial, want)
	}
	return nil
}
