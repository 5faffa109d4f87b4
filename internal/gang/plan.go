package gang

import (
	"cmp"
	"errors"
	"slices"
)

// Errors of Plan.
var (
	// ErrNeverFits says that all engines together have too little memory.
	ErrNeverFits = errors.New("the engines have too little memory together")
	// ErrNotNow says that the engines in service have too little memory.
	ErrNotNow = errors.New("the engines in service have too little memory together")
)

const (
	// MaxParts bounds the engines of one prompt.
	MaxParts = 8
	// usableShare is the part of an engine's memory that one prompt may take.
	usableShare = 0.95
)

// Engine is one engine that may hold a part.
type Engine struct {
	ID           string
	MemoryTokens int
	// Wait is an estimate of how long the engine needs to free its memory;
	// engines with less are preferred. The unit does not matter.
	Wait float64
	// InService is false for engines that take no new request at present.
	InService bool
}

// Share is the part of a prompt that one engine holds.
type Share struct {
	UpstreamID string
	Tokens     int
}

// usable returns the most tokens that one prompt may hold on the engine.
func (e Engine) usable() int { return int(usableShare * float64(e.MemoryTokens)) }

// Plan splits tokens over as few engines as possible, those in service with the
// least wait first. The shares are in the order in which they are reserved.
func Plan(engines []Engine, tokens int) ([]Share, error) {
	if capacity(engines, false) < tokens {
		return nil, ErrNeverFits
	}
	if capacity(engines, true) < tokens {
		return nil, ErrNotNow
	}
	chosen := choose(engines, tokens)
	shares := split(chosen, tokens)
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.UpstreamID, b.UpstreamID) })
	return shares, nil
}

// capacity returns what the MaxParts largest engines can hold of one prompt.
func capacity(engines []Engine, inService bool) int {
	sizes := make([]int, 0, len(engines))
	for _, e := range engines {
		if e.InService || !inService {
			sizes = append(sizes, e.usable())
		}
	}
	slices.SortFunc(sizes, func(a, b int) int { return cmp.Compare(b, a) })
	total := 0
	for _, size := range sizes[:min(len(sizes), MaxParts)] {
		total += size
	}
	return total
}

// choose returns the fewest engines that hold tokens. Among those it replaces
// the largest by engines with less wait where the sum stays enough.
func choose(engines []Engine, tokens int) []Engine {
	open := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.InService {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.MemoryTokens, a.MemoryTokens), cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.ID, b.ID))
	})
	n, total := 0, 0
	for total < tokens {
		total += open[n].usable()
		n++
	}
	chosen, rest := open[:n], open[n:]
	for i := range chosen {
		for j := range rest {
			next := total - chosen[i].usable() + rest[j].usable()
			if next >= tokens && rest[j].Wait < chosen[i].Wait {
				chosen[i], rest[j] = rest[j], chosen[i]
				total = next
			}
		}
	}
	return chosen
}

// split gives each engine a share in proportion to its memory.
func split(engines []Engine, tokens int) []Share {
	total := 0
	for _, e := range engines {
		total += e.usable()
	}
	shares := make([]Share, 0, len(engines))
	left := tokens
	for _, e := range engines {
		part := int(int64(tokens) * int64(e.usable()) / int64(total))
		shares = append(shares, Share{UpstreamID: e.ID, Tokens: part})
		left -= part
	}
	for i := 0; left > 0; i = (i + 1) % len(shares) {
		if shares[i].Tokens < engines[i].usable() {
			shares[i].Tokens++
			left--
		}
	}
	return shares
}
