// Package token seals and opens the two statements that callers carry for the
// fleet: the prefix hint, which says where a chat's prefix was last cached, and
// the resume token, which is the right to take up a broken stream again.
//
// A token is base64url text over a version byte, a kind byte, a key id byte, a
// tag of the client account, the fields and a truncated HMAC-SHA256. It is
// signed, not encrypted: it holds hashes and names, never an address, a prompt
// or a key. The package is pure; time is an argument.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
)

const (
	// version is the first byte of every token.
	version = 1
	// tagSize is the length of the account tag, in bytes.
	tagSize = 8
	// headerSize covers version, kind, key id and account tag.
	headerSize = 3 + tagSize
	// macSize is the length of the truncated HMAC, in bytes.
	macSize = 16
	// maxText bounds the text that is decoded at all, in characters.
	maxText = 1024
)

// kind keeps the two sorts of token apart. It is signed, so that a hint can
// never be presented as a resume token.
type kind byte

const (
	kindHint   kind = 1
	kindResume kind = 2
)

// encoding is strict: one token has one text, so that no two texts open alike.
var encoding = base64.RawURLEncoding.Strict()

// Codec seals with its first key and opens with any of its keys. It is
// immutable and safe for concurrent use.
type Codec struct {
	keys []*macKey
}

// NewCodec returns a codec over one or two keys; the first one signs. Two keys
// let a fleet rotate: routers accept the next key before any of them signs
// with it.
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

// start appends the header of a token for account to dst.
func (c *Codec) start(dst []byte, k kind, account string) []byte {
	dst = append(dst, version, byte(k), c.keys[0].id)
	tag := accountTag(account)
	return append(dst, tag[:]...)
}

// finish signs body and returns the token's text.
func (c *Codec) finish(body []byte) string {
	signed := c.keys[0].appendMAC(body, body)
	return encoding.EncodeToString(signed)
}

// open decodes text into buf, checks kind, signature and account, and returns
// the fields. The account is looked at last: only a genuine token can be
// called another account's.
func (c *Codec) open(buf []byte, k kind, account, text string) ([]byte, error) {
	raw, err := decode(buf, text)
	if err != nil {
		return nil, err
	}
	if raw[0] != version || raw[1] != byte(k) {
		return nil, ErrMalformed
	}
	key := c.find(raw[2])
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
	if len(text) > maxText {
		return nil, ErrMalformed
	}
	raw, err := encoding.AppendDecode(buf, []byte(text))
	if err != nil || len(raw) < headerSize+macSize {
		return nil, ErrMalformed
	}
	// The decoder skips line breaks, so a text with some would open like the
	// text without them; the length gives them away.
	if encoding.EncodedLen(len(raw)) != len(text) {
		return nil, ErrMalformed
	}
	return raw, nil
}

func (c *Codec) find(id byte) *macKey {
	for _, k := range c.keys {
		if k.id == id {
			return k
		}
	}
	return nil
}

// accountTag binds a token to an account. It is cryptographic because an
// account that could find a second name with the same tag could use the
// other's tokens.
func accountTag(account string) [tagSize]byte {
	sum := sha256.Sum256([]byte(account))
	return [tagSize]byte(sum[:tagSize])
}
