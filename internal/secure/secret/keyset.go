package secret

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"github.com/zeebo/xxh3"
)

// keySet holds the keys of one load in the forms that other packages use. It is
// immutable.
type keySet struct {
	fleet, hint []wireKey
	peerKeys    []peer.FleetKey
	gossip      gossip.Keys
	tokens      *token.Codec
}

// wireKey is a key with the one-byte id that is sent in packets and tokens.
type wireKey struct {
	name   string
	id     byte
	secret []byte
}

func newKeySet(read settings.KeySet) (*keySet, error) {
	fleet, err := newWireKeys(read.Fleet, "fleet")
	if err != nil {
		return nil, err
	}
	hint, err := newWireKeys(read.Hint, "hint")
	if err != nil {
		return nil, err
	}
	set := &keySet{fleet: fleet, hint: hint}
	set.gossip.Active = gossip.Key{ID: fleet[0].id, Secret: fleet[0].secret}
	if len(fleet) > 1 {
		set.gossip.Other = &gossip.Key{ID: fleet[1].id, Secret: fleet[1].secret}
	}
	for _, k := range fleet {
		set.peerKeys = append(set.peerKeys, peer.FleetKey{ID: k.id, Secret: k.secret})
	}
	var tokens []token.Key
	for _, k := range hint {
		tokens = append(tokens, token.Key{ID: k.id, Secret: k.secret})
	}
	set.tokens, err = token.NewCodec(tokens...)
	return set, err
}

// newWireKeys derives the one-byte id of each key. Without keys it returns a
// publicly known key. Errors: ErrKeys.
func newWireKeys(keys []settings.Key, use string) ([]wireKey, error) {
	if len(keys) == 0 {
		// The settings allow this only with allow_insecure, on a single VM.
		sum := sha256.Sum256([]byte("insecure " + use))
		return []wireKey{{secret: sum[:]}}, nil
	}
	out := make([]wireKey, 0, len(keys))
	for _, k := range keys {
		out = append(out, wireKey{name: k.ID, id: byte(xxh3.HashString(k.ID)), secret: k.Bytes()})
	}
	if len(out) > 1 && out[0].id == out[1].id {
		return nil, ErrKeys.New("the ids of the two %s keys map to the same one-byte id; rename one", use)
	}
	return out, nil
}

func (k wireKey) equal(other wireKey) bool {
	return k.name == other.name && bytes.Equal(k.secret, other.secret)
}

func (s *keySet) equal(other *keySet) bool {
	return slices.EqualFunc(s.fleet, other.fleet, wireKey.equal) &&
		slices.EqualFunc(s.hint, other.hint, wireKey.equal)
}

// validateReplacement rejects changes that are not part of a key rotation and
// would make other routers reject this one. Errors: ErrKeys.
func (s *keySet) validateReplacement(old *keySet) error {
	if err := validateReplacement(s.fleet, old.fleet, "fleet"); err != nil {
		return err
	}
	return validateReplacement(s.hint, old.hint, "hint")
}

func validateReplacement(next, old []wireKey, use string) error {
	if old[0].name == "" {
		return nil
	}
	if next[0].name == "" {
		// The key that is used without configured keys is publicly known. It
		// must not come into use when the keys are removed by mistake.
		return ErrKeys.New("the %s keys have been removed from the settings", use)
	}
	for _, n := range next {
		for _, o := range old {
			// Other routers still have the old secret under this id and would
			// reject MACs made with the new one. At no step of the rotation
			// would both secrets be accepted.
			if n.id == o.id && !bytes.Equal(n.secret, o.secret) {
				return ErrKeys.New("%s key %q has the same id, or one-byte id, as the active key %q; give the new key another id", use, n.name, o.name)
			}
		}
	}
	return nil
}
