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

// keySet is the keys of one reload, in the forms that their users take. It is
// immutable.
type keySet struct {
	fleet, hint []numbered
	calls       []peer.FleetKey
	gossip      gossip.Keys
	tokens      *token.Codec
}

// numbered is a key with the one-byte id that packets and tokens carry.
type numbered struct {
	name   string
	id     byte
	secret []byte
}

func newKeySet(read settings.KeySet) (*keySet, error) {
	fleet, err := number(read.Fleet, "fleet")
	if err != nil {
		return nil, err
	}
	hint, err := number(read.Hint, "hint")
	if err != nil {
		return nil, err
	}
	set := &keySet{fleet: fleet, hint: hint}
	set.gossip.Active = gossip.Key{ID: fleet[0].id, Secret: fleet[0].secret}
	if len(fleet) > 1 {
		set.gossip.Other = &gossip.Key{ID: fleet[1].id, Secret: fleet[1].secret}
	}
	for _, k := range fleet {
		set.calls = append(set.calls, peer.FleetKey{ID: k.id, Secret: k.secret})
	}
	var tokens []token.Key
	for _, k := range hint {
		tokens = append(tokens, token.Key{ID: k.id, Secret: k.secret})
	}
	set.tokens, err = token.NewCodec(tokens...)
	return set, err
}

// number gives each key the one-byte id that the wire has room for.
func number(keys []settings.Key, use string) ([]numbered, error) {
	if len(keys) == 0 {
		// Settings allow this only with allow_insecure, on one machine.
		sum := sha256.Sum256([]byte("insecure " + use))
		return []numbered{{secret: sum[:]}}, nil
	}
	out := make([]numbered, 0, len(keys))
	for _, k := range keys {
		out = append(out, numbered{name: k.ID, id: byte(xxh3.HashString(k.ID)), secret: k.Bytes()})
	}
	if len(out) > 1 && out[0].id == out[1].id {
		return nil, ErrKeys.New("the ids of the two %s keys share a number; rename one", use)
	}
	return out, nil
}

func (k numbered) equal(other numbered) bool {
	return k.name == other.name && bytes.Equal(k.secret, other.secret)
}

func (s *keySet) equal(other *keySet) bool {
	return slices.EqualFunc(s.fleet, other.fleet, numbered.equal) &&
		slices.EqualFunc(s.hint, other.hint, numbered.equal)
}

// mayFollow refuses what no rotation does, and what would cut this router off
// from the others.
func (s *keySet) mayFollow(old *keySet) error {
	if err := mayFollow(s.fleet, old.fleet, "fleet"); err != nil {
		return err
	}
	return mayFollow(s.hint, old.hint, "hint")
}

func mayFollow(next, old []numbered, use string) error {
	if old[0].name == "" {
		return nil
	}
	if next[0].name == "" {
		// The key that stands in for none is known to everybody. A settings
		// file that lost its keys in an edit must not bring it into use.
		return ErrKeys.New("the %s keys are gone from the settings", use)
	}
	for _, n := range next {
		for _, o := range old {
			// Routers still hold the old secret under this number, and would
			// take this one's proofs for forged, with no step in between at
			// which both are accepted.
			if n.id == o.id && !bytes.Equal(n.secret, o.secret) {
				return ErrKeys.New("%s key %q has the id, or the number, of key %q in use; give the new key another id", use, n.name, o.name)
			}
		}
	}
	return nil
}
