package router

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/keys"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The platform's address is unreachable, because key rotation must also work during an outage.
const secureSettings = `name: %[1]s
site: north
region: r
listen: 127.0.0.1:0
advertise: 127.0.0.1:1
control_listen: 127.0.0.1:0
control_advertise: 127.0.0.1:1
admin_listen: 127.0.0.1:0
platform: {store: "127.0.0.1:1"}
tls: {cert: %[2]s/%[1]s.pem, key: %[2]s/%[1]s-key.pem}
peer_tls: {cert: %[2]s/%[1]s.pem, key: %[2]s/%[1]s-key.pem, ca: %[2]s/ca.pem}
fleet_keys: [%[3]s]
hint_keys: [%[3]s]
`

func secureKey(id string) string {
	secret := base64.StdEncoding.EncodeToString([]byte(strings.Repeat(id, settings.MinKeyBytes)))
	return fmt.Sprintf("{id: %s, key: %s}", id, secret)
}

func writeSecure(t *testing.T, dir, name string, keys ...string) string {
	file := filepath.Join(dir, name+".yaml")
	text := fmt.Sprintf(secureSettings, name, dir, strings.Join(keys, ", "))
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func startSecure(t *testing.T, dir, name, key string, seeds ...string) *Router {
	set, err := settings.Load(writeSecure(t, dir, name, secureKey(key)))
	require.NoError(t, err)
	// The ports are chosen when the listeners are opened, and the chosen ones are advertised if the
	// settings don't differ from the listening addresses.
	set.ControlAdvertise, set.Advertise = set.ControlListen, set.Listen
	set.Seeds = seeds
	r, err := New(set, log.New(io.Discard), Options{})
	require.NoError(t, err)
	require.NoError(t, r.Start())
	t.Cleanup(r.Close)
	return r
}

// callUnknownMethod calls a method of the configuration service that does not exist.
func callUnknownMethod(from, to *Router) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	t := peer.Target{Name: to.set.Name, Address: to.Control()}
	return from.peerCaller.Call(ctx, t, controller.FleetService+".NoSuchMethod", 0, new(int))
}

// Guards against routers that stop calling each other, and against closed connections of callers,
// during a key rotation: the fleet key and the certificates are replaced on two running routers,
// one after the other, while a caller's connection is open.
func TestKeyRotationDoesNotInterruptCalls(t *testing.T) {
	dir := t.TempDir()
	certify := func() {
		require.NoError(t, keys.Generate(dir, keys.GenerateOptions{
			Routers: []string{"r1", "r2", "r3"}, Hosts: []string{"127.0.0.1"}, Now: time.Now(),
		}))
	}
	certify()
	first := startSecure(t, dir, "r1", "k1")
	fleet := []*Router{first, startSecure(t, dir, "r2", "k1", first.Control())}
	callEachOther := func() {
		// Only a router that was authenticated gets the error that the method is unknown.
		assert.True(t, peer.ErrRemote.Has(callUnknownMethod(fleet[0], fleet[1])))
		assert.True(t, peer.ErrRemote.Has(callUnknownMethod(fleet[1], fleet[0])))
	}
	callEachOther()
	caller := dialCaller(t, dir, fleet[0].Address())
	requestLocate(t, caller)
	certify()
	for _, step := range [][]string{{secureKey("k1"), secureKey("k2")}, {secureKey("k2"), secureKey("k1")}, {secureKey("k2")}} {
		for _, r := range fleet {
			writeSecure(t, dir, r.set.Name, step...)
			require.NoError(t, r.ReloadSecrets())
			callEachOther()
		}
	}
	requestLocate(t, caller)
	newConn := dialCaller(t, dir, fleet[0].Address())
	serial := func(c *tls.Conn) string { return c.ConnectionState().PeerCertificates[0].SerialNumber.String() }
	assert.NotEqual(t, serial(caller), serial(newConn))
	operator := dialCaller(t, dir, fleet[0].Admin())
	assert.Equal(t, serial(newConn), serial(operator), "both listeners must use the reloaded certificate")
	assert.Contains(t, fleet[0].Vars().String(), `"fleet_keys":["k2"]`)
	for _, r := range fleet {
		got := r.counters.Snapshot()
		assert.Zero(t, got.Refused+got.RefusedDials+got.Timeouts)
	}
	startSecure(t, dir, "r3", "k2", first.Control())
	assert.Eventually(t, func() bool { return len(first.Snapshot().Live) == 3 }, time.Minute, 10*time.Millisecond,
		"membership must use the new key")
}

func dialCaller(t *testing.T, dir, address string) *tls.Conn {
	data, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(data))
	c, err := tls.Dial("tcp", address, &tls.Config{RootCAs: roots})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// requestLocate sends a locate request without an API key and checks that it gets a typed refusal.
func requestLocate(t *testing.T, c *tls.Conn) {
	req, err := http.NewRequest(http.MethodGet, "https://"+c.RemoteAddr().String()+wire.PathLocate, nil)
	require.NoError(t, err)
	require.NoError(t, req.Write(c))
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Contains(t, string(body), `"error"`)
}
