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

func generateCerts(t *testing.T, dir string, o GenerateOptions) {
	if o.Now.IsZero() {
		o.Now = time.Now()
	}
	require.NoError(t, Generate(dir, o))
}

// newCertDir returns a directory with certificates of routers r1 and r2.
func newCertDir(t *testing.T) string {
	dir := t.TempDir()
	generateCerts(t, dir, GenerateOptions{Routers: []string{"r1", "r2"}, Hosts: []string{"localhost", "127.0.0.1"}})
	return dir
}

func openCerts(t *testing.T, dir, router string) *CertReloader {
	r, err := OpenCerts(PathsIn(dir, router), time.Now)
	require.NoError(t, err)
	return r
}

// startEchoServer echoes all connections on a loopback address until the test
// ends.
func startEchoServer(t *testing.T, c *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go echoConn(conn)
		}
	}()
	return l.Addr().String()
}

func echoConn(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

// ping sends a byte and reads it back. With TLS 1.3, a server rejects the
// client's certificate only after the handshake has completed at the client.
func ping(conn *tls.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func dialAndPing(t *testing.T, addr string, c *tls.Config) (*tls.Conn, error) {
	conn, err := tls.Dial("tcp", addr, c)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, ping(conn)
}

// Replacing all files by those of a new authority must neither close open
// connections nor leave the old authority trusted. The former happens if the
// listener is restarted, the latter if it keeps the authorities from its start.
func TestRotationKeepsConnectionsAndDropsOldAuthority(t *testing.T) {
	dir := newCertDir(t)
	server, client, retired := openCerts(t, dir, "r1"), openCerts(t, dir, "r2"), openCerts(t, dir, "r2")
	addr := startEchoServer(t, server.PeerServer())
	old, err := dialAndPing(t, addr, client.PeerClient("r1"))
	require.NoError(t, err)
	peer, err := PeerName(old.ConnectionState())
	require.NoError(t, err)
	assert.Equal(t, "r1", peer)

	require.NoError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	generateCerts(t, dir, GenerateOptions{Routers: []string{"r1", "r2"}})
	for _, r := range []*CertReloader{server, client} {
		changed, err := r.Check()
		require.NoError(t, err)
		require.True(t, changed)
		again, err := r.Check()
		require.NoError(t, err)
		assert.False(t, again)
		assert.Equal(t, Stats{Reloads: 1}, r.Stats())
	}
	newConn, err := dialAndPing(t, addr, client.PeerClient("r1"))
	require.NoError(t, err)
	serial := func(c *tls.Conn) string { return c.ConnectionState().PeerCertificates[0].SerialNumber.String() }
	assert.NotEqual(t, serial(old), serial(newConn))
	assert.NoError(t, ping(old))
	retiredClient := client.PeerClient("r1")
	retiredClient.Certificates = retired.PeerClient("r1").Certificates
	_, err = dialAndPing(t, addr, retiredClient)
	assert.Error(t, err, "certificate of the retired authority")
}

// Guards against access to the control traffic by anything but a router, whether
// it connects to a router or has been assigned a router's address. A peer must
// not be accepted by address, or by authority without a router name.
func TestUntrustedPeersAreRejected(t *testing.T) {
	dir := newCertDir(t)
	r1, r2, otherFleet := openCerts(t, dir, "r1"), openCerts(t, dir, "r2"), openCerts(t, newCertDir(t), "r2")
	ca, err := loadAuthority(dir)
	require.NoError(t, err)
	tool := leafTemplate(GenerateOptions{Now: time.Now(), Validity: time.Hour, Hosts: []string{"tool"}})
	require.NoError(t, sign(PathsIn(dir, "tool"), tool, ca))
	addr := startEchoServer(t, r1.PeerServer())
	noCert := r2.PeerClient("r1")
	noCert.Certificates = nil
	oldTLS := r2.PeerClient("r1")
	oldTLS.MinVersion, oldTLS.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	otherCA := r2.PeerClient("r1")
	otherCA.Certificates = otherFleet.PeerClient("r1").Certificates
	for name, c := range map[string]*tls.Config{
		"client without a certificate": noCert,
		"client of another authority":  otherCA,
		"server of another authority":  otherFleet.PeerClient("r1"),
		"server of another name":       r2.PeerClient("r2"),
		"certificate without a router": openCerts(t, dir, "tool").PeerClient("r1"),
		"old protocol version":         oldTLS,
	} {
		_, err := dialAndPing(t, addr, c)
		assert.Error(t, err, name)
	}
	_, err = dialAndPing(t, addr, r2.PeerClient("r1"))
	assert.NoError(t, err)
	_, err = PeerName(tls.ConnectionState{})
	assert.True(t, ErrPeer.Has(err))
}

// If a file is missing, incomplete, expired or does not match the others when it
// is checked, the previous certificate must stay in use. Without validation, all
// new connections would fail.
func TestInvalidFilesKeepPreviousCertificate(t *testing.T) {
	year := 365 * 24 * time.Hour
	expired, otherFleet := t.TempDir(), newCertDir(t)
	generateCerts(t, expired, GenerateOptions{Routers: []string{"r1"}, Now: time.Now().Add(-year)})
	future := t.TempDir()
	generateCerts(t, future, GenerateOptions{Routers: []string{"r1"}, Now: time.Now().Add(year)})
	for name, tc := range map[string]struct {
		from  string // directory whose files replace the current ones
		files []string
		class func(error) bool
	}{
		"expired":           {expired, []string{"r1.pem", "r1-key.pem", "ca.pem"}, ErrInvalid.Has},
		"not yet valid":     {future, []string{"r1.pem", "r1-key.pem", "ca.pem"}, ErrInvalid.Has},
		"certificate only":  {otherFleet, []string{"r1.pem"}, ErrInvalid.Has},
		"another authority": {otherFleet, []string{"r1.pem", "r1-key.pem"}, ErrInvalid.Has},
		"garbage":           {"", []string{"r1.pem"}, ErrInvalid.Has},
		"garbage as CA":     {"", []string{"ca.pem"}, ErrInvalid.Has},
		"missing key":       {"missing", []string{"r1-key.pem"}, ErrFile.Has},
	} {
		t.Run(name, func(t *testing.T) {
			dir := newCertDir(t)
			r := openCerts(t, dir, "r1")
			addr, expiry := startEchoServer(t, r.CallerServer()), r.Expires()
			for _, f := range tc.files {
				data := []byte("garbage")
				if tc.from != "" {
					data, _ = os.ReadFile(filepath.Join(tc.from, f))
				}
				require.NoError(t, writeFile(filepath.Join(dir, f), data, keyFileMode))
				if tc.from == "missing" {
					require.NoError(t, os.Remove(filepath.Join(dir, f)))
				}
			}
			changed, err := r.Check()
			assert.False(t, changed)
			assert.True(t, tc.class(err), "%v", err)
			assert.Equal(t, Stats{Failures: 1}, r.Stats())
			assert.Equal(t, expiry, r.Expires())
			roots := r.PeerClient("r1").RootCAs
			_, err = dialAndPing(t, addr, &tls.Config{RootCAs: roots, ServerName: "localhost"})
			assert.NoError(t, err)

			for _, f := range []string{"ca.pem", "r1.pem", "r1-key.pem"} {
				data, err := os.ReadFile(filepath.Join(otherFleet, f))
				require.NoError(t, err)
				require.NoError(t, writeFile(filepath.Join(dir, f), data, keyFileMode))
			}
			changed, err = r.Check()
			assert.NoError(t, err)
			assert.True(t, changed, "good files after bad ones")
		})
	}
}

func TestValidityPeriodIsCheckedWithoutAuthority(t *testing.T) {
	paths := PathsIn(newCertDir(t), "r1")
	paths.CA = ""
	for _, days := range []int{-1, 0, 91} {
		now := func() time.Time { return time.Now().AddDate(0, 0, days) }
		_, err := OpenCerts(paths, now)
		assert.Equal(t, days != 0, ErrInvalid.Has(err), "%d days", days)
	}
}

func TestGenerateRejectsInvalidNamesAndMissingAuthorityKey(t *testing.T) {
	dir := newCertDir(t)
	for _, name := range []string{"", "ca", "../r1", "R1", "r.1", "-r", strings.Repeat("r", maxLabelLen+1)} {
		err := Generate(dir, GenerateOptions{Routers: []string{name}, Now: time.Now()})
		assert.True(t, ErrName.Has(err), name)
	}
	// Without the authority's key, Generate must fail. Routers would reject each
	// other if it created a new authority.
	require.NoError(t, os.Remove(PathsIn(dir, authorityName).Key))
	err := Generate(dir, GenerateOptions{Routers: []string{"r1"}, Now: time.Now()})
	assert.True(t, ErrFile.Has(err), "%v", err)
	info, err := os.Stat(PathsIn(dir, "r1").Key)
	require.NoError(t, err)
	assert.Equal(t, keyFileMode, info.Mode())
}

// A valid certificate of another router must not be loaded, for example after
// files were copied to the wrong VM: all other routers would reject it.
func TestCertificateOfAnotherRouterIsRejected(t *testing.T) {
	dir := newCertDir(t)
	paths := PathsIn(dir, "r1")
	paths.Router = "r1"
	r, err := OpenCerts(paths, time.Now)
	require.NoError(t, err)
	other := PathsIn(dir, "r2")
	for from, to := range map[string]string{other.Cert: paths.Cert, other.Key: paths.Key} {
		data, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, data, keyFileMode))
	}
	before := r.PeerClient("r2").Certificates[0].Certificate[0]
	_, err = r.Check()
	assert.True(t, ErrInvalid.Has(err), "%v", err)
	assert.Equal(t, before, r.PeerClient("r2").Certificates[0].Certificate[0])
	_, err = OpenCerts(paths, time.Now)
	assert.True(t, ErrInvalid.Has(err), "%v", err)
}
