package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"

	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/errs"
)

// ErrCache is the class of failures to encode or decode an exported KV cache.
var ErrCache = errs.Class("engine cache")

// block is the part of a prefix between two message boundaries.
type block struct {
	Hash   uint64 `json:"hash"`
	Parent uint64 `json:"parent"`
	// Tokens is the length of the prefix up to the block's end, Cost the length
	// of the block.
	Tokens int   `json:"tokens"`
	Cost   int64 `json:"cost"`
}

// prefixCache holds blocks up to a total number of tokens, with least recently
// used eviction. A chain is always touched from its end to its start, so that a
// block is never evicted before the blocks that follow it.
type prefixCache struct {
	lru    *simplelru.LRU[uint64, block]
	used   int64
	limit  int64
	report func(kind wire.CacheEventKind, b block)
}

func newPrefixCache(limit int64, report func(wire.CacheEventKind, block)) *prefixCache {
	c := &prefixCache{limit: limit, report: report}
	// NewLRU fails only if the size is not positive.
	c.lru, _ = simplelru.NewLRU[uint64, block](math.MaxInt32, nil)
	return c
}

// lookup returns the length, in tokens, of the longest cached prefix.
func (c *prefixCache) lookup(bs []chat.Boundary) int {
	for i := len(bs) - 1; i >= 0; i-- {
		if c.lru.Contains(bs[i].Hash) {
			c.touch(bs[:i+1])
			return bs[i].Tokens
		}
	}
	return 0
}

func (c *prefixCache) touch(bs []chat.Boundary) {
	for i := len(bs) - 1; i >= 0; i-- {
		c.lru.Get(bs[i].Hash)
	}
}

// store adds the prefix that ends at the last boundary.
func (c *prefixCache) store(bs []chat.Boundary) {
	chain := make([]block, len(bs))
	prev := chat.Boundary{}
	for i, b := range bs {
		chain[i] = block{Hash: b.Hash, Parent: prev.Hash, Tokens: b.Tokens, Cost: int64(b.Tokens - prev.Tokens)}
		prev = b
	}
	c.storeChain(chain)
}

func (c *prefixCache) storeChain(chain []block) {
	for _, b := range slices.Backward(chain) {
		if _, ok := c.lru.Get(b.Hash); ok {
			continue
		}
		c.lru.Add(b.Hash, b)
		c.used += b.Cost
		c.report(wire.CacheStored, b)
	}
	c.evict(c.limit)
}

// evict removes the least recently used blocks until at most limit tokens remain.
func (c *prefixCache) evict(limit int64) {
	for c.used > limit {
		_, b, ok := c.lru.RemoveOldest()
		if !ok {
			return
		}
		c.used -= b.Cost
		c.report(wire.CacheEvicted, b)
	}
}

// chain returns the cached blocks of a prefix, from its start to its end.
func (c *prefixCache) chain(prefix uint64) []block {
	var chain []block
	for {
		b, ok := c.lru.Peek(prefix)
		if !ok {
			break
		}
		chain = append(chain, b)
		prefix = b.Parent
	}
	slices.Reverse(chain)
	return chain
}

// encodeKV encodes a chain as a line of JSON, followed by filler of the cache's size.
func encodeKV(chain []block, bytesPerToken int) ([]byte, error) {
	head, err := json.Marshal(chain)
	if err != nil {
		return nil, ErrCache.Wrap(err)
	}
	size := chain[len(chain)-1].Tokens * bytesPerToken
	out := make([]byte, 0, len(head)+1+size)
	out = append(out, head...)
	out = append(out, '\n')
	return append(out, make([]byte, size)...), nil
}

func decodeKV(r io.Reader) ([]block, error) {
	br := bufio.NewReader(r)
	line, err := br.ReadBytes('\n')
	if err != nil {
		return nil, ErrCache.Wrap(err)
	}
	var chain []block
	if err := json.Unmarshal(bytes.TrimSpace(line), &chain); err != nil {
		return nil, ErrCache.Wrap(err)
	}
	if _, err := io.Copy(io.Discard, br); err != nil {
		return nil, ErrCache.Wrap(err)
	}
	return chain, nil
}
