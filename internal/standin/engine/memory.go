package engine

import (
	"container/list"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// block is one block of the prefix cache, upstream.BlockTokens long.
type block struct {
	hash string
	// refs counts the streams and holds that use the block. A block without
	// references is in the LRU list and may be evicted.
	refs int
	idle *list.Element
}

// memory accounts for an engine's KV memory in tokens. Blocks of the prefix
// cache are shared; everything else belongs to one stream or hold.
type memory struct {
	capacity int
	// private counts the tokens that belong to one stream or hold each.
	private int
	blocks  map[string]*block
	// lru holds blocks without references, the least recently used first.
	lru *list.List
	// onChange is called with the hashes of added or evicted blocks.
	onChange func(added, removed []string)
}

func newMemory(capacity int, onChange func(added, removed []string)) *memory {
	return &memory{capacity: capacity, blocks: map[string]*block{}, lru: list.New(), onChange: onChange}
}

// used returns the tokens in use, unreferenced cache blocks included.
func (m *memory) used() int { return m.private + len(m.blocks)*upstream.BlockTokens }

// pinned returns the tokens that eviction can't free.
func (m *memory) pinned() int { return m.used() - m.lru.Len()*upstream.BlockTokens }

// allocate allocates n private tokens and evicts blocks if needed. It changes
// nothing and returns false if eviction can't free enough.
func (m *memory) allocate(n int) bool {
	if m.pinned()+n > m.capacity {
		return false
	}
	m.evict(m.used() + n - m.capacity)
	m.private += n
	return true
}

// evict frees unreferenced blocks until n tokens are free or none is left.
func (m *memory) evict(n int) {
	var removed []string
	for ; n > 0 && m.lru.Len() > 0; n -= upstream.BlockTokens {
		b := m.lru.Remove(m.lru.Front()).(*block)
		delete(m.blocks, b.hash)
		removed = append(removed, b.hash)
	}
	if len(removed) > 0 {
		m.onChange(nil, removed)
	}
}

// free releases n private tokens.
func (m *memory) free(n int) { m.private -= n }

// match returns the number of leading blocks of hashes that are cached.
func (m *memory) match(hashes []string) int {
	for i, h := range hashes {
		if m.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// ref adds a reference to each of the cached blocks.
func (m *memory) ref(hashes []string) {
	for _, h := range hashes {
		b := m.blocks[h]
		b.refs++
		if b.idle != nil {
			m.lru.Remove(b.idle)
			b.idle = nil
		}
	}
}

// unref removes a reference from each block. The last block of a prefix becomes
// idle first, so that eviction shortens prefixes from the end.
func (m *memory) unref(hashes []string) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := m.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = m.lru.PushBack(b)
		}
	}
}

// share converts private tokens into cached blocks that the caller references. If
// a block is cached already, it is referenced and the private tokens are freed.
func (m *memory) share(hashes []string) {
	var added []string
	for _, h := range hashes {
		m.private -= upstream.BlockTokens
		if m.blocks[h] == nil {
			m.blocks[h] = &block{hash: h}
			added = append(added, h)
		}
		m.ref([]string{h})
	}
	if len(added) > 0 {
		m.onChange(added, nil)
	}
}
