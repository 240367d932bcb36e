// Package quarantine decides which requests must no longer be sent to engines because they crash
// them, or because a part of their prompts does. It reads no clock and does no I/O: the time and what
// routers observe are arguments.
//
// A caller that repeats such a request gives each attempt a new ID, so requests are identified by
// their content. When an engine ends unexpectedly, all requests that it was executing are suspects, and
// so are the parts of their prompts. Answers clear suspects; one under which several engines have ended
// is quarantined, unless another suspect or chance explains that as well. Routers exchange suspects as
// entries that can be merged in any order, any number of times.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// ErrFingerprint means that a text is not a fingerprint.
var ErrFingerprint = errs.Class("fingerprint")

// Content is what all attempts at a request have in common.
type Content struct {
	// Account is the name of the client account; empty on public routes.
	Account string
	Method  string
	Host    string
	// Target is the path and query as received.
	Target string
	Body   []byte
}

// Fingerprint identifies the content of a request. Callers choose the content, and one that finds
// different content with the fingerprint of another caller's request could have that request
// refused. The fingerprint is therefore cut from a cryptographic hash.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of the content. It hashes the whole body.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(c.Account), []byte(c.Method), []byte(strings.ToLower(c.Host)), []byte(c.Target), c.Body} {
		// The lengths separate the fields. Write to a hash can't fail.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// Hint returns a short value that is equal for equal content and costs little, whatever the length
// of the body. Content with an unknown hint need not be hashed.
func (c Content) Hint() uint32 {
	return uint32(xxh3.HashString(c.Target)) ^ uint32(xxh3.HashStringSeed(c.Account, uint64(len(c.Body))))
}

// hash returns the first bytes of the fingerprint.
func (f Fingerprint) hash() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Hash returns a fast hash of the whole content. Callers can find content with the hash of another: it
// must not decide that a request is refused.
func (c Content) Hash() uint64 {
	h := xxh3.HashSeed(c.Body, uint64(len(c.Body)))
	for _, field := range []string{c.Account, c.Method, c.Host, c.Target} {
		h = xxh3.HashStringSeed(field, h)
	}
	return h
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of String. Errors: ErrFingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil {
		return f, ErrFingerprint.Wrap(err)
	}
	if len(b) != len(f) {
		return f, ErrFingerprint.New("%d bytes instead of %d", len(b), len(f))
	}
	copy(f[:], b)
	return f, nil
}
