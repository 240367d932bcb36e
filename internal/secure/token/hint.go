package token

import (
	"encoding/binary"
	"math"
)

// hintFields is the length of a hint's fields, in bytes: six 64-bit words
// (with the counter) and a 32-bit number of tokens.
const hintFields = 6*8 + 4

// hintSize is the length of a hint before it is written as text, in bytes.
const hintSize = headerSize + hintFields + macSize

// Hint says where the prefix of a chat was cached when it was issued.
type Hint struct {
	// Chat is the hash of account and chat id.
	Chat uint64
	// Model is the hash of the model's name.
	Model uint64
	// Engine is the hash of the engine's name.
	Engine uint64
	// Incarnation is the engine's; a later one has an empty cache.
	Incarnation uint64
	// Prefix is the chain hash at the last message boundary.
	Prefix uint64
	// Tokens is the length of the prefix, capped at 2^32-1.
	Tokens int
	// Counter orders the hints of one issuer, so that an older one is seen.
	Counter uint64
}

// SealHint returns the text of a hint for account.
func (c *Codec) SealHint(account string, h Hint) string {
	var buf [hintSize]byte
	b := c.start(buf[:0], kindHint, account)
	for _, word := range [...]uint64{h.Chat, h.Model, h.Engine, h.Incarnation, h.Prefix, h.Counter} {
		b = binary.BigEndian.AppendUint64(b, word)
	}
	b = binary.BigEndian.AppendUint32(b, clampTokens(h.Tokens))
	return c.finish(b)
}

// OpenHint returns the hint in text, which must have been issued to account.
// A hint that fails is to be treated as absent: it only steers placement.
// The error is one of the package's *Error values.
func (c *Codec) OpenHint(account, text string) (Hint, error) {
	var buf [hintSize]byte
	if len(text) != encoding.EncodedLen(hintSize) {
		return Hint{}, ErrMalformed
	}
	f, err := c.open(buf[:0], kindHint, account, text)
	if err != nil {
		return Hint{}, err
	}
	return Hint{
		Chat:        binary.BigEndian.Uint64(f),
		Model:       binary.BigEndian.Uint64(f[8:]),
		Engine:      binary.BigEndian.Uint64(f[16:]),
		Incarnation: binary.BigEndian.Uint64(f[24:]),
		Prefix:      binary.BigEndian.Uint64(f[32:]),
		Counter:     binary.BigEndian.Uint64(f[40:]),
		Tokens:      int(binary.BigEndian.Uint32(f[48:])),
	}, nil
}

func clampTokens(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
