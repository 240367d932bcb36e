package secret

import (
	"context"
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/keys"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
)

const settingsText = `name: %s
site: north
region: r
listen: 127.0.0.1:8080
control_listen: 127.0.0.1:9090
platform: {store: "127.0.0.1:1"}
tls: {cert: %[2]s/%[1]s.pem, key: %[2]s/%[1]s-key.pem}
peer_tls: {cert: %[2]s/%[1]s.pem, key: %[2]s/%[1]s-key.pem, ca: %[2]s/ca.pem}
fleet_keys: [%[3]s]
hint_keys: [%[3]s]
`

// secretText returns the base64 text of the secret of key id.
func secretText(id string) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(id, settings.MinKeyBytes)))
}

func keyList(ids ...string) string {
	var out []string
	for _, id := range ids {
		out = append(out, fmt.Sprintf("{id: %s, key: %q}", id, secretText(id)))
	}
	return strings.Join(out, ", ")
}

// fixture holds the files of one router and the Store that loads them.
type fixture struct {
	*Store
	name, dir, file string
	now             time.Time
	logged          int
}

func newCertDir(t *testing.T) string {
	dir := t.TempDir()
	generateCerts(t, dir, time.Now())
	return dir
}

func generateCerts(t *testing.T, dir string, now time.Time) {
	require.NoError(t, keys.Generate(dir, keys.GenerateOptions{
		Routers: []string{"r1", "r2", "r3"}, Hosts: []string{"127.0.0.1"}, Now: now,
	}))
}

func newFixture(t *testing.T, dir, name string, ids ...string) *fixture {
	f := &fixture{name: name, dir: dir, file: filepath.Join(dir, name+".yaml"), now: time.Now()}
	f.write(t, keyList(ids...))
	set, err := settings.Load(f.file)
	require.NoError(t, err)
	f.Store, err = Open(Options{
		Settings: set,
		Log:      func(string, ...any) { f.logged++ },
		Now:      func() time.Time { return f.now },
	})
	require.NoError(t, err)
	return f
}

func (f *fixture) write(t *testing.T, list string) {
	text := fmt.Sprintf(settingsText, f.name, f.dir, list)
	require.NoError(t, os.WriteFile(f.file, []byte(text), 0o600))
}

// router is a member of a fleet whose calls, packets and hints use one Store.
type router struct {
	*fixture
	id       uint64
	counters peer.Counters
	server   *peer.Server
	caller   *peer.Caller
	packets  *gossip.Endpoint
	address  string
}

// Ping is the RPC service of the test routers.
type Ping struct{}

// Do returns its argument.
func (Ping) Do(in int, out *int) error {
	*out = in
	return nil
}

func newRouter(t *testing.T, dir string, id uint64, seeds ...string) *router {
	r := &router{fixture: newFixture(t, dir, fmt.Sprint("r", id), "k1"), id: id}
	r.server = peer.NewServer(r.name, r.FleetKeys, &r.counters, r.PeerOptions()...)
	require.NoError(t, r.server.Register("Ping", Ping{}))
	r.caller = peer.NewCaller(r.name, r.FleetKeys, &r.counters, r.PeerOptions()...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = ln.Addr().String()
	self := membership.Member{Name: r.name, ID: id, Address: r.address, Site: "north"}
	opts := membership.DefaultOptions()
	opts.Seeds = seeds
	r.packets, err = gossip.NewEndpoint(self, opts, r.GossipKeys(), rand.New(rand.NewSource(1)), nil)
	require.NoError(t, err)
	go r.server.Serve(ln)
	t.Cleanup(func() {
		r.caller.Close()
		_ = ln.Close()
		r.server.Close()
	})
	return r
}

// reload checks the files, as a running router does every few seconds.
func (r *router) reload(t *testing.T) {
	require.NoError(t, r.Check())
	require.NoError(t, r.packets.SetKeys(r.GossipKeys()))
	r.server.Sweep()
}

// checkReachable makes a call from r to the router to, which must also open a
// hint and a resume token that r has signed.
func (r *router) checkReachable(t *testing.T, to *router) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var got int
	require.NoError(t, r.caller.Call(ctx, peer.Target{Name: to.name, Address: to.address}, "Ping.Do", 7, &got))
	require.Equal(t, 7, got)
	hint, err := to.OpenHint("account", r.SealHint("account", token.Hint{Chat: 7}))
	require.NoError(t, err)
	require.EqualValues(t, 7, hint.Chat)
	text, err := r.SealResume("account", token.Resume{Engine: "e1", Issued: r.now, Lifetime: time.Hour})
	require.NoError(t, err)
	_, err = to.OpenResume("account", text, r.now)
	require.NoError(t, err)
}

