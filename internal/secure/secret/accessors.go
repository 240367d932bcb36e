package secret

import (
	"crypto/tls"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/token"
)

// FleetKeys returns the fleet keys for calls between routers. The method has
// the type peer.Keys.
func (s *Store) FleetKeys() []peer.FleetKey { return s.current.Load().peerKeys }

// GossipKeys returns the fleet keys for gossip packets.
func (s *Store) GossipKeys() gossip.Keys { return s.current.Load().gossip }

// PeerOptions returns the option that enables TLS for calls between routers, or
// none if the settings name no certificate for them.
func (s *Store) PeerOptions() []peer.Option {
	if s.peerCerts == nil {
		return nil
	}
	return []peer.Option{peer.WithTLS(s.peerCerts)}
}

// CallerTLS returns the TLS configuration of the listeners for callers and
// operators, or nil if the settings name no certificate. It follows reloads.
func (s *Store) CallerTLS() *tls.Config {
	if s.callerCerts == nil {
		return nil
	}
	c := s.callerCerts.CallerServer()
	// HTTP/2 would carry all streams of a caller over one connection. If that
	// connection stalled, all of them would stall, and the caller would resume
	// each one. With HTTP/1.1 only the streams of that connection are affected.
	c.NextProtos = []string{"http/1.1"}
	return c
}

// SealHint calls token.Codec.SealHint with the active signing key.
func (s *Store) SealHint(account string, h token.Hint) string {
	return s.current.Load().tokens.SealHint(account, h)
}

// OpenHint calls token.Codec.OpenHint with the active keys.
func (s *Store) OpenHint(account, text string) (token.Hint, error) {
	return s.current.Load().tokens.OpenHint(account, text)
}

// SealResume calls token.Codec.SealResume with the active signing key.
func (s *Store) SealResume(account string, r token.Resume) (string, error) {
	return s.current.Load().tokens.SealResume(account, r)
}

// OpenResume calls token.Codec.OpenResume with the active keys.
func (s *Store) OpenResume(account, text string, now time.Time) (token.Resume, error) {
	return s.current.Load().tokens.OpenResume(account, text, now)
}
