// Package chat derives from a chat request what placement needs: the chain of
// prefix hashes at message boundaries and estimates of tokens. It is pure.
package chat

import (
	"encoding/binary"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the usual length of a token in bytes, for estimates.
const BytesPerToken = 4

// DefaultMaxTokens is assumed where a request names no bound for its answer.
const DefaultMaxTokens = 256

// Boundary is the prefix of a conversation up to and including one message.
type Boundary struct {
	// Hash identifies model, adapter and all messages so far.
	Hash uint64
	// Tokens estimates the length of the prefix.
	Tokens int
}

// Boundaries returns the prefixes of messages, shortest first. Two requests
// share Boundaries exactly as far as they share model, adapter and messages.
func Boundaries(model, adapter string, messages []wire.Message) []Boundary {
	bs := make([]Boundary, 0, len(messages))
	h := hashField(hashField(0, model), adapter)
	tokens := 0
	for _, m := range messages {
		h = hashField(hashField(h, m.Role), m.Content)
		tokens += Tokens(m.Content)
		bs = append(bs, Boundary{Hash: h, Tokens: tokens})
	}
	return bs
}

// Tokens estimates the length of a text in tokens.
func Tokens(text string) int {
	return len(text)/BytesPerToken + 1
}

func hashField(prev uint64, field string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var n [16]byte
	binary.LittleEndian.PutUint64(n[:8], prev)
	binary.LittleEndian.PutUint64(n[8:], uint64(len(field)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(field)
	return d.Sum64()
}
