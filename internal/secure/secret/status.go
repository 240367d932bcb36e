package secret

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
)

// Status is what may be shown of a Store: names and counts, never a secret.
type Status struct {
	// FleetKeys and HintKeys are the ids in use, the signing one first. An
	// empty id is the public key of a router without keys.
	FleetKeys []string `json:"fleet_keys"`
	HintKeys  []string `json:"hint_keys"`
	// CallerCertSeconds and PeerCertSeconds are how long the certificates
	// still last, in seconds; negative once expired, nil without one.
	CallerCertSeconds *int64 `json:"caller_cert_expires_seconds"`
	PeerCertSeconds   *int64 `json:"peer_cert_expires_seconds"`
	// Reloads counts replacements of a set of keys or a certificate, without
	// the first load.
	Reloads uint64 `json:"reloads"`
	// Failures counts checks of a set of files that kept the old content.
	Failures uint64 `json:"failures"`
}

// Status returns the present state, for metrics.
func (s *Store) Status() Status {
	set, now := s.current.Load(), s.opts.Now()
	return Status{
		FleetKeys:         names(set.fleet),
		HintKeys:          names(set.hint),
		CallerCertSeconds: left(s.callers, now),
		PeerCertSeconds:   left(s.peers, now),
		Reloads:           s.reloads.Load(),
		Failures:          s.failures.Load(),
	}
}

func names(list []numbered) []string {
	out := make([]string, 0, len(list))
	for _, k := range list {
		out = append(out, k.name)
	}
	return out
}

func left(r *keys.CertReloader, now time.Time) *int64 {
	if r == nil {
		return nil
	}
	seconds := int64(r.Expires().Sub(now) / time.Second)
	return &seconds
}
