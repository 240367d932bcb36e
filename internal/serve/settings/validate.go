package settings

import (
	"fmt"
	"net/netip"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
)

// Constraints on addresses, in addition to those of strictyaml.
const (
	constraintHostPort  = "hostport"
	constraintReachable = "reachable"
)

// noFileName replaces the file name in problems of settings that were not read from a file.
const noFileName = "settings"

// fieldValidator returns the validator of the struct tags. It is built on first use because it
// compiles the tags.
var fieldValidator = sync.OnceValue(newFieldValidator)

func newFieldValidator() *strictyaml.Validator {
	v := strictyaml.NewValidator()
	v.Add(constraintHostPort, isAddrPort, "must be an IP address and a port")
	v.Add(constraintReachable, isReachable, "must be an IP address that others can connect to, and a port")
	return v
}

func isAddrPort(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

// isReachable reports whether the address is one IP address and port that others can connect to.
func isReachable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsUnspecified() && parsed.Port() != 0
}

// Validate checks settings whose defaults are set and whose keys are read. The error is of type
// strictyaml.Problems and lists all problems.
func (s *Settings) Validate() error {
	if s.source == nil {
		s.source = strictyaml.NewSource(noFileName)
	}
	problems := s.source.Fields(fieldValidator(), s)
	problems = append(problems, s.checkKeys("fleet_keys", s.FleetKeys)...)
	problems = append(problems, s.checkKeys("hint_keys", s.HintKeys)...)
	problems = append(problems, s.checkDrain()...)
	problems = append(problems, s.checkPeerTLS()...)
	if !s.AllowInsecure {
		problems = append(problems, s.checkRequiredSecurity()...)
	}
	return problems.Err()
}

func (s *Settings) at(path, format string, args ...any) strictyaml.Problem {
	if s.source == nil {
		s.source = strictyaml.NewSource(noFileName)
	}
	return s.source.At(path, format, args...)
}

func (s *Settings) checkKeys(path string, keys []Key) strictyaml.Problems {
	var problems strictyaml.Problems
	for i, k := range keys {
		keyPath := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case k.Key != "" && k.File != "":
			problems = append(problems, s.at(keyPath, "has both key and file"))
		case len(k.secret) < MinKeyBytes:
			problems = append(problems, s.at(keyPath, "must hold at least %d bytes in base64", MinKeyBytes))
		}
	}
	return problems
}

// checkDrain checks that a graceful shutdown lasts longer than callers cache addresses. Otherwise
// they connect to a process that has stopped, and each planned restart causes refused connections.
func (s *Settings) checkDrain() strictyaml.Problems {
	if s.Timeouts.Drain > s.Timeouts.LocateTTL {
		return nil
	}
	return strictyaml.Problems{s.at("timeouts.drain", "must be longer than locate_ttl, %v", s.Timeouts.LocateTTL)}
}

// checkPeerTLS rejects an incomplete identity. If it were ignored, one missing line would silently
// turn off TLS.
func (s *Settings) checkPeerTLS() strictyaml.Problems {
	if s.PeerTLS == (PeerTLS{}) {
		return nil
	}
	var problems strictyaml.Problems
	for path, file := range map[string]string{"cert": s.PeerTLS.Cert, "key": s.PeerTLS.Key, "ca": s.PeerTLS.CA} {
		if file == "" {
			problems = append(problems, s.at("peer_tls."+path, "is required when peer_tls has other files"))
		}
	}
	return problems
}

func (s *Settings) checkRequiredSecurity() strictyaml.Problems {
	var problems strictyaml.Problems
	require := func(path string, present bool) {
		if !present {
			problems = append(problems, s.at(path, "is required unless allow_insecure is set"))
		}
	}
	require("tls.cert", s.TLS.Cert != "")
	require("tls.key", s.TLS.Key != "")
	if !s.AllowPlainPeers && s.PeerTLS == (PeerTLS{}) {
		problems = append(problems, s.at("peer_tls.cert", "is required unless allow_plain_peers or allow_insecure is set"))
	}
	require("fleet_keys", len(s.FleetKeys) > 0)
	require("hint_keys", len(s.HintKeys) > 0)
	return problems
}
