package model

import "time"

// Segment is a segment of a prompt that several requests share.
type Segment struct {
	ID     string
	Tokens int
}

// cache holds prompt segments and evicts the least recently used one that no running
// request has pinned.
type cache struct {
	segments map[string]*cacheEntry
	tokens   int
	pinned   int
}

type cacheEntry struct {
	tokens   int
	lastUsed time.Duration
	pins     int
}

func newCache() *cache { return &cache{segments: make(map[string]*cacheEntry)} }

// cachedTokens returns how many tokens of the prompt are cached. A segment counts only
// if all segments before it are cached.
func (c *cache) cachedTokens(prompt []Segment) int {
	total := 0
	for _, p := range prompt {
		if c.segments[p.ID] == nil {
			break
		}
		total += p.Tokens
	}
	return total
}

// unpinnedTokens returns how many tokens of the prompt no running request has pinned.
func (c *cache) unpinnedTokens(prompt []Segment) int {
	total := 0
	for _, p := range prompt {
		if entry := c.segments[p.ID]; entry == nil || entry.pins == 0 {
			total += p.Tokens
		}
	}
	return total
}

// add inserts the prompt's segments or updates their time of use.
func (c *cache) add(prompt []Segment, now time.Duration) {
	for _, p := range prompt {
		entry := c.segments[p.ID]
		if entry == nil {
			entry = &cacheEntry{tokens: p.Tokens}
			c.segments[p.ID] = entry
			c.tokens += p.Tokens
		}
		entry.lastUsed = now
	}
}

// pin inserts the prompt's segments and keeps them until unpin.
func (c *cache) pin(prompt []Segment, now time.Duration) {
	c.add(prompt, now)
	for _, p := range prompt {
		entry := c.segments[p.ID]
		if entry.pins == 0 {
			c.pinned += entry.tokens
		}
		entry.pins++
	}
}

func (c *cache) unpin(prompt []Segment) {
	for _, p := range prompt {
		entry := c.segments[p.ID]
		if entry == nil {
			continue
		}
		entry.pins--
		if entry.pins == 0 {
			c.pinned -= entry.tokens
		}
	}
}

// pinnedTokens returns the tokens that can't be evicted.
func (c *cache) pinnedTokens() int { return c.pinned }

// evict drops segments until at most limit tokens that aren't pinned are left.
func (c *cache) evict(limit int) {
	for c.tokens-c.pinned > max(limit, 0) {
		oldest := ""
		for id, p := range c.segments {
			if p.pins == 0 && (oldest == "" || p.lastUsed < c.segments[oldest].lastUsed || p.lastUsed == c.segments[oldest].lastUsed && id < oldest) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		c.tokens -= c.segments[oldest].tokens
		delete(c.segments, oldest)
	}
}
