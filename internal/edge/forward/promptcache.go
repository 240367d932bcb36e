package forward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPromptCacheEntries limits the recorded prompt parts. An entry takes about 150 bytes.
	maxPromptCacheEntries = 16384
	// promptCacheTTL is how long an engine is assumed to cache a part that was sent to it. On
	// current engines, the cached parts are replaced within about a minute.
	promptCacheTTL = 30 * time.Second
	// startupSettleTime is the period after a router first observes an engine in which it treats
	// each engine that appears as one that was running before. After an outage of the store,
	// engines register again within two seconds.
	startupSettleTime = 2 * time.Second
)

// promptCaches records which prompt parts this router has sent to which engines. It is not safe for
// concurrent use.
type promptCaches struct {
	// sentAt is the reading of the boot clock when a part was last sent to an engine. lastEngine is
	// the engine to which a part was last sent.
	sentAt     *lru.Cache[promptKey, time.Duration]
	lastEngine *lru.Cache[string, string]
	// emptiedAt is the reading of the boot clock when an engine's cache was last found to be empty.
	// Parts that were sent earlier are not assumed to be cached.
	emptiedAt map[string]time.Duration
}

// promptKey identifies a prompt part at an engine.
type promptKey struct{ engine, part string }

func newPromptCaches() promptCaches {
	// lru.New fails only for sizes that are not positive.
	sentAt, _ := lru.New[promptKey, time.Duration](maxPromptCacheEntries)
	lastEngine, _ := lru.New[string, string](maxPromptCacheEntries)
	return promptCaches{sentAt: sentAt, lastEngine: lastEngine, emptiedAt: make(map[string]time.Duration)}
}

// contains reports whether the engine was sent the part within promptCacheTTL and has not been
// emptied since.
func (h promptCaches) contains(engine, part string, now time.Duration) bool {
	at, ok := h.sentAt.Get(promptKey{engine, part})
	return ok && now-at <= promptCacheTTL && at >= h.emptiedAt[engine]
}

// markEmpty records that the engine's cache is empty, for example after a restart.
func (h promptCaches) markEmpty(engine string, now time.Duration) { h.emptiedAt[engine] = now }

// remove drops the state of a removed engine.
func (h promptCaches) remove(engine string) { delete(h.emptiedAt, engine) }

// otherEngine returns the engine that the part was last sent to, if that engine still caches it and
// is not the given one.
func (h promptCaches) otherEngine(engine, part string, now time.Duration) (string, bool) {
	last, ok := h.lastEngine.Get(part)
	if !ok || last == engine || !h.contains(last, part, now) {
		return "", false
	}
	return last, true
}

// add records that the parts are sent to the engine.
func (h promptCaches) add(engine string, parts []string, now time.Duration) {
	for _, part := range parts {
		h.sentAt.Add(promptKey{engine, part}, now)
		h.lastEngine.Add(part, engine)
	}
}
