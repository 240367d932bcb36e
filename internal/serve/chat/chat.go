// Package chat derives the inputs of engine selection from a chat request: the
// hashes of its prefixes at message boundaries and estimates of tokens. It has
// no state.
package chat

import (
	"encoding/binary"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the usual length of a token in bytes, used for estimates.
const BytesPerToken = 4

// DefaultMaxTokens is the assumed length of a response, in tokens, if the
// request sets no limit.
const DefaultMaxTokens = 256

// Boundary is the prefix of a conversation up to and including one message.
type Boundary struct {
	// Hash identifies the model, the adapter and all messages so far.
	Hash uint64
	// Tokens is the estimated length of the prefix, in tokens.
	Tokens int
}

// Boundaries returns the prefixes of messages, shortest first. Two requests
// have equal boundaries exactly as far as they share model, adapter and
// messages.
func Boundaries(model, adapter string, messages []wire.Message) []Boundary {
	boundaries := make([]Boundary, 0, len(messages))
	hash := hashField(hashField(0, model), adapter)
	tokens := 0
	for _, m := range messages {
		hash = hashField(hashField(hash, m.Role), m.Content)
		tokens += EstimateTokens(m.Content)
		boundaries = append(boundaries, Boundary{Hash: hash, Tokens: tokens})
	}
	return boundaries
}

// EstimateTokens returns the estimated length of text in tokens.
func EstimateTokens(text string) int {
	return len(text)/BytesPerToken + 1
}

func hashField(prev uint64, field string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var header [16]byte
	binary.LittleEndian.PutUint64(header[:8], prev)
	binary.LittleEndian.PutUint64(header[8:], uint64(len(field)))
	_, _ = digest.Write(header[:])
	_, _ = digest.WriteString(field)
	return digest.Sum64()
}
