package peer

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
)

// fleetDir returns a directory with certificates of r1, r2 and r3.
func fleetDir(t *testing.T) string {
	dir := t.TempDir()
	generateCerts(t, dir)
	return dir
}

// withAndWithoutTLS runs f without and with TLS; opts returns the options of a router.
func withAndWithoutTLS(t *testing.T, f func(t *testing.T, opts func(router string) []Option)) {
	t.Run("plain", func(t *testing.T) { f(t, func(string) []Option { return nil }) })
	t.Run("tls", func(t *testing.T) {
		dir := fleetDir(t)
		f(t, func(router string) []Option { return []Option{WithTLS(certReloader(t, dir, router))} })
	})
}

// Guards against accepting a connection by its address or certificate alone: a router
// of another fleet, or one that missed a key rotation, would change this fleet's
// counts.
func TestInvalidFleetKeyIsRejected(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newKeySet(1), opts("r1")...)
		b := newNode(t, "r2", newKeySet(2), opts("r2")...)
		err := a.callEcho("r2", b.address)
		assert.True(t, ErrNotSent.Has(err) && ErrHandshake.Has(err), "%v", err)
		assert.EqualValues(t, 1, a.counters.RefusedDials.Load())
		assert.Zero(t, a.counters.Calls.Load())
		eventually(t, func() bool { return b.counters.Refused.Load() == 1 })
	})
}

// Guards against taking an address for an identity: a VM is replaced and its address
// goes to another router, where permits of an engine that it doesn't own would be
// counted.
func TestReassignedAddressIsRejected(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newKeySet(1), opts("r1")...)
		b := newNode(t, "r2", newKeySet(1), opts("r2")...)
		err := a.callEcho("r3", b.address)
		assert.True(t, ErrNotSent.Has(err) && ErrHandshake.Has(err), "%v", err)
		require.NoError(t, a.callEcho("r2", b.address))
		err = a.callEcho("r3", b.address)
		assert.True(t, ErrNotSent.Has(err), "the open connection is r2's: %v", err)
	})
}

// Guards against a router that acts under another's name: it holds the fleet key and
// claims the name in the handshake, or connects without TLS.
func TestNameNotInCertificateIsRejected(t *testing.T) {
	dir := fleetDir(t)
	b := newNode(t, "r2", newKeySet(1), WithTLS(certReloader(t, dir, "r2")))
	impostor := newNode(t, "r3", newKeySet(1), WithTLS(certReloader(t, dir, "r1")))
	withoutTLS := newNode(t, "r1", newKeySet(1))
	assert.Error(t, impostor.callEcho("r2", b.address))
	eventually(t, func() bool { return b.counters.Refused.Load() == 1 })
	assert.True(t, ErrNotSent.Has(withoutTLS.callEcho("r2", b.address)))
	eventually(t, func() bool { return b.counters.Refused.Load() == 2 })
	assert.True(t, ErrNotSent.Has(b.callEcho("r1", withoutTLS.address)))
	assert.True(t, ErrNotSent.Has(b.callEcho("", impostor.address)), "TLS needs the expected name")
	assert.True(t, ErrNotSent.Has(b.callEcho("r3", impostor.address)), "the certificate names r1")
}

// Guards against calls to a router failing until a restart: the network drops a
// connection without closing it, and the connection is reused after a call on it timed
// out.
func TestTimedOutConnectionIsReplaced(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newKeySet(1), opts("r1")...)
		b := newNode(t, "r2", newKeySet(1), opts("r2")...)
		proxy := newProxy(t, b.address)
		target := Target{Name: "r2", Address: proxy.ln.Addr().String()}
		require.NoError(t, a.callEcho(target.Name, target.Address))
		proxy.set(true, false)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-proxy.signal
			cancel()
		}()
		var got int
		err := a.caller.Call(ctx, target, "Echo.Say", []byte("lost"), &got)
		assert.True(t, ErrNoReply.Has(err), "%v", err)
		assert.EqualValues(t, 1, a.counters.Timeouts.Load())
		require.NoError(t, a.callEcho(target.Name, target.Address))
		assert.Equal(t, 2, proxy.dialCount())
	})
}

// Guards against a call that exceeds its deadline by minutes: the other end stops
// reading, and a large call fills the send buffers.
func TestBlockedWriteEndsAtCallDeadline(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newKeySet(1), opts("r1")...)
		b := newNode(t, "r2", newKeySet(1), opts("r2")...)
		proxy := newProxy(t, b.address)
		target := Target{Name: "r2", Address: proxy.ln.Addr().String()}
		require.NoError(t, a.callEcho(target.Name, target.Address))
		proxy.set(false, true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var got int
		err := a.caller.Call(ctx, target, "Echo.Say", make([]byte, 64<<20), &got)
		assert.True(t, ErrNoReply.Has(err), "%v", err)
		proxy.signal <- struct{}{}
		require.NoError(t, a.callEcho(target.Name, target.Address))
	})
}

