package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"damaskrouter.example/damaskrouter/client"
	"github.com/integrii/flaggy"
)

// tlsFlags configure how commands for callers verify the routers' certificates.
type tlsFlags struct {
	on         bool
	ca         string
	serverName string
}

func (f *tlsFlags) add(sub *flaggy.Subcommand) {
	sub.Bool(&f.on, "", "tls", "Connect with TLS, trusting the system's authorities.")
	sub.String(&f.ca, "", "ca", "Connect with TLS, trusting the authorities in this PEM file only.")
	sub.String(&f.serverName, "", "server-name", "The name in the routers' certificates. Default: the address that is connected to.")
}

// apply sets the scheme and the transport in o according to the flags. The error is
// ErrUsage.
func (f *tlsFlags) apply(o *client.Options) error {
	if !f.on && f.ca == "" {
		if f.serverName != "" {
			return ErrUsage.New("--server-name needs --tls or --ca FILE")
		}
		return nil
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: f.serverName}
	if f.ca != "" {
		roots, err := readCertPool(f.ca)
		if err != nil {
			return err
		}
		tlsConfig.RootCAs = roots
	}
	o.Scheme = "https"
	o.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	return nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUsage.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, ErrUsage.New("no certificate in %s", path)
	}
	return roots, nil
}
