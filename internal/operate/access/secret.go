// Package access authenticates and authorizes operators, and generates secrets.
// API keys identify client accounts; operator tokens identify operators, who
// have a role and a scope of teams. The package does no I/O and keeps secrets
// only as hashes.
//
// The hash is a plain SHA-256. A slow password hash is needed only for secrets
// that can be guessed. The secrets here are 256 random bits, which cannot be
// guessed, and a slow hash for each request would let attackers exhaust a
// router cheaply.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"

	"github.com/zeebo/errs"
)

const (
	// PrefixAPIKey is the prefix of every API key of a client account.
	PrefixAPIKey = "drk_"
	// PrefixOperator is the prefix of every operator token.
	PrefixOperator = "dro_"

	secretBytes = 32
	// maxSecretLen is the longest text, in bytes, that is hashed and looked up.
	maxSecretLen = 128
)

var (
	// ErrRandom reports a failed source of randomness.
	ErrRandom = errs.Class("access: random source")
	// ErrHash reports a text that is not a SHA-256 hash in hexadecimal.
	ErrHash = errs.Class("access: hash")
	// ErrDuplicate reports a hash that is listed twice: one holder would be
	// authenticated as the other.
	ErrDuplicate = errs.Class("access: secret listed twice")
	// ErrUnauthenticated reports an unknown or expired secret. It does not
	// reveal whether the secret was well-formed.
	ErrUnauthenticated = errs.Class("access: not authenticated")
)

// Hash is the SHA-256 hash of a secret.
type Hash [sha256.Size]byte

// NewSecret returns a secret with 256 bits from rand. It begins with prefix
// (PrefixAPIKey or PrefixOperator), so that scanners and people can recognise a
// leaked one. Errors: ErrRandom.
func NewSecret(rand io.Reader, prefix string) (string, error) {
	var b [secretBytes]byte
	if _, err := io.ReadFull(rand, b[:]); err != nil {
		return "", ErrRandom.Wrap(err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(b[:]), nil
}

// HashSecret returns the hash that is stored for a secret.
func HashSecret(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// String returns the hash in hexadecimal, the form used in configurations.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses a hash in hexadecimal. Errors: ErrHash.
func ParseHash(text string) (Hash, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return Hash{}, ErrHash.Wrap(err)
	}
	if len(b) != sha256.Size {
		return Hash{}, ErrHash.New("%d bytes, want %d", len(b), sha256.Size)
	}
	return Hash(b), nil
}

// hashIndex maps secrets to values. Candidates are looked up by the first bytes
// of the hash and compared in constant time. The duration of the look-up depends
// on the hash, which an attacker cannot choose to be close to a stored one.
type hashIndex[V any] map[uint64][]hashEntry[V]

type hashEntry[V any] struct {
	hash  Hash
	value V
}

func (h Hash) indexKey() uint64 { return binary.LittleEndian.Uint64(h[:]) }

func (x hashIndex[V]) add(h Hash, v V) error {
	for _, c := range x[h.indexKey()] {
		if c.hash == h {
			return ErrDuplicate.New("%s…", h.String()[:8])
		}
	}
	x[h.indexKey()] = append(x[h.indexKey()], hashEntry[V]{h, v})
	return nil
}

func (x hashIndex[V]) find(secret, prefix string) (v V, err error) {
	if len(secret) > maxSecretLen || !strings.HasPrefix(secret, prefix) {
		return v, ErrUnauthenticated.New("unknown secret")
	}
	h := HashSecret(secret)
	for _, c := range x[h.indexKey()] {
		if subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1 {
			return c.value, nil
		}
	}
	return v, ErrUnauthenticated.New("unknown secret")
}
