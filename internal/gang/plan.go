package gang

import (
	"cmp"
	"errors"
	"slices"
)

// Errors of Plan.
var (
	// ErrNeverFits is returned if the MaxParts largest engines together have too
	// little memory.
	ErrNeverFits = errors.New("total memory of the engines too small")
	// ErrNotNow is returned if the MaxParts largest engines in service together
	// have too little memory.
	ErrNotNow = errors.New("total memory of the engines in service too small")
)

const (
	// MaxParts bounds the engines of one prompt.
	MaxParts = 8
	// usableShare is the fraction of an engine's memory that one prompt may use.
	usableShare = 0.95
)

// Engine is an engine that may hold a part of a prompt.
type Engine struct {
	ID           string
	MemoryTokens int
	// Wait estimates how long the engine needs to free its memory, in any unit
	// that is the same for all; engines with less are preferred.
	Wait float64
	// InService is false for engines that currently take no new request.
	InService bool
}

// Share is the part of a prompt that one engine holds.
type Share struct {
	UpstreamID string
	Tokens     int
}

// usable returns the largest number of tokens that one prompt may hold on the
// engine.
func (e Engine) usable() int { return int(usableShare * float64(e.MemoryTokens)) }

// Plan splits tokens over as few of the engines in service as possible, and prefers
// those with the shortest wait. It returns the shares in the order in which they
// must be reserved.
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

// capacity returns how many tokens of one prompt the MaxParts largest engines can
// hold. With inService set, it considers only engines in service.
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

// choose returns the fewest engines in service that can hold tokens. It starts with
// the largest, and replaces them by engines with less wait as long as the sum is
// enough.
func choose(engines []Engine, tokens int) []Engine {
	available := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.InService {
			available = append(available, e)
		}
	}
	slices.SortFunc(available, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.MemoryTokens, a.MemoryTokens), cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.ID, b.ID))
	})
	n, total := 0, 0
	for total < tokens {
		total += available[n].usable()
		n++
	}
	chosen, rest := available[:n], available[n:]
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

// split gives each engine a share in proportion to its usable memory.
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
