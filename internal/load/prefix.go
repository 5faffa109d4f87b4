package load

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

const (
	// MaxHolders bounds the upstreams that are stored for one prefix block.
	MaxHolders = 4
	// maxBlocks bounds the blocks of an index; the least recently used ones are
	// evicted.
	maxBlocks = 1 << 16
)

// holders lists the IDs of the upstreams of one block; an empty ID is a free entry.
type holders [MaxHolders]string

// PrefixHolder is an upstream that probably caches the first Tokens tokens of a
// prompt.
type PrefixHolder struct {
	ID     string
	Tokens int
}

// PrefixIndex records which upstreams probably cache which prefix blocks. It is not
// safe for concurrent use.
type PrefixIndex struct {
	blocks *simplelru.LRU[uint64, holders]
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	blocks, err := simplelru.NewLRU[uint64, holders](maxBlocks, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return &PrefixIndex{blocks: blocks}
}

// Add records that the upstream caches the block. A block with MaxHolders upstreams
// loses one of them.
func (x *PrefixIndex) Add(block uint64, id string) {
	h, _ := x.blocks.Get(block)
	for i, held := range h {
		if held == id {
			return
		}
		if held == "" {
			h[i] = id
			x.blocks.Add(block, h)
			return
		}
	}
	copy(h[1:], h[:MaxHolders-1])
	h[0] = id
	x.blocks.Add(block, h)
}

// Remove records that the upstream no longer caches the block.
func (x *PrefixIndex) Remove(block uint64, id string) {
	h, ok := x.blocks.Peek(block)
	if !ok {
		return
	}
	kept := holders{}
	n := 0
	for _, held := range h {
		if held != "" && held != id {
			kept[n] = held
			n++
		}
	}
	if n == 0 {
		x.blocks.Remove(block)
		return
	}
	x.blocks.Add(block, kept)
}

// RemoveUpstream removes an upstream that lost its cache in a restart from all
// blocks.
func (x *PrefixIndex) RemoveUpstream(id string) {
	for _, block := range x.blocks.Keys() {
		x.Remove(block, id)
	}
}

// Lookup writes to out the upstreams that hold the longest known prefix of blocks,
// which are in the order of the prompt. It returns the number of upstreams.
func (x *PrefixIndex) Lookup(blocks []uint64, out *[MaxHolders]PrefixHolder) int {
	for depth := min(len(blocks), upstream.MaxPrefixBlocks); depth > 0; depth-- {
		h, ok := x.blocks.Get(blocks[depth-1])
		if !ok {
			continue
		}
		n := 0
		for _, id := range h {
			if id != "" {
				out[n] = PrefixHolder{ID: id, Tokens: depth * upstream.BlockTokens}
				n++
			}
		}
		return n
	}
	return 0
}
