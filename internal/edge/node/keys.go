package node

import (
	"crypto/hmac"
	"crypto/sha256"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
)

// keyID returns the ID of a fleet key on the wire, by which both ends select the same key during a
// rotation. It reveals eight bits of a hash of the key.
func keyID(secret string) byte {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte("damaskrouter fleet key id"))
	return m.Sum(nil)[0]
}

// fleetKeys returns the accepted keys for calls between routers. The first one is used for outgoing
// calls.
func (r *Router) fleetKeys() []peer.FleetKey {
	current := r.settings()
	out := []peer.FleetKey{{ID: keyID(current.FleetKey), Secret: []byte(current.FleetKey)}}
	if current.OtherFleetKey != "" {
		out = append(out, peer.FleetKey{ID: keyID(current.OtherFleetKey), Secret: []byte(current.OtherFleetKey)})
	}
	return out
}

// gossipKeys returns the fleet keys for gossip packets.
func (r *Router) gossipKeys() gossip.Keys {
	keys := r.fleetKeys()
	out := gossip.Keys{Active: gossip.Key{ID: keys[0].ID, Secret: keys[0].Secret}}
	if len(keys) > 1 {
		out.Other = &gossip.Key{ID: keys[1].ID, Secret: keys[1].Secret}
	}
	return out
}
