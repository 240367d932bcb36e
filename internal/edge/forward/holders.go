package forward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxHeld bounds the remembered prompts; an entry takes about 150 bytes.
	maxHeld = 16384
	// heldFor is how long an engine is taken to keep a part that was sent to
	// it. Caches of today's engines turn over in about a minute.
	heldFor = 30 * time.Second
	// settleTime is how long after its first sight of engines a router takes each
	// new one for one that was there before: an outage of the store ends with
	// engines that register again within two seconds.
	settleTime = 2 * time.Second
)

// holders remembers which engines this router sent the parts of prompts to. It is
// not safe for concurrent use.
type holders struct {
	// sent is when a part was last sent to an engine, last where to.
	sent *lru.Cache[held, time.Duration]
	last *lru.Cache[string, string]
	// empty is since when an engine holds nothing that was sent to it before.
	empty map[string]time.Duration
}

// held names a part of a prompt at an engine.
type held struct{ engine, part string }

func newHolders() holders {
	// The sizes are not negative, the only reason to fail.
	sent, _ := lru.New[held, time.Duration](maxHeld)
	last, _ := lru.New[string, string](maxHeld)
	return holders{sent: sent, last: last, empty: make(map[string]time.Duration)}
}

// has says whether the engine was sent the part lately.
func (h holders) has(engine, part string, now time.Duration) bool {
	at, ok := h.sent.Get(held{engine, part})
	return ok && now-at <= heldFor && at >= h.empty[engine]
}

// forget takes an engine for empty: it has started again.
func (h holders) forget(engine string, now time.Duration) { h.empty[engine] = now }

// gone drops what is remembered of an engine that has left.
func (h holders) gone(engine string) { delete(h.empty, engine) }

// other returns the engine that the part was last sent to, if it was sent there
// lately and is not the given one.
func (h holders) other(engine, part string, now time.Duration) (string, bool) {
	last, ok := h.last.Get(part)
	if !ok || last == engine || !h.has(last, part, now) {
		return "", false
	}
	return last, true
}

// note remembers that the parts go to the engine.
func (h holders) note(engine string, parts []string, now time.Duration) {
	for _, part := range parts {
		h.sent.Add(held{engine, part}, now)
		h.last.Add(part, engine)
	}
}
