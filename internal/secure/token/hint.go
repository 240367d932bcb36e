package token

import (
	"encoding/binary"
	"math"
)

// hintFields is the encoded size of a hint's fields, in bytes: six 64-bit words
// (including the counter) and a 32-bit token count.
const hintFields = 6*8 + 4

// hintSize is the size of a hint before text encoding, in bytes.
const hintSize = headerSize + hintFields + macSize

// Hint names the engine that cached the prefix of a chat when the hint was
// issued.
type Hint struct {
	// Chat is the hash of account and chat id.
	Chat uint64
	// Model is the hash of the model's name.
	Model uint64
	// Engine is the hash of the engine's name.
	Engine uint64
	// Incarnation is the engine's incarnation; a later incarnation has an empty
	// cache.
	Incarnation uint64
	// Prefix is the chain hash at the last message boundary of the prefix.
	Prefix uint64
	// Tokens is the length of the prefix, in tokens, capped at 2^32-1.
	Tokens int
	// Counter orders the hints of one issuer, so that an outdated one can be
	// detected.
	Counter uint64
}

// SealHint returns the signed text of a hint issued to account.
func (c *Codec) SealHint(account string, h Hint) string {
	var buf [hintSize]byte
	b := c.appendHeader(buf[:0], kindHint, account)
	for _, word := range [...]uint64{h.Chat, h.Model, h.Engine, h.Incarnation, h.Prefix, h.Counter} {
		b = binary.BigEndian.AppendUint64(b, word)
	}
	b = binary.BigEndian.AppendUint32(b, clampTokens(h.Tokens))
	return c.sign(b)
}

// OpenHint verifies text and returns its hint, which must have been issued to
// account. Callers treat an invalid hint as absent, since hints only influence
// placement. The error is one of the package's *Error values.
func (c *Codec) OpenHint(account, text string) (Hint, error) {
	var buf [hintSize]byte
	if len(text) != encoding.EncodedLen(hintSize) {
		return Hint{}, ErrMalformed
	}
	fields, err := c.open(buf[:0], kindHint, account, text)
	if err != nil {
		return Hint{}, err
	}
	return Hint{
		Chat:        binary.BigEndian.Uint64(fields),
		Model:       binary.BigEndian.Uint64(fields[8:]),
		Engine:      binary.BigEndian.Uint64(fields[16:]),
		Incarnation: binary.BigEndian.Uint64(fields[24:]),
		Prefix:      binary.BigEndian.Uint64(fields[32:]),
		Counter:     binary.BigEndian.Uint64(fields[40:]),
		Tokens:      int(binary.BigEndian.Uint32(fields[48:])),
	}, nil
}

func clampTokens(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
