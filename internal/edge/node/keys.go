package node

import (
	"crypto/hmac"
	"crypto/sha256"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
)

// keyID names a fleet key on the wire, so that both ends of a change of keys mean the same one.
// It tells eight bits of a hash.
func keyID(secret string) byte {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte("damaskrouter fleet key id"))
	return m.Sum(nil)[0]
}

// fleetKeys are the keys for calls between routers, the one to use first.
func (r *Router) fleetKeys() []peer.FleetKey {
	set := r.set()
	out := []peer.FleetKey{{ID: keyID(set.FleetKey), Secret: []byte(set.FleetKey)}}
	if set.OtherFleetKey != "" {
		out = append(out, peer.FleetKey{ID: keyID(set.OtherFleetKey), Secret: []byte(set.OtherFleetKey)})
	}
	return out
}

// gossipKeys are the same for packets.
func (r *Router) gossipKeys() gossip.Keys {
	keys := r.fleetKeys()
	out := gossip.Keys{Active: gossip.Key{ID: keys[0].ID, Secret: keys[0].Secret}}
	if len(keys) > 1 {
		out.Other = &gossip.Key{ID: keys[1].ID, Secret: keys[1].Secret}
	}
	return out
}
