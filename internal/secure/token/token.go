// Package token signs and verifies the two kinds of tokens that routers issue to
// callers: the prefix hint, which names the engine that last cached a chat's
// prefix, and the resume token, which authorizes resuming an interrupted stream.
//
// A token is the base64url encoding of a version byte, a kind byte, a key id
// byte, a tag of the client account, the fields and a truncated HMAC-SHA256. It
// is signed, not encrypted: it holds hashes and names, never an address, a
// prompt or a key. The package does no I/O and does not read the clock.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
)

const (
	// version is the first byte of every token.
	version = 1
	// tagSize is the size of the account tag, in bytes.
	tagSize = 8
	// headerSize is the size of version, kind, key id and account tag, in bytes.
	headerSize = 3 + tagSize
	// macSize is the size of the truncated HMAC, in bytes.
	macSize = 16
	// maxTextLen is the longest text, in bytes, that is decoded.
	maxTextLen = 1024
)

// kind distinguishes the two kinds of tokens. It is covered by the signature, so
// that a hint cannot be used as a resume token.
type kind byte

const (
	kindHint   kind = 1
	kindResume kind = 2
)

// encoding is strict, so that each token has exactly one valid text.
var encoding = base64.RawURLEncoding.Strict()

// Codec signs tokens with its first key and verifies them with any of its keys.
// It is immutable and safe for concurrent use.
type Codec struct {
	keys []*macKey
}

// NewCodec returns a codec with one or two keys; the first one signs. Two keys
// allow rotation: all routers accept the next key before any of them signs with
// it. Errors: ErrKeys.
func NewCodec(keys ...Key) (*Codec, error) {
	if err := ValidateKeys(keys); err != nil {
		return nil, err
	}
	c := &Codec{}
	for _, k := range keys {
		c.keys = append(c.keys, newMACKey(k))
	}
	return c, nil
}

// appendHeader appends the header of a token for account to dst.
func (c *Codec) appendHeader(dst []byte, k kind, account string) []byte {
	dst = append(dst, version, byte(k), c.keys[0].id)
	tag := accountTag(account)
	return append(dst, tag[:]...)
}

// sign returns the text of body with its signature.
func (c *Codec) sign(body []byte) string {
	signed := c.keys[0].appendMAC(body, body)
	return encoding.EncodeToString(signed)
}

// open decodes text into buf, verifies kind, signature and account, and returns
// the fields. The account is checked last, so that only an authentic token is
// reported as another account's.
func (c *Codec) open(buf []byte, k kind, account, text string) ([]byte, error) {
	raw, err := decode(buf, text)
	if err != nil {
		return nil, err
	}
	if raw[0] != version || raw[1] != byte(k) {
		return nil, ErrMalformed
	}
	key := c.keyByID(raw[2])
	if key == nil {
		return nil, ErrForged
	}
	body := raw[:len(raw)-macSize]
	if !key.verify(body, raw[len(body):]) {
		return nil, ErrForged
	}
	tag := accountTag(account)
	if subtle.ConstantTimeCompare(tag[:], body[3:headerSize]) != 1 {
		return nil, ErrWrongAccount
	}
	return body[headerSize:], nil
}

func decode(buf []byte, text string) ([]byte, error) {
	if len(text) > maxTextLen {
		return nil, ErrMalformed
	}
	raw, err := encoding.AppendDecode(buf, []byte(text))
	if err != nil || len(raw) < headerSize+macSize {
		return nil, ErrMalformed
	}
	// The decoder skips line breaks, so a text with line breaks would decode to
	// the same token. The length check rejects it.
	if encoding.EncodedLen(len(raw)) != len(text) {
		return nil, ErrMalformed
	}
	return raw, nil
}

func (c *Codec) keyByID(id byte) *macKey {
	for _, k := range c.keys {
		if k.id == id {
			return k
		}
	}
	return nil
}

// accountTag returns the tag that binds a token to an account. It uses a
// cryptographic hash: an account whose name had the same tag as another's could
// use the other's tokens.
func accountTag(account string) [tagSize]byte {
	sum := sha256.Sum256([]byte(account))
	return [tagSize]byte(sum[:tagSize])
}
