package model

import "time"

// Part is a part of a prompt that several requests share.
type Part struct {
	ID     string
	Tokens int
}

// cache holds parts of prompts; the least recently used one that no running request
// needs yields.
type cache struct {
	parts map[string]*cached
	total int
	used  int
}

type cached struct {
	tokens int
	at     time.Duration
	users  int
}

func newCache() *cache { return &cache{parts: make(map[string]*cached)} }

// held is how many tokens of the prompt are here: a part counts if all before it do.
func (c *cache) held(prompt []Part) int {
	total := 0
	for _, p := range prompt {
		if c.parts[p.ID] == nil {
			break
		}
		total += p.Tokens
	}
	return total
}

// add puts a prompt's parts in.
func (c *cache) add(prompt []Part, now time.Duration) {
	for _, p := range prompt {
		part := c.parts[p.ID]
		if part == nil {
			part = &cached{tokens: p.Tokens}
			c.parts[p.ID] = part
			c.total += p.Tokens
		}
		part.at = now
	}
}

// use puts a prompt's parts in and keeps them until release.
func (c *cache) use(prompt []Part, now time.Duration) {
	c.add(prompt, now)
	for _, p := range prompt {
		part := c.parts[p.ID]
		if part.users == 0 {
			c.used += part.tokens
		}
		part.users++
	}
}

func (c *cache) release(prompt []Part) {
	for _, p := range prompt {
		part := c.parts[p.ID]
		if part == nil {
			continue
		}
		part.users--
		if part.users == 0 {
			c.used -= part.tokens
		}
	}
}

// inUse is the tokens that can't yield.
func (c *cache) inUse() int { return c.used }

// shrink drops parts until no more than room tokens that may yield are left.
func (c *cache) shrink(room int) {
	for c.total-c.used > max(room, 0) {
		oldest := ""
		for id, p := range c.parts {
			if p.users == 0 && (oldest == "" || p.at < c.parts[oldest].at || p.at == c.parts[oldest].at && id < oldest) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		c.total -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}
