package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// DefaultValidity is the default validity period of generated certificates.
	DefaultValidity = 90 * 24 * time.Hour
	// backdate makes new certificates valid at once on VMs whose clocks are slow.
	backdate = time.Hour
	// authorityName is the base name of the authority's files. No router may use it.
	authorityName = "ca"

	keyFileMode  fs.FileMode = 0o600
	certFileMode fs.FileMode = 0o644
)

// GenerateOptions configures Generate.
type GenerateOptions struct {
	// Routers are the names of the routers to generate certificates for.
	Routers []string
	// Hosts are the DNS names and IP addresses that callers use; they are added
	// to each certificate.
	Hosts []string
	// Now is the start of the validity period.
	Now time.Time
	// Validity is the validity period of the certificates; zero means
	// DefaultValidity. The authority is valid ten times as long.
	Validity time.Duration
}

// Generate writes a certificate and key for each router to dir, signed by the
// authority in dir, which is created if its certificate is missing. Existing
// router files are replaced. It is intended for tests and small fleets; an
// organisation with its own authority issues certificates with RouterSAN names
// instead. Errors: ErrFile, ErrInvalid, ErrName.
func Generate(dir string, o GenerateOptions) error {
	if o.Validity == 0 {
		o.Validity = DefaultValidity
	}
	ca, err := loadOrCreateAuthority(dir, o)
	if err != nil {
		return err
	}
	for _, router := range o.Routers {
		if err := createLeaf(dir, router, ca, o); err != nil {
			return err
		}
	}
	return nil
}

// PathsIn returns the paths of the files that Generate writes to dir for router.
func PathsIn(dir, router string) CertPaths {
	return CertPaths{
		Cert: filepath.Join(dir, router+".pem"),
		Key:  filepath.Join(dir, router+"-key.pem"),
		CA:   filepath.Join(dir, authorityName+".pem"),
	}
}

// loadOrCreateAuthority creates an authority only if there is no certificate of
// one. If the certificate exists and its key is stored elsewhere, loading
// fails: a new authority would replace the existing one, and routers would
// reject the certificates that the new one signs.
func loadOrCreateAuthority(dir string, o GenerateOptions) (*tls.Certificate, error) {
	_, err := os.Stat(PathsIn(dir, authorityName).Cert)
	if errors.Is(err, fs.ErrNotExist) {
		return createAuthority(dir, o)
	}
	return loadAuthority(dir)
}

func loadAuthority(dir string) (*tls.Certificate, error) {
	ca, err := loadKeyPair(PathsIn(dir, authorityName))
	return &ca, err
}

func createAuthority(dir string, o GenerateOptions) (*tls.Certificate, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "damaskrouter fleet"},
		NotBefore:             o.Now.Add(-backdate),
		NotAfter:              o.Now.Add(10 * o.Validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	if err := sign(PathsIn(dir, authorityName), template, nil); err != nil {
		return nil, err
	}
	return loadAuthority(dir)
}

func createLeaf(dir, router string, ca *tls.Certificate, o GenerateOptions) error {
	if err := validateRouterName(router); err != nil {
		return err
	}
	if router == authorityName {
		return ErrName.New("%q is the authority's", router)
	}
	template := leafTemplate(o)
	template.Subject = pkix.Name{CommonName: router}
	template.DNSNames = append(template.DNSNames, RouterSAN(router))
	return sign(PathsIn(dir, router), template, ca)
}

// leafTemplate returns a certificate template for o.Hosts without a subject or
// router name.
func leafTemplate(o GenerateOptions) *x509.Certificate {
	template := &x509.Certificate{
		NotBefore:   o.Now.Add(-backdate),
		NotAfter:    o.Now.Add(o.Validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, host := range o.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	return template
}

// sign generates a key, signs template with ca or, if ca is nil, with the new
// key, and writes key and certificate.
func sign(p CertPaths, template *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	parent, signer := template, any(key)
	if ca != nil {
		parent, signer = ca.Leaf, ca.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	if err := writePEM(p.Key, "PRIVATE KEY", keyDER, keyFileMode); err != nil {
		return err
	}
	return writePEM(p.Cert, "CERTIFICATE", der, certFileMode)
}

func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	return writeFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

// writeFile replaces path atomically, so that a reload never reads an incomplete
// file.
func writeFile(path string, data []byte, mode fs.FileMode) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return ErrFile.Wrap(err)
	}
	_, err = tmp.Write(data)
	err = errors.Join(err, tmp.Chmod(mode), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return ErrFile.Wrap(err)
}
