package standin

import (
	"container/list"
	"slices"
)

// cachedPrefix is a prompt prefix in the cache.
type cachedPrefix struct {
	// prefix is the hash of the first block and identifies the entry.
	prefix uint64
	// blocks are the chained block hashes that prefixBlocks returns.
	blocks []uint64
	tokens int64
}

// prefixCache is an LRU cache of prompt prefixes. The engine's lock guards it.
type prefixCache struct {
	// order lists the entries, the most recently used first.
	order *list.List
	// byHash maps cachedPrefix.prefix to the element in order.
	byHash map[uint64]*list.Element
	// tokens is the total size of the entries.
	tokens int64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byHash: map[uint64]*list.Element{}}
}

// get returns the entry of a prefix and marks it as the most recently used.
func (c *prefixCache) get(prefix uint64) (*cachedPrefix, bool) {
	el, ok := c.byHash[prefix]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(el)
	return el.Value.(*cachedPrefix), true
}

// hitShare returns the share of a prompt's blocks that are cached, from 0 to 1.
func (c *prefixCache) hitShare(blocks []uint64) float64 {
	entry, ok := c.get(blocks[0])
	if !ok {
		return 0
	}
	same := 0
	for same < len(blocks) && same < len(entry.blocks) && blocks[same] == entry.blocks[same] {
		same++
	}
	return float64(same) / float64(len(blocks))
}

// put stores an entry and replaces the one with the same first block.
func (c *prefixCache) put(entry *cachedPrefix) {
	if old, ok := c.byHash[entry.prefix]; ok {
		c.tokens -= old.Value.(*cachedPrefix).tokens
		c.order.Remove(old)
	}
	c.byHash[entry.prefix] = c.order.PushFront(entry)
	c.tokens += entry.tokens
}

// evict removes the least recently used entries until the cache holds at most limit
// tokens, and returns the removed entries.
func (c *prefixCache) evict(limit int64) []*cachedPrefix {
	var evicted []*cachedPrefix
	for c.tokens > max(limit, 0) {
		el := c.order.Back()
		entry := el.Value.(*cachedPrefix)
		c.order.Remove(el)
		delete(c.byHash, entry.prefix)
		c.tokens -= entry.tokens
		evicted = append(evicted, entry)
	}
	return slices.Clip(evicted)
}
