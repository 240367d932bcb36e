package keys

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func generate(t *testing.T, dir string, o GenerateOptions) {
	if o.Now.IsZero() {
		o.Now = time.Now()
	}
	require.NoError(t, Generate(dir, o))
}

// fleet returns a directory with certificates of routers r1 and r2.
func fleet(t *testing.T) string {
	dir := t.TempDir()
	generate(t, dir, GenerateOptions{Routers: []string{"r1", "r2"}, Hosts: []string{"localhost", "127.0.0.1"}})
	return dir
}

func open(t *testing.T, dir, router string) *CertReloader {
	r, err := OpenCerts(PathsIn(dir, router), time.Now)
	require.NoError(t, err)
	return r
}

// echo serves each connection on loopback until the test ends.
func echo(t *testing.T, c *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

func serve(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

// ping sends a byte there and back; with TLS 1.3 a server refuses a client's
// certificate only after the client's side of the handshake is done.
func ping(conn *tls.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func dial(t *testing.T, addr string, c *tls.Config) (*tls.Conn, error) {
	conn, err := tls.Dial("tcp", addr, c)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, ping(conn)
}

// Symptom: a rotation of certificates cuts streams in progress, or a retired
// authority's certificates go on opening connections. Sequence: all files are
// replaced by those of a new authority while a connection is open. Cause: a
// listener restarted for the reload, or trust fixed when it started.
func TestRotationKeepsConnections(t *testing.T) {
	dir := fleet(t)
	server, client, retired := open(t, dir, "r1"), open(t, dir, "r2"), open(t, dir, "r2")
	addr := echo(t, server.PeerServer())
	old, err := dial(t, addr, client.PeerClient("r1"))
	require.NoError(t, err)
	peer, err := PeerName(old.ConnectionState())
	require.NoError(t, err)
	assert.Equal(t, "r1", peer)

	require.NoError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	generate(t, dir, GenerateOptions{Routers: []string{"r1", "r2"}})
	for _, r := range []*CertReloader{server, client} {
		changed, err := r.Check()
		require.NoError(t, err)
		require.True(t, changed)
		again, err := r.Check()
		require.NoError(t, err)
		assert.False(t, again)
		assert.Equal(t, Stats{Reloads: 1}, r.Stats())
	}
	fresh, err := dial(t, addr, client.PeerClient("r1"))
	require.NoError(t, err)
	serial := func(c *tls.Conn) string { return c.ConnectionState().PeerCertificates[0].SerialNumber.String() }
	assert.NotEqual(t, serial(old), serial(fresh))
	assert.NoError(t, ping(old))
	trusting := client.PeerClient("r1")
	trusting.Certificates = retired.PeerClient("r1").Certificates
	_, err = dial(t, addr, trusting)
	assert.Error(t, err, "certificate of the retired authority")
}

// Symptom: something that is no router reads or alters the fleet's control
// traffic. Sequence: it connects to a router, or takes over a router's address.
// Cause: a peer accepted by address, or by authority without its name.
func TestPeersRefused(t *testing.T) {
	dir := fleet(t)
	r1, r2, stranger := open(t, dir, "r1"), open(t, dir, "r2"), open(t, fleet(t), "r2")
	ca, err := loadAuthority(dir)
	require.NoError(t, err)
	tool := leafTemplate(GenerateOptions{Now: time.Now(), Validity: time.Hour, Hosts: []string{"tool"}})
	require.NoError(t, sign(PathsIn(dir, "tool"), tool, ca))
	addr := echo(t, r1.PeerServer())
	noCert := r2.PeerClient("r1")
	noCert.Certificates = nil
	oldTLS := r2.PeerClient("r1")
	oldTLS.MinVersion, oldTLS.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	otherCA := r2.PeerClient("r1")
	otherCA.Certificates = stranger.PeerClient("r1").Certificates
	for name, c := range map[string]*tls.Config{
		"client without a certificate":  noCert,
		"client of another authority":   otherCA,
		"server of another authority":   stranger.PeerClient("r1"),
		"server of another name":        r2.PeerClient("r2"),
		"certificate that is no router": open(t, dir, "tool").PeerClient("r1"),
		"old protocol version":          oldTLS,
	} {
		_, err := dial(t, addr, c)
		assert.Error(t, err, name)
	}
	_, err = dial(t, addr, r2.PeerClient("r1"))
	assert.NoError(t, err)
	_, err = PeerName(tls.ConnectionState{})
	assert.True(t, ErrPeer.Has(err))
}

// Symptom: all new connections fail at once after an upload of certificates.
// Sequence: a file is missing, torn, expired or does not fit the others when
// it is checked. Cause: replaced without being validated.
func TestBadCertificatesKeepTheOld(t *testing.T) {
	year := 365 * 24 * time.Hour
	expired, stranger := t.TempDir(), fleet(t)
	generate(t, expired, GenerateOptions{Routers: []string{"r1"}, Now: time.Now().Add(-year)})
	future := t.TempDir()
	generate(t, future, GenerateOptions{Routers: []string{"r1"}, Now: time.Now().Add(year)})
	for name, tc := range map[string]struct {
		from  string // copied over the present files
		files []string
		class func(error) bool
	}{
		"expired":           {expired, []string{"r1.pem", "r1-key.pem", "ca.pem"}, ErrInvalid.Has},
		"not yet valid":     {future, []string{"r1.pem", "r1-key.pem", "ca.pem"}, ErrInvalid.Has},
		"certificate only":  {stranger, []string{"r1.pem"}, ErrInvalid.Has},
		"another authority": {stranger, []string{"r1.pem", "r1-key.pem"}, ErrInvalid.Has},
		"garbage":           {"", []string{"r1.pem"}, ErrInvalid.Has},
		"garbage as CA":     {"", []string{"ca.pem"}, ErrInvalid.Has},
		"missing key":       {"missing", []string{"r1-key.pem"}, ErrFile.Has},
	} {
		t.Run(name, func(t *testing.T) {
			dir := fleet(t)
			r := open(t, dir, "r1")
			addr, ends := echo(t, r.CallerServer()), r.Expires()
			for _, f := range tc.files {
				data := []byte("garbage")
				if tc.from != "" {
					data, _ = os.ReadFile(filepath.Join(tc.from, f))
				}
				require.NoError(t, writeFile(filepath.Join(dir, f), data, secretMode))
				if tc.from == "missing" {
					require.NoError(t, os.Remove(filepath.Join(dir, f)))
				}
			}
			changed, err := r.Check()
			assert.False(t, changed)
			assert.True(t, tc.class(err), "%v", err)
			assert.Equal(t, Stats{Failures: 1}, r.Stats())
			assert.Equal(t, ends, r.Expires())
			roots := r.PeerClient("r1").RootCAs
			_, err = dial(t, addr, &tls.Config{RootCAs: roots, ServerName: "localhost"})
			assert.NoError(t, err)

			for _, f := range []string{"ca.pem", "r1.pem", "r1-key.pem"} {
				data, err := os.ReadFile(filepath.Join(stranger, f))
				require.NoError(t, err)
				require.NoError(t, writeFile(filepath.Join(dir, f), data, secretMode))
			}
			changed, err = r.Check()
			assert.NoError(t, err)
			assert.True(t, changed, "good files after bad ones")
		})
	}
}

func TestUncheckedChainStillHasDates(t *testing.T) {
	paths := PathsIn(fleet(t), "r1")
	paths.CA = ""
	for _, days := range []int{-1, 0, 91} {
		now := func() time.Time { return time.Now().AddDate(0, 0, days) }
		_, err := OpenCerts(paths, now)
		assert.Equal(t, days != 0, ErrInvalid.Has(err), "%d days", days)
	}
}

func TestGenerateRefusesNames(t *testing.T) {
	dir := fleet(t)
	for _, name := range []string{"", "ca", "../r1", "R1", "r.1", "-r", strings.Repeat("r", maxName+1)} {
		err := Generate(dir, GenerateOptions{Routers: []string{name}, Now: time.Now()})
		assert.True(t, ErrName.Has(err), name)
	}
	// Symptom: every router refuses every other. Sequence: certificates are made
	// where the authority's key is not kept. Cause: a new authority made instead.
	require.NoError(t, os.Remove(PathsIn(dir, caName).Key))
	err := Generate(dir, GenerateOptions{Routers: []string{"r1"}, Now: time.Now()})
	assert.True(t, ErrFile.Has(err), "%v", err)
	info, err := os.Stat(PathsIn(dir, "r1").Key)
	require.NoError(t, err)
	assert.Equal(t, secretMode, info.Mode())
}

// Symptom: every router refuses one after a certificate was renewed. Sequence:
// another router's files are copied to it, or a callers' certificate is. Cause:
// a certificate that is valid, but not for this name.
func TestCertificateOfAnotherRouterIsRefused(t *testing.T) {
	dir := fleet(t)
	paths := PathsIn(dir, "r1")
	paths.Router = "r1"
	r, err := OpenCerts(paths, time.Now)
	require.NoError(t, err)
	other := PathsIn(dir, "r2")
	for from, to := range map[string]string{other.Cert: paths.Cert, other.Key: paths.Key} {
		data, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, data, secretMode))
	}
	before := r.PeerClient("r2").Certificates[0].Certificate[0]
	_, err = r.Check()
	assert.True(t, ErrInvalid.Has(err), "%v", err)
	assert.Equal(t, before, r.PeerClient("r2").Certificates[0].Certificate[0])
	_, err = OpenCerts(paths, time.Now)
	assert.True(t, ErrInvalid.Has(err), "%v", err)
}
