package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"
)

// CertPaths are the PEM files of one TLS identity.
type CertPaths struct {
	// Cert holds the certificate, followed by any intermediate certificates.
	Cert string
	// Key holds the private key.
	Key string
	// CA holds the certificates of trusted authorities. It may hold several, so
	// that authorities can be rotated. The path may be empty for an identity
	// that is presented to callers only; the chain is then not verified.
	CA string
	// Router is the router name that the certificate must contain. It may be
	// empty for an identity that is presented to callers only; the name is then
	// not checked.
	Router string
}

func (p CertPaths) list() []string {
	if p.CA == "" {
		return []string{p.Cert, p.Key}
	}
	return []string{p.Cert, p.Key, p.CA}
}

// CertReloader holds a certificate, its key and the trusted authorities, and
// provides TLS configurations that follow reloads. A reload affects only new
// connections. It is safe for concurrent use.
type CertReloader struct {
	*reloader[identity]
}

type identity struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// OpenCerts loads the files. Each load rejects a certificate that is expired or
// not yet valid at now. Errors: ErrFile, ErrInvalid.
func OpenCerts(paths CertPaths, now func() time.Time) (*CertReloader, error) {
	load := func() (*identity, error) { return loadIdentity(paths, now()) }
	r, err := newReloader(load, paths.list()...)
	if err != nil {
		return nil, err
	}
	return &CertReloader{r}, nil
}

// Check reloads the files if any of them has changed. After an error the
// previous certificate and authorities stay in use. Errors: ErrFile, ErrInvalid.
func (r *CertReloader) Check() (changed bool, err error) { return r.check() }

// Stats returns the reload counters.
func (r *CertReloader) Stats() Stats { return r.stats() }

// Expires returns when the current certificate expires, so that operators can be
// alerted in advance. An expired certificate stays in use if there is no other,
// and peers reject it.
func (r *CertReloader) Expires() time.Time {
	return r.current.Load().cert.Leaf.NotAfter
}

func loadIdentity(p CertPaths, now time.Time) (*identity, error) {
	cert, err := loadKeyPair(p)
	if err != nil {
		return nil, err
	}
	id := &identity{cert: cert}
	if p.CA != "" {
		if id.roots, err = loadRoots(p.CA); err != nil {
			return nil, err
		}
	}
	if err := id.validateName(p.Router); err != nil {
		return nil, err
	}
	return id, id.validate(now)
}

// loadKeyPair reads a certificate and its key.
func loadKeyPair(p CertPaths) (tls.Certificate, error) {
	certPEM, err := readFile(p.Cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	keyPEM, err := readFile(p.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	return cert, ErrInvalid.Wrap(err)
}

func loadRoots(path string) (*x509.CertPool, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, ErrInvalid.New("no certificate in %s", path)
	}
	return roots, nil
}

// validate rejects a certificate that peers would reject, so that a bad file is
// counted as a failed reload instead of failing every later handshake.
func (id *identity) validate(now time.Time) error {
	leaf := id.cert.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return ErrInvalid.New("certificate is valid only from %s to %s", leaf.NotBefore, leaf.NotAfter)
	}
	if id.roots == nil {
		return nil
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         id.roots,
		Intermediates: id.intermediates(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return ErrInvalid.Wrap(err)
}

// validateName rejects the certificate of another router, for instance after
// files were copied to the wrong VM. Every peer would reject it.
func (id *identity) validateName(router string) error {
	if router == "" {
		return nil
	}
	name, err := routerName(id.cert.Leaf)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	if name != router {
		return ErrInvalid.New("certificate is for router %q, want %q", name, router)
	}
	return nil
}

func (id *identity) intermediates() *x509.CertPool {
	pool := x509.NewCertPool()
	for _, der := range id.cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			pool.AddCert(c)
		}
	}
	return pool
}
