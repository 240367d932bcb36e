package traffic

import (
	"damaskrouter.example/damaskrouter/internal/chat"
	"damaskrouter.example/damaskrouter/internal/placement"
	"damaskrouter.example/damaskrouter/internal/token"
)

// Evidence says that an engine is believed to hold a prefix.
type Evidence = placement.Evidence

// EvidenceQuery asks what is known about a chat's prefix.
type EvidenceQuery struct {
	// Chat is the affinity key, or 0.
	Chat uint64
	// Prefixes are the prompt's message boundaries, shortest first.
	Prefixes []chat.Boundary
	// Hint is the verified hint that the caller handed back, or nil.
	Hint *token.Hint
}
