package secret

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
)

// Status is the public state of a Store. It contains no secrets.
type Status struct {
	// FleetKeys and HintKeys are the ids of the active keys, the signing key
	// first. An empty id stands for the publicly known key of a router without
	// keys.
	FleetKeys []string `json:"fleet_keys"`
	HintKeys  []string `json:"hint_keys"`
	// CallerCertSeconds and PeerCertSeconds are the remaining validity of the
	// certificates, in seconds: negative after expiry, nil without a
	// certificate.
	CallerCertSeconds *int64 `json:"caller_cert_expires_seconds"`
	PeerCertSeconds   *int64 `json:"peer_cert_expires_seconds"`
	// Reloads counts successful reloads of the keys or of a certificate, without
	// the first load.
	Reloads uint64 `json:"reloads"`
	// Failures counts failed reloads of the keys or of a certificate.
	Failures uint64 `json:"failures"`
}

// Status returns the current state, for metrics.
func (s *Store) Status() Status {
	set, now := s.current.Load(), s.opts.Now()
	return Status{
		FleetKeys:         keyNames(set.fleet),
		HintKeys:          keyNames(set.hint),
		CallerCertSeconds: secondsLeft(s.callerCerts, now),
		PeerCertSeconds:   secondsLeft(s.peerCerts, now),
		Reloads:           s.reloads.Load(),
		Failures:          s.failures.Load(),
	}
}

func keyNames(list []wireKey) []string {
	out := make([]string, 0, len(list))
	for _, k := range list {
		out = append(out, k.name)
	}
	return out
}

func secondsLeft(r *keys.CertReloader, now time.Time) *int64 {
	if r == nil {
		return nil
	}
	seconds := int64(r.Expires().Sub(now) / time.Second)
	return &seconds
}
