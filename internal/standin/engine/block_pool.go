package engine

import "container/list"

// blockPool tracks the KV cache blocks of the engine memory. Private blocks
// belong to one sequence. Cached blocks hold a segment of a prompt prefix;
// sequences may share them, and they stay until their space is needed. The
// engine's mutex guards it.
type blockPool struct {
	total         int
	privateBlocks int
	// cachedBlocks maps the hash of the prefix to its block.
	cachedBlocks map[uint64]*kvBlock
	// idleBlocks lists the cached blocks that no sequence uses, least recently
	// used first.
	idleBlocks *list.List
	// onChange is called for each block that enters or leaves the cache.
	onChange func(prefix uint64, evicted bool)
}

// kvBlock is a cached block.
type kvBlock struct {
	prefix uint64
	// refs is the number of sequences that use the block.
	refs int
	// idleElement is the element in blockPool.idleBlocks; nil while in use.
	idleElement *list.Element
}

func newBlockPool(total int, onChange func(uint64, bool)) *blockPool {
	return &blockPool{total: total, cachedBlocks: make(map[uint64]*kvBlock), idleBlocks: list.New(), onChange: onChange}
}

// free returns the number of blocks available to a new sequence, including
// those that can be evicted.
func (b *blockPool) free() int {
	return b.total - b.privateBlocks - len(b.cachedBlocks) + b.idleBlocks.Len()
}

// hits returns the number of leading prefixes that are cached.
func (b *blockPool) hits(prefixes []uint64) int {
	for i, prefix := range prefixes {
		if b.cachedBlocks[prefix] == nil {
			return i
		}
	}
	return len(prefixes)
}

// reserve allocates need blocks, using the cached blocks of the leading
// prefixes where possible, and returns the number of cached blocks used. It
// returns false and allocates nothing if there is not enough space.
func (b *blockPool) reserve(prefixes []uint64, need int) (int, bool) {
	hits := b.hits(prefixes)
	idleHits := 0
	for _, prefix := range prefixes[:hits] {
		if b.cachedBlocks[prefix].refs == 0 {
			idleHits++
		}
	}
	if b.free()-idleHits < need-hits {
		return 0, false
	}
	for _, prefix := range prefixes[:hits] {
		b.acquire(b.cachedBlocks[prefix])
	}
	b.privateBlocks += need - hits
	b.evict()
	return hits, true
}

// publish turns private blocks of a sequence into cached ones after their
// prefill. It returns their number.
func (b *blockPool) publish(prefixes []uint64) int {
	for _, prefix := range prefixes {
		b.privateBlocks--
		block := b.cachedBlocks[prefix]
		if block == nil {
			block = &kvBlock{prefix: prefix}
			b.cachedBlocks[prefix] = block
			b.onChange(prefix, false)
		}
		b.acquire(block)
	}
	return len(prefixes)
}

// release frees the private blocks of a sequence and drops its references to
// cached ones.
func (b *blockPool) release(shared []uint64, private int) {
	b.privateBlocks -= private
	for _, prefix := range shared {
		block := b.cachedBlocks[prefix]
		block.refs--
		if block.refs == 0 {
			block.idleElement = b.idleBlocks.PushBack(block)
		}
	}
}

// acquire adds a reference to a cached block.
func (b *blockPool) acquire(block *kvBlock) {
	block.refs++
	if block.idleElement != nil {
		b.idleBlocks.Remove(block.idleElement)
		block.idleElement = nil
	}
}

// evict removes the least recently used idle blocks until all blocks fit.
func (b *blockPool) evict() {
	for b.privateBlocks+len(b.cachedBlocks) > b.total && b.idleBlocks.Len() > 0 {
		oldest := b.idleBlocks.Front()
		block := b.idleBlocks.Remove(oldest).(*kvBlock)
		delete(b.cachedBlocks, block.prefix)
		b.onChange(block.prefix, true)
	}
}
