package keys

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
)

const (
	// minTLSVersion is the oldest accepted protocol version.
	minTLSVersion = tls.VersionTLS13
	// routerDomain is the suffix of the DNS name that identifies a router's
	// certificate. A certificate of the same authority without such a name, for
	// example of an operator's tool, is not accepted as a router's.
	routerDomain = ".router.damaskrouter.internal"
	// maxLabelLen is the maximum length of a DNS label, in bytes.
	maxLabelLen = 63
)

// RouterSAN returns the DNS name that the certificate of a router must contain.
func RouterSAN(router string) string { return router + routerDomain }

// CallerServer returns the TLS configuration of listeners for callers. It
// follows reloads.
func (r *CertReloader) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: minTLSVersion,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().cert, nil
		},
	}
}

// PeerServer returns the TLS configuration of listeners for other routers. It
// follows reloads and accepts only clients with a router's certificate that a
// trusted authority has signed.
func (r *CertReloader) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: minTLSVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.peerServer(), nil
		},
	}
}

func (r *CertReloader) peerServer() *tls.Config {
	id := r.current.Load()
	return &tls.Config{
		MinVersion:   minTLSVersion,
		Certificates: []tls.Certificate{id.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    id.roots,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := PeerName(s)
			return err
		},
		// A resumed session relies on the authorities that were trusted when the
		// session began, so it would stay valid after one of them is removed.
		SessionTicketsDisabled: true,
	}
}

// PeerClient returns the TLS configuration of one connection to the named
// router. The peer's certificate must contain that name, because the address may
// have been reassigned to another VM. Each connection needs a new configuration,
// since the trusted authorities in a configuration do not follow reloads.
func (r *CertReloader) PeerClient(router string) *tls.Config {
	id := r.current.Load()
	return &tls.Config{
		MinVersion:   minTLSVersion,
		ServerName:   RouterSAN(router),
		RootCAs:      id.roots,
		Certificates: []tls.Certificate{id.cert},
	}
}

// PeerName returns the router name in the peer's certificate. The certificate
// must have been verified. Errors: ErrPeer, ErrName.
func PeerName(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 {
		return "", ErrPeer.New("no certificate")
	}
	return routerName(s.PeerCertificates[0])
}

// routerName returns the only router name in a certificate.
func routerName(cert *x509.Certificate) (string, error) {
	found := ""
	for _, san := range cert.DNSNames {
		name, ok := strings.CutSuffix(san, routerDomain)
		if !ok {
			continue
		}
		if found != "" {
			return "", ErrPeer.New("certificate names several routers")
		}
		if err := validateRouterName(name); err != nil {
			return "", err
		}
		found = name
	}
	if found == "" {
		return "", ErrPeer.New("certificate names no router")
	}
	return found, nil
}

// validateRouterName accepts names that are a single DNS label and safe in file
// names.
func validateRouterName(name string) error {
	if name == "" || len(name) > maxLabelLen {
		return ErrName.New("%q has %d characters", name, len(name))
	}
	if strings.HasPrefix(name, "-") {
		return ErrName.New("%q begins with a hyphen", name)
	}
	for _, c := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-", c) {
			return ErrName.New("%q: only a-z, 0-9 and - are allowed", name)
		}
	}
	return nil
}
