package keys

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
)

const (
	// minTLS is the oldest protocol version that is spoken.
	minTLS = tls.VersionTLS13
	// routerDomain ends the DNS name that marks a certificate as a router's.
	// A certificate of the same authority without it, such as one for an
	// operator's tool, does not pass as a router.
	routerDomain = ".router.damaskrouter.internal"
	// maxName is the longest label in a DNS name.
	maxName = 63
)

// RouterSAN returns the DNS name that the certificate of a router must bear.
func RouterSAN(router string) string { return router + routerDomain }

// CallerServer returns the configuration for listeners towards callers. It
// follows reloads.
func (r *CertReloader) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: minTLS,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().cert, nil
		},
	}
}

// PeerServer returns the configuration for listeners towards other routers. It
// follows reloads, and accepts only clients with a router's certificate from a
// trusted authority.
func (r *CertReloader) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: minTLS,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.peerServer(), nil
		},
	}
}

func (r *CertReloader) peerServer() *tls.Config {
	id := r.current.Load()
	return &tls.Config{
		MinVersion:   minTLS,
		Certificates: []tls.Certificate{id.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    id.roots,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := PeerName(s)
			return err
		},
		// A resumed session would vouch for its client with the authorities of
		// the time when it began, and so outlive the removal of one.
		SessionTicketsDisabled: true,
	}
}

// PeerClient returns the configuration for one connection to the named router.
// The peer must prove that name: an address alone may meanwhile be another
// VM's. Ask for a new configuration for each connection, since the trusted
// authorities in one do not change.
func (r *CertReloader) PeerClient(router string) *tls.Config {
	id := r.current.Load()
	return &tls.Config{
		MinVersion:   minTLS,
		ServerName:   RouterSAN(router),
		RootCAs:      id.roots,
		Certificates: []tls.Certificate{id.cert},
	}
}

// PeerName returns the name of the router at the other end of a connection
// whose certificate has been verified.
func PeerName(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 {
		return "", ErrPeer.New("no certificate")
	}
	return routerOf(s.PeerCertificates[0])
}

// routerOf returns the one router that a certificate names.
func routerOf(cert *x509.Certificate) (string, error) {
	found := ""
	for _, san := range cert.DNSNames {
		name, ok := strings.CutSuffix(san, routerDomain)
		if !ok {
			continue
		}
		if found != "" {
			return "", ErrPeer.New("certificate of several routers")
		}
		if err := checkName(name); err != nil {
			return "", err
		}
		found = name
	}
	if found == "" {
		return "", ErrPeer.New("certificate names no router")
	}
	return found, nil
}

// checkName allows what is one label of a DNS name and safe in a file name.
func checkName(name string) error {
	if name == "" || len(name) > maxName {
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
