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
	// DefaultValidity is how long generated certificates last.
	DefaultValidity = 90 * 24 * time.Hour
	// backdate lets a certificate be used at once by VMs whose clocks are slow.
	backdate = time.Hour
	// caName is the base name of the authority's files. No router has it.
	caName = "ca"

	secretMode fs.FileMode = 0o600
	publicMode fs.FileMode = 0o644
)

// GenerateOptions say which certificates to make.
type GenerateOptions struct {
	// Routers are the names of the routers that get a certificate.
	Routers []string
	// Hosts are DNS names and IP addresses that callers use for any of them.
	Hosts []string
	// Now is the start of validity.
	Now time.Time
	// Validity is how long the certificates last. Default DefaultValidity; the
	// authority lasts ten times as long.
	Validity time.Duration
}

// Generate writes the certificate and key of each router to dir, signed by the
// authority there, which is made if missing. Existing router files are
// replaced. It is meant for tests and small fleets; an organisation with an
// authority of its own gives its certificates RouterSAN names instead.
func Generate(dir string, o GenerateOptions) error {
	if o.Validity == 0 {
		o.Validity = DefaultValidity
	}
	ca, err := authority(dir, o)
	if err != nil {
		return err
	}
	for _, router := range o.Routers {
		if err := newLeaf(dir, router, ca, o); err != nil {
			return err
		}
	}
	return nil
}

// PathsIn returns the files that Generate makes in dir for router.
func PathsIn(dir, router string) CertPaths {
	return CertPaths{
		Cert: filepath.Join(dir, router+".pem"),
		Key:  filepath.Join(dir, router+"-key.pem"),
		CA:   filepath.Join(dir, caName+".pem"),
	}
}

// authority makes a new one only where there is no certificate at all. With the
// certificate there and its key kept elsewhere, a new authority would take its
// place, and every router would refuse those that it signs.
func authority(dir string, o GenerateOptions) (*tls.Certificate, error) {
	_, err := os.Stat(PathsIn(dir, caName).Cert)
	if errors.Is(err, fs.ErrNotExist) {
		return newAuthority(dir, o)
	}
	return loadAuthority(dir)
}

func loadAuthority(dir string) (*tls.Certificate, error) {
	ca, err := loadPair(PathsIn(dir, caName))
	return &ca, err
}

func newAuthority(dir string, o GenerateOptions) (*tls.Certificate, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "damaskrouter fleet"},
		NotBefore:             o.Now.Add(-backdate),
		NotAfter:              o.Now.Add(10 * o.Validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	if err := sign(PathsIn(dir, caName), template, nil); err != nil {
		return nil, err
	}
	return loadAuthority(dir)
}

func newLeaf(dir, router string, ca *tls.Certificate, o GenerateOptions) error {
	if err := checkName(router); err != nil {
		return err
	}
	if router == caName {
		return ErrName.New("%q is the authority's", router)
	}
	template := leafTemplate(o)
	template.Subject = pkix.Name{CommonName: router}
	template.DNSNames = append(template.DNSNames, RouterSAN(router))
	return sign(PathsIn(dir, router), template, ca)
}

// leafTemplate is a certificate for o.Hosts, without a name of its own.
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

// sign makes a key, signs template with ca, or with the key itself if ca is
// nil, and writes both.
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
	if err := writePEM(p.Key, "PRIVATE KEY", keyDER, secretMode); err != nil {
		return err
	}
	return writePEM(p.Cert, "CERTIFICATE", der, publicMode)
}

func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	return writeFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

// writeFile replaces path in one step, so that a reload never reads half a file.
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
