package standin

import (
	"container/list"
	"slices"
)

// cachedPrefix is a prompt prefix in the cache.
type cachedPrefix struct {
	prefix uint64
	blocks []uint64
	tokens int64
}

// prefixCache holds prefixes, the least recently used last.
type prefixCache struct {
	order  *list.List
	byHash map[uint64]*list.Element
	tokens int64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byHash: map[uint64]*list.Element{}}
}

func (c *prefixCache) get(prefix uint64) (*cachedPrefix, bool) {
	el, ok := c.byHash[prefix]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(el)
	return el.Value.(*cachedPrefix), true
}

// hitShare returns the share of a prompt's blocks that the cache holds.
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

// put stores a prefix in place of an older one with the same start.
func (c *prefixCache) put(entry *cachedPrefix) {
	if old, ok := c.byHash[entry.prefix]; ok {
		c.tokens -= old.Value.(*cachedPrefix).tokens
		c.order.Remove(old)
	}
	c.byHash[entry.prefix] = c.order.PushFront(entry)
	c.tokens += entry.tokens
}

// evict removes the least recently used prefixes until at most limit tokens
// are held, and returns them.
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
