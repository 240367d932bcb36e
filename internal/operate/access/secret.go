// Package access says who asks and what they may do: API keys name client
// accounts, operator tokens name operators with a role and a scope of teams.
// It is pure; secrets are kept only as hashes.
//
// The hash is a plain SHA-256. A slow password hash protects secrets that can
// be guessed; these are 256 random bits, which no guessing reaches, and a slow
// hash on each request would hand attackers a cheap way to exhaust a router.
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
	// PrefixAPIKey begins every API key of a client account.
	PrefixAPIKey = "drk_"
	// PrefixOperator begins every operator token.
	PrefixOperator = "dro_"

	secretBytes = 32
	// maxSecret bounds what is hashed at all, in characters.
	maxSecret = 128
)

var (
	// ErrRandom reports a source of randomness that failed.
	ErrRandom = errs.Class("access: random source")
	// ErrHash reports a text that is no SHA-256 sum in hexadecimal.
	ErrHash = errs.Class("access: hash")
	// ErrDuplicate reports a hash that is listed twice: with it, requests of
	// one account would run as another.
	ErrDuplicate = errs.Class("access: secret listed twice")
	// ErrUnauthenticated reports a secret that is not known. It does not say
	// whether the secret was of the right form.
	ErrUnauthenticated = errs.Class("access: not authenticated")
)

// Hash is the SHA-256 sum of a secret.
type Hash [sha256.Size]byte

// NewSecret returns a new secret of 256 bits from rand, beginning with prefix
// (PrefixAPIKey or PrefixOperator), so that scanners and people recognise one
// that has leaked.
func NewSecret(rand io.Reader, prefix string) (string, error) {
	var b [secretBytes]byte
	if _, err := io.ReadFull(rand, b[:]); err != nil {
		return "", ErrRandom.Wrap(err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(b[:]), nil
}

// HashSecret returns the hash under which a secret is kept.
func HashSecret(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// String returns the sum in hexadecimal, as configuration has it.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads a sum in hexadecimal.
func ParseHash(text string) (Hash, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return Hash{}, ErrHash.Wrap(err)
	}
	if len(b) != sha256.Size {
		return Hash{}, ErrHash.New("%d bytes, %d needed", len(b), sha256.Size)
	}
	return Hash(b), nil
}

// hashIndex finds what belongs to a secret. Candidates are looked up by the
// first bytes of the hash and compared in constant time. How long the look-up
// takes depends on the hash, which a caller can't steer towards a stored one.
type hashIndex[V any] map[uint64][]hashed[V]

type hashed[V any] struct {
	hash  Hash
	value V
}

func (h Hash) slot() uint64 { return binary.LittleEndian.Uint64(h[:]) }

func (x hashIndex[V]) add(h Hash, v V) error {
	for _, c := range x[h.slot()] {
		if c.hash == h {
			return ErrDuplicate.New("%s…", h.String()[:8])
		}
	}
	x[h.slot()] = append(x[h.slot()], hashed[V]{h, v})
	return nil
}

func (x hashIndex[V]) find(secret, prefix string) (v V, err error) {
	if len(secret) > maxSecret || !strings.HasPrefix(secret, prefix) {
		return v, ErrUnauthenticated.New("unknown secret")
	}
	h := HashSecret(secret)
	for _, c := range x[h.slot()] {
		if subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1 {
			return c.value, nil
		}
	}
	return v, ErrUnauthenticated.New("unknown secret")
}
