package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"
)

// CertPaths are the files of one identity, all in PEM.
type CertPaths struct {
	// Cert is the certificate, followed by its intermediates.
	Cert string
	// Key is the private key.
	Key string
	// CA holds the authorities that are trusted. It may hold two, so that
	// authorities can be rotated. It may be empty for an identity that is
	// shown to callers only; then the chain is not checked either.
	CA string
	// Router is the name that the certificate must prove. It is empty for an
	// identity that is shown to callers only; then any name will do.
	Router string
}

func (p CertPaths) list() []string {
	if p.CA == "" {
		return []string{p.Cert, p.Key}
	}
	return []string{p.Cert, p.Key, p.CA}
}

// CertReloader holds a certificate, its key and the trusted authorities, and
// makes TLS configurations that follow them. A reload affects new connections;
// open ones go on with what they were set up with.
type CertReloader struct {
	*reloader[identity]
}

type identity struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// OpenCerts reads the files. now is asked for the time at each load, to refuse
// certificates that are not valid.
func OpenCerts(paths CertPaths, now func() time.Time) (*CertReloader, error) {
	load := func() (*identity, error) { return loadIdentity(paths, now()) }
	r, err := newReloader(load, paths.list()...)
	if err != nil {
		return nil, err
	}
	return &CertReloader{r}, nil
}

// Check reloads the files if any has changed. After an error the old
// certificate and authorities stay in use.
func (r *CertReloader) Check() (changed bool, err error) { return r.check() }

// Stats returns the counters of reloads.
func (r *CertReloader) Stats() Stats { return r.stats() }

// Expires returns when the present certificate ends, for an alert in advance:
// an expired one stays in use, as there is none better, and peers refuse it.
func (r *CertReloader) Expires() time.Time {
	return r.current.Load().cert.Leaf.NotAfter
}

func loadIdentity(p CertPaths, now time.Time) (*identity, error) {
	cert, err := loadPair(p)
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

// loadPair reads a certificate and its key.
func loadPair(p CertPaths) (tls.Certificate, error) {
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

// validate refuses what peers would refuse: better one failed reload that is
// counted here than every handshake failing from then on.
func (id *identity) validate(now time.Time) error {
	leaf := id.cert.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return ErrInvalid.New("certificate valid from %s to %s", leaf.NotBefore, leaf.NotAfter)
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

// validateName refuses another router's certificate, for instance after files
// were copied to the wrong VM: every peer would refuse it.
func (id *identity) validateName(router string) error {
	if router == "" {
		return nil
	}
	name, err := routerOf(id.cert.Leaf)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	if name != router {
		return ErrInvalid.New("certificate of router %q, not %q", name, router)
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