// No call, packet, hint or resume token may be rejected while a key is rotated:
// the new key is added, the keys are swapped, the old key is removed, each step
// on one router after another. This fails if a router signs with a key that
// others do not accept yet, or if a step closes connections.
func TestKeyRotationAcrossRoutersRejectsNothing(t *testing.T) {
	dir := newCertDir(t)
	first := newRouter(t, dir, 1)
	fleet := []*router{first, newRouter(t, dir, 2, first.address), newRouter(t, dir, 3, first.address)}
	now := time.Duration(0)
	checkAllPairs := func() {
		runGossip(fleet, &now)
		for _, from := range fleet {
			for _, to := range fleet {
				if from != to {
					from.checkReachable(t, to)
				}
			}
		}
	}
	checkAllPairs()
	for _, step := range [][]string{{"k1", "k2"}, {"k2", "k1"}, {"k2"}} {
		for _, r := range fleet {
			r.write(t, keyList(step...))
			r.reload(t)
			checkAllPairs()
		}
	}
	for _, r := range fleet {
		assert.Equal(t, []string{"k2"}, r.Status().FleetKeys)
		assert.EqualValues(t, 3, r.Status().Reloads)
		got := r.counters.Snapshot()
		assert.Zero(t, got.Refused+got.RefusedDials+got.Timeouts)
		packets := r.packets.Counters()
		assert.Zero(t, packets.Refused)
		t.Logf("%s: %d calls, %d packets received", r.name, got.Calls, gossip.Total(packets.In).Packets)
		assert.Len(t, r.packets.Detector().Snapshot(), len(fleet))
		for _, m := range r.packets.Detector().Snapshot() {
			assert.Equal(t, membership.StateAlive, m.State, m.Name)
		}
	}
}

// Incomplete or expired files, files of another router, and settings without
// keys must not replace valid ones. Loaded without validation, they would
// disconnect the router from its fleet.
func TestInvalidFilesKeepPreviousKeysAndCertificates(t *testing.T) {
	f := newFixture(t, newCertDir(t), "r1", "k1")
	sealed := f.SealHint("a", token.Hint{Chat: 1})
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join(f.dir, name))
		require.NoError(t, err)
		return data
	}
	put := func(name string, data []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(f.dir, name), data, 0o600))
	}
	expired := newCertDir(t)
	generateCerts(t, expired, f.now.Add(-keys.DefaultValidity*2))
	old, err := os.ReadFile(filepath.Join(expired, "r1.pem"))
	require.NoError(t, err)
	oldKey, err := os.ReadFile(filepath.Join(expired, "r1-key.pem"))
	require.NoError(t, err)
	cases := map[string]map[string][]byte{
		"incomplete settings":       {"r1.yaml": read("r1.yaml")[:200]},
		"no settings":               {"r1.yaml": nil},
		"settings of another":       {"r1.yaml": []byte(strings.Replace(string(read("r1.yaml")), "name: r1", "name: r2", 1))},
		"keys removed":              {"r1.yaml": []byte(strings.Replace(fmt.Sprintf(settingsText, "r1", f.dir, ""), "name", "allow_insecure: true\nname", 1))},
		"other secret, same id":     {"r1.yaml": []byte(strings.ReplaceAll(string(read("r1.yaml")), secretText("k1"), secretText("xx")))},
		"incomplete certificate":    {"r1.pem": read("r1.pem")[:100]},
		"garbage authority":         {"ca.pem": []byte("garbage")},
		"key of another":            {"r1-key.pem": read("r2-key.pem")},
		"certificate of another":    {"r1-key.pem": read("r2-key.pem"), "r1.pem": read("r2.pem")},
		"expired certificate":       {"r1-key.pem": oldKey, "r1.pem": old},
		"certificate, no authority": {"ca.pem": nil},
	}
	failures := uint64(0)
	for name, files := range cases {
		t.Run(name, func(t *testing.T) {
			before := f.Status()
			for file, data := range files {
				good := read(file)
				defer put(file, good)
				put(file, data)
				if data == nil {
					require.NoError(t, os.Remove(filepath.Join(f.dir, file)))
				}
			}
			require.Error(t, f.Check())
			after := f.Status()
			assert.Greater(t, after.Failures, failures)
			failures = after.Failures
			assert.Equal(t, before.FleetKeys, after.FleetKeys)
			assert.Equal(t, before.PeerCertSeconds, after.PeerCertSeconds)
			assert.Equal(t, before.CallerCertSeconds, after.CallerCertSeconds)
			_, err := f.OpenHint("a", sealed)
			assert.NoError(t, err)
		})
	}
	assert.Equal(t, 1, f.logged, "one log line for all failures")
	require.NoError(t, f.Check())
	f.now = f.now.Add(failureLogInterval)
	put("r1.yaml", nil)
	require.Error(t, f.Check())
	assert.Equal(t, 2, f.logged)
}

