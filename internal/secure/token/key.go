package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"sync"

	"github.com/zeebo/errs"
)

const (
	// MaxKeys is the largest number of keys that are valid at once.
	MaxKeys = 2
	// MinSecretBytes is the minimum length of a secret, in bytes.
	MinSecretBytes = 32
)

// ErrKeys reports an invalid set of keys.
var ErrKeys = errs.Class("token: keys")

// Key is one signing key of the fleet.
type Key struct {
	// ID identifies the key in tokens.
	ID byte
	// Secret holds at least MinSecretBytes random bytes.
	Secret []byte
}

// ValidateKeys checks the number of keys, their ids and the length of their
// secrets. Errors: ErrKeys.
func ValidateKeys(keys []Key) error {
	if len(keys) == 0 || len(keys) > MaxKeys {
		return ErrKeys.New("%d keys, want 1 to %d", len(keys), MaxKeys)
	}
	for i, k := range keys {
		if len(k.Secret) < MinSecretBytes {
			return ErrKeys.New("key %d has %d bytes, want at least %d", k.ID, len(k.Secret), MinSecretBytes)
		}
		if i > 0 && k.ID == keys[0].ID {
			return ErrKeys.New("key id %d is used twice", k.ID)
		}
	}
	return nil
}

// macKey computes MACs with pooled HMAC states: creating a state for each token
// would cost more than the signature itself.
type macKey struct {
	id     byte
	states sync.Pool
}

type macState struct {
	hash hash.Hash
	sum  [sha256.Size]byte
}

func newMACKey(k Key) *macKey {
	secret := append([]byte(nil), k.Secret...)
	m := &macKey{id: k.ID}
	m.states.New = func() any {
		return &macState{hash: hmac.New(sha256.New, secret)}
	}
	return m
}

// appendMAC appends the MAC of body to dst.
func (m *macKey) appendMAC(dst, body []byte) []byte {
	mac := m.mac(body)
	return append(dst, mac[:]...)
}

func (m *macKey) verify(body, mac []byte) bool {
	want := m.mac(body)
	return subtle.ConstantTimeCompare(want[:], mac) == 1
}

func (m *macKey) mac(body []byte) [macSize]byte {
	s := m.states.Get().(*macState)
	defer m.states.Put(s)
	s.hash.Reset()
	_, _ = s.hash.Write(body)
	s.hash.Sum(s.sum[:0])
	return [macSize]byte(s.sum[:macSize])
}