// Guards against ErrNoReply from the first call after a router's restart: the caller of
// Call could not tell whether a permit that it requested was granted. A call must not use
// a connection that is known to be closed.
func TestCallOnClosedConnectionIsNotSent(t *testing.T) {
	a := newNode(t, "r1", newKeySet(1))
	b := newNode(t, "r2", newKeySet(1))
	require.NoError(t, a.callEcho("r2", b.address))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	require.NoError(t, b.ln.Close())
	go close(b.echo.unblock)
	b.Close()
	err := <-done
	assert.True(t, err == nil || ErrNoReply.Has(err), "%v", err)
	cc := a.caller.current[b.address]
	eventually(t, func() bool { return cc == nil || cc.conn.broken.Load() })
	assert.True(t, ErrNotSent.Has(a.callEcho("r2", b.address)))
	late, closed := net.Pipe()
	assert.Nil(t, b.track(closed), "accepted while the server closes")
	_, err = late.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	again, err := net.Listen("tcp", b.address)
	require.NoError(t, err)
	restarted := newNode(t, "r2", newKeySet(1))
	go restarted.Serve(again)
	require.NoError(t, a.callEcho("r2", b.address))
	_ = again.Close()
	a.caller.Close()
	assert.True(t, ErrNotSent.Has(a.callEcho("r2", restarted.address)), "closed")
}

func TestRemoteErrorKeepsConnection(t *testing.T) {
	a, b := newNode(t, "r1", newKeySet(1)), newNode(t, "r2", newKeySet(1))
	require.NoError(t, a.callEcho("r2", b.address))
	cc := a.caller.current[b.address]
	err := a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.None", 1, new(int))
	assert.True(t, ErrRemote.Has(err), "%v", err)
	assert.Same(t, cc, a.caller.current[b.address])
}

func TestBytesAreCounted(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newKeySet(1), opts("r1")...)
		b := newNode(t, "r2", newKeySet(1), opts("r2")...)
		require.NoError(t, a.callEcho("r2", b.address))
		first := a.counters.Snapshot()
		require.NoError(t, a.callEcho("r2", b.address))
		second := a.counters.Snapshot()
		t.Logf("first call with its connection: %d B out, %d B in; second: %d B out, %d B in",
			first.Out, first.In, second.Out-first.Out, second.In-first.In)
		eventually(t, func() bool {
			at, bt := a.counters.Snapshot(), b.counters.Snapshot()
			return at.Out == bt.In && at.In == bt.Out && at.Calls == 2
		})
		assert.Positive(t, second.In-first.In)
	})
}

// Guards against calls that fail during a key rotation, and against connections of a
// stolen key that outlast its removal. A long call runs on a connection of the old key
// while the new key signs; then the old key is removed.
func TestKeyRotationKeepsCallsAndClosesOldConnections(t *testing.T) {
	a, b := newNode(t, "r1", newKeySet(1)), newNode(t, "r2", newKeySet(1, 2))
	stale := newNode(t, "r3", newKeySet(1))
	require.NoError(t, stale.callEcho("r2", b.address))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	a.keys.set(2, 1)
	require.NoError(t, a.callEcho("r2", b.address))
	b.Sweep()
	assert.Zero(t, b.counters.Swept.Load())
	close(b.echo.unblock)
	require.NoError(t, <-done)

	b.keys.set(2)
	b.Sweep()
	// Sweep closes the connection of the router stale, which still uses the old key.
	// Router a closed its connection of that key itself when the long call returned.
	eventually(t, func() bool { return stale.caller.current[b.address].conn.broken.Load() })
	require.NoError(t, a.callEcho("r2", b.address))
	assert.True(t, ErrNotSent.Has(stale.callEcho("r2", b.address)))
}

// Guards against a connection that is never idle and outlives the certificate it was
// opened with by weeks.
func TestOldConnectionsAreReplaced(t *testing.T) {
	a, b := newNode(t, "r1", newKeySet(1)), newNode(t, "r2", newKeySet(1))
	require.NoError(t, a.callEcho("r2", b.address))
	first := a.caller.current[b.address]
	opened := time.Now()
	b.mu.Lock()
	b.now = func() time.Time { return opened.Add(maxCallerAge) }
	b.mu.Unlock()
	b.Sweep()
	assert.Zero(t, b.counters.Swept.Load(), "callers replace connections before servers close them")
	first.lastUsed = opened.Add(maxCallerAge)
	a.caller.now = func() time.Time { return opened.Add(maxCallerAge + time.Second) }
	require.NoError(t, a.callEcho("r2", b.address))
	assert.NotSame(t, first, a.caller.current[b.address])
	b.mu.Lock()
	b.now = func() time.Time { return opened.Add(2*maxServerAge + time.Second) }
	b.mu.Unlock()
	b.Sweep()
	eventually(t, func() bool { return a.caller.current[b.address].conn.broken.Load() })
	require.NoError(t, a.callEcho("r2", b.address))
}

// Guards against a certificate reload that cuts running calls: both ends get
// certificates of a new authority during a call.
func TestCertificateReloadKeepsConnections(t *testing.T) {
	dir := fleetDir(t)
	certA, certB := certReloader(t, dir, "r1"), certReloader(t, dir, "r2")
	a, b := newNode(t, "r1", newKeySet(1), WithTLS(certA)), newNode(t, "r2", newKeySet(1), WithTLS(certB))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	first := a.caller.current[b.address]
	require.NoError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	generateCerts(t, dir)
	for _, r := range []*keys.CertReloader{certA, certB} {
		changed, err := r.Check()
		require.NoError(t, err)
		require.True(t, changed)
	}
	require.NoError(t, a.callEcho("r2", b.address))
	assert.Same(t, first, a.caller.current[b.address])
	close(b.echo.unblock)
	require.NoError(t, <-done)
	fresh := newNode(t, "r3", newKeySet(1), WithTLS(certReloader(t, dir, "r3")))
	require.NoError(t, fresh.callEcho("r2", b.address))
}