// The status is published as metrics, so it must contain the names of keys but
// not their secrets.
func TestStatusContainsNoSecret(t *testing.T) {
	f := newFixture(t, newCertDir(t), "r1", "k1", "k2")
	text, err := json.Marshal(f.Status())
	require.NoError(t, err)
	assert.Contains(t, string(text), `"fleet_keys":["k1","k2"]`)
	assert.NotContains(t, string(text), secretText("k1"))
	assert.NotContains(t, string(text), strings.Repeat("k1", 8))
	assert.Positive(t, *f.Status().CallerCertSeconds)
	f.now = f.now.Add(2 * keys.DefaultValidity)
	assert.Negative(t, *f.Status().PeerCertSeconds)
}

// An open connection must survive a reload of the callers' certificate. It would
// be closed if the reload restarted the listener.
func TestCallerCertificateReloadKeepsConnections(t *testing.T) {
	f := newFixture(t, newCertDir(t), "r1", "k1")
	ln, err := tls.Listen("tcp", "127.0.0.1:0", f.CallerTLS())
	require.NoError(t, err)
	defer ln.Close()
	go serveEcho(ln)
	dial := func() *tls.Conn {
		c, err := tls.Dial("tcp", ln.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2", "http/1.1"}})
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	ping := func(c *tls.Conn) {
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	old := dial()
	ping(old)
	generateCerts(t, f.dir, f.now)
	require.NoError(t, f.Check())
	newConn := dial()
	ping(newConn)
	ping(old)
	serial := func(c *tls.Conn) string { return c.ConnectionState().PeerCertificates[0].SerialNumber.String() }
	assert.NotEqual(t, serial(old), serial(newConn))
	assert.Equal(t, "http/1.1", newConn.ConnectionState().NegotiatedProtocol)
	assert.EqualValues(t, tls.VersionTLS13, newConn.ConnectionState().Version)
	assert.EqualValues(t, 2, f.Status().Reloads, "caller certificate and peer certificate")
}

func TestOpenWithoutKeysAndCertificates(t *testing.T) {
	s, err := Open(Options{Settings: &settings.Settings{Name: "r1", AllowInsecure: true}})
	require.NoError(t, err)
	assert.Nil(t, s.CallerTLS())
	assert.Empty(t, s.PeerOptions())
	assert.Nil(t, s.Status().PeerCertSeconds)
	require.Len(t, s.FleetKeys(), 1)
	require.NoError(t, s.GossipKeys().Validate())
}
