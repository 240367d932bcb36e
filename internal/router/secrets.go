package router

import (
	"crypto/sha256"

	"damaskrouter.example/damaskrouter/internal/gossip"
	"damaskrouter.example/damaskrouter/internal/peer"
	"damaskrouter.example/damaskrouter/internal/settings"
	"damaskrouter.example/damaskrouter/internal/token"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// ErrKeys means that the keys in the settings can't be used together.
var ErrKeys = errs.Class("router: keys")

// secrets are the keys of one router in the forms that its parts take.
type secrets struct {
	fleet  peer.Keys
	gossip gossip.Keys
	tokens *token.Codec
}

// numbered is a key with the one-byte id that packets and tokens carry.
type numbered struct {
	id     byte
	secret []byte
}

func secretsOf(set *settings.Settings) (*secrets, error) {
	fleet, err := number(set.FleetKeys, "fleet")
	if err != nil {
		return nil, err
	}
	hints, err := number(set.HintKeys, "hint")
	if err != nil {
		return nil, err
	}
	s := &secrets{gossip: gossip.Keys{Active: gossip.Key{ID: fleet[0].id, Secret: fleet[0].secret}}}
	if len(fleet) > 1 {
		s.gossip.Other = &gossip.Key{ID: fleet[1].id, Secret: fleet[1].secret}
	}
	var calls []peer.FleetKey
	for _, k := range fleet {
		calls = append(calls, peer.FleetKey{ID: k.id, Secret: k.secret})
	}
	s.fleet = func() []peer.FleetKey { return calls }
	var tokens []token.Key
	for _, k := range hints {
		tokens = append(tokens, token.Key{ID: k.id, Secret: k.secret})
	}
	s.tokens, err = token.NewCodec(tokens...)
	return s, err
}

// number gives each key the one-byte id that the wire has room for.
func number(keys []settings.Key, use string) ([]numbered, error) {
	if len(keys) == 0 {
		// Settings allow this only with allow_insecure, on one machine.
		sum := sha256.Sum256([]byte("insecure " + use))
		return []numbered{{id: 0, secret: sum[:]}}, nil
	}
	out := make([]numbered, 0, len(keys))
	for _, k := range keys {
		out = append(out, numbered{id: byte(xxh3.HashString(k.ID)), secret: k.Bytes()})
	}
	if len(out) > 1 && out[0].id == out[1].id {
		return nil, ErrKeys.New("the ids of the two %s keys share a number; rename one", use)
	}
	return out, nil
}
