package forward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxHeld bounds the remembered prompts; an entry takes about 150 bytes.
	maxPromptCacheEntries = 16384
	// heldFor is how long an engine is taken to keep a part that was sent to
	// it. Caches of today's engines turn over in about a minute.
	promptCacheTTL = 30 * time.Second
	// settleTime is how long after its first sight of engines a router takes each
	// new one for one that was there before: an outage of the store ends with
	// engines that register again within two seconds.
	startupSettleTime = 2 * time.Second
)

// holders remembers which engines this router sent the parts of prompts to. It is
// not safe for concurrent use.
type promptCaches struct {
	// sent is when a part was last sent to an engine, last where to.
	sentAt     *lru.Cache[promptKey, time.Duration]
	lastEngine *lru.Cache[string, string]
	// empty is since when an engine holds nothing that was sent to it before.
	emptiedAt map[string]time.Duration
}

// held names a part of a prompt at an engine.
type promptKey struct{ engine, part string }

func newPromptCaches() promptCaches {
	// The sizes are not negative, the only reason to fail.
	sentAt, _ := lru.New[promptKey, time.Duration](maxPromptCacheEntries)
	lastEngine, _ := lru.New[string, string](maxPromptCacheEntries)
	return promptCaches{sentAt: sentAt, lastEngine: lastEngine, emptiedAt: make(map[string]time.Duration)}
}

// has says whether the engine was sent the part lately.
func (h promptCaches) contains(engine, part string, now time.Duration) bool {
	at, ok := h.sentAt.Get(promptKey{engine, part})
	return ok && now-at <= promptCacheTTL && at >= h.emptiedAt[engine]
}

// forget takes an engine for empty: it has started again.
func (h promptCaches) markEmpty(engine string, now time.Duration) { h.emptiedAt[engine] = now }

// gone drops what is remembered of an engine that has left.
func (h promptCaches) remove(engine string) { delete(h.emptiedAt, engine) }

// other returns the engine that the part was last sent to, if it was sent there
// lately and is not the given one.
func (h promptCaches) otherEngine(engine, part string, now time.Duration) (string, bool) {
	last, ok := h.lastEngine.Get(part)
	if !ok || last == engine || !h.contains(last, part, now) {
		return "", false
	}
	return last, true
}

// note remembers that the parts go to the engine.
func (h promptCaches) add(engine string, parts []string, now time.Duration) {
	for _, part := range parts {
		h.sentAt.Add(promptKey{engine, part}, now)
		h.lastEngine.Add(part, engine)
	}
}
