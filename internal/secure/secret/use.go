package secret

import (
	"crypto/tls"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/token"
)

// Fleet returns the fleet keys for calls between routers; it is a peer.Keys.
func (s *Store) Fleet() []peer.FleetKey { return s.current.Load().calls }

// Gossip returns the fleet keys for packets between routers.
func (s *Store) Gossip() gossip.Keys { return s.current.Load().gossip }

// PeerOptions makes calls between routers use TLS if the settings name a
// certificate for it.
func (s *Store) PeerOptions() []peer.Option {
	if s.peers == nil {
		return nil
	}
	return []peer.Option{peer.WithTLS(s.peers)}
}

// CallerTLS returns the configuration of callers' and operators' listeners,
// which follows reloads, or nil if the settings name no certificate.
func (s *Store) CallerTLS() *tls.Config {
	if s.callers == nil {
		return nil
	}
	c := s.callers.CallerServer()
	// HTTP/2 would put all streams of a caller on one connection, and if that
	// goes silent they stall all at once; the client then resumes each of
	// them. With HTTP/1.1 only the streams of that connection are hit.
	c.NextProtos = []string{"http/1.1"}
	return c
}

// SealHint is token.Codec's, with the key that signs now.
func (s *Store) SealHint(account string, h token.Hint) string {
	return s.current.Load().tokens.SealHint(account, h)
}

// OpenHint is token.Codec's, with the keys that are valid now.
func (s *Store) OpenHint(account, text string) (token.Hint, error) {
	return s.current.Load().tokens.OpenHint(account, text)
}

// SealResume is token.Codec's, with the key that signs now.
func (s *Store) SealResume(account string, r token.Resume) (string, error) {
	return s.current.Load().tokens.SealResume(account, r)
}

// OpenResume is token.Codec's, with the keys that are valid now.
func (s *Store) OpenResume(account, text string, now time.Time) (token.Resume, error) {
	return s.current.Load().tokens.OpenResume(account, text, now)
}
