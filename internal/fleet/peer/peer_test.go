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
	generate(t, dir)
	return dir
}

// modes runs f without and with TLS; opts are those of the named router.
func modes(t *testing.T, f func(t *testing.T, opts func(router string) []Option)) {
	t.Run("plain", func(t *testing.T) { f(t, func(string) []Option { return nil }) })
	t.Run("tls", func(t *testing.T) {
		dir := fleetDir(t)
		f(t, func(router string) []Option { return []Option{WithTLS(certs(t, dir, router))} })
	})
}

// Symptom: a router of another fleet, or one that missed a rotation, alters
// this fleet's counts. Sequence: it calls with a fleet key that is not valid
// here. Cause: a connection that is accepted by its address or certificate.
func TestWrongFleetKeyIsRefused(t *testing.T) {
	modes(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newRing(1), opts("r1")...)
		b := newNode(t, "r2", newRing(2), opts("r2")...)
		err := a.say("r2", b.address)
		assert.True(t, ErrNotSent.Has(err) && ErrHandshake.Has(err), "%v", err)
		assert.EqualValues(t, 1, a.cnt.RefusedDials.Load())
		assert.Zero(t, a.cnt.Calls.Load())
		eventually(t, func() bool { return b.cnt.Refused.Load() == 1 })
	})
}

// Symptom: permits are counted at a router that does not own the engine.
// Sequence: a VM is replaced, and its address is given to another router.
// Cause: an address taken for an identity.
func TestOtherRouterBehindAddressIsRefused(t *testing.T) {
	modes(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newRing(1), opts("r1")...)
		b := newNode(t, "r2", newRing(1), opts("r2")...)
		err := a.say("r3", b.address)
		assert.True(t, ErrNotSent.Has(err) && ErrHandshake.Has(err), "%v", err)
		require.NoError(t, a.say("r2", b.address))
		err = a.say("r3", b.address)
		assert.True(t, ErrNotSent.Has(err), "the open connection is r2's: %v", err)
	})
}

// Symptom: a router takes over another's duties. Sequence: one that holds the
// fleet key claims another name in the handshake, or comes without TLS. Cause:
// a name that only the shared key vouches for.
func TestClaimedNameMustBeTheCertificates(t *testing.T) {
	dir := fleetDir(t)
	b := newNode(t, "r2", newRing(1), WithTLS(certs(t, dir, "r2")))
	liar := newNode(t, "r3", newRing(1), WithTLS(certs(t, dir, "r1")))
	plain := newNode(t, "r1", newRing(1))
	assert.Error(t, liar.say("r2", b.address))
	eventually(t, func() bool { return b.cnt.Refused.Load() == 1 })
	assert.True(t, ErrNotSent.Has(plain.say("r2", b.address)))
	eventually(t, func() bool { return b.cnt.Refused.Load() == 2 })
	assert.True(t, ErrNotSent.Has(b.say("r1", plain.address)))
	assert.True(t, ErrNotSent.Has(b.say("", liar.address)), "TLS needs a name to expect")
	assert.True(t, ErrNotSent.Has(b.say("r3", liar.address)), "r1's certificate")
}

// Symptom: every call to one router fails until a restart. Sequence: something
// between the two drops the connection without telling either. Cause: a
// connection kept after its call met the deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	modes(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newRing(1), opts("r1")...)
		b := newNode(t, "r2", newRing(1), opts("r2")...)
		m := newMiddle(t, b.address)
		target := Target{Name: "r2", Address: m.ln.Addr().String()}
		require.NoError(t, a.say(target.Name, target.Address))
		m.set(true, false)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-m.swallow
			cancel()
		}()
		var got int
		err := a.caller.Call(ctx, target, "Echo.Say", []byte("lost"), &got)
		assert.True(t, ErrNoReply.Has(err), "%v", err)
		assert.EqualValues(t, 1, a.cnt.Timeouts.Load())
		require.NoError(t, a.say(target.Name, target.Address))
		assert.Equal(t, 2, m.count())
	})
}

// Symptom: a call outlives its deadline by minutes. Sequence: the other end of
// a connection stops reading; a large call fills the buffers on the way.
// Cause: a write that only TCP ends.
func TestBlockedWriteEndsWithItsCall(t *testing.T) {
	modes(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newRing(1), opts("r1")...)
		b := newNode(t, "r2", newRing(1), opts("r2")...)
		m := newMiddle(t, b.address)
		target := Target{Name: "r2", Address: m.ln.Addr().String()}
		require.NoError(t, a.say(target.Name, target.Address))
		m.set(false, true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var got int
		err := a.caller.Call(ctx, target, "Echo.Say", make([]byte, 64<<20), &got)
		assert.True(t, ErrNoReply.Has(err), "%v", err)
		m.swallow <- struct{}{}
		require.NoError(t, a.say(target.Name, target.Address))
	})
}

// Symptom: the first call after a router's restart is "no reply", and its
// permit stays in doubt. Sequence: the router restarts while a connection to it
// is idle. Cause: a call on a connection that is known to have ended.
func TestServerCloseAndReturn(t *testing.T) {
	a := newNode(t, "r1", newRing(1))
	b := newNode(t, "r2", newRing(1))
	require.NoError(t, a.say("r2", b.address))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	require.NoError(t, b.ln.Close())
	go close(b.echo.leave)
	b.Close()
	err := <-done
	assert.True(t, err == nil || ErrNoReply.Has(err), "%v", err)
	l := a.caller.links[b.address]
	eventually(t, func() bool { return l == nil || l.conn.broken.Load() })
	assert.True(t, ErrNotSent.Has(a.say("r2", b.address)))
	late, closed := net.Pipe()
	assert.Nil(t, b.track(closed), "accepted while the server closes")
	_, err = late.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	again, err := net.Listen("tcp", b.address)
	require.NoError(t, err)
	restarted := newNode(t, "r2", newRing(1))
	go restarted.Serve(again)
	require.NoError(t, a.say("r2", b.address))
	_ = again.Close()
	a.caller.Close()
	assert.True(t, ErrNotSent.Has(a.say("r2", restarted.address)), "closed")
}

func TestRemoteErrorKeepsTheConnection(t *testing.T) {
	a, b := newNode(t, "r1", newRing(1)), newNode(t, "r2", newRing(1))
	require.NoError(t, a.say("r2", b.address))
	l := a.caller.links[b.address]
	err := a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.None", 1, new(int))
	assert.True(t, ErrRemote.Has(err), "%v", err)
	assert.Same(t, l, a.caller.links[b.address])
}

func TestBytesAreCounted(t *testing.T) {
	modes(t, func(t *testing.T, opts func(string) []Option) {
		a := newNode(t, "r1", newRing(1), opts("r1")...)
		b := newNode(t, "r2", newRing(1), opts("r2")...)
		require.NoError(t, a.say("r2", b.address))
		first := a.cnt.Snapshot()
		require.NoError(t, a.say("r2", b.address))
		second := a.cnt.Snapshot()
		t.Logf("first call with its connection: %d B out, %d B in; second: %d B out, %d B in",
			first.Out, first.In, second.Out-first.Out, second.In-first.In)
		eventually(t, func() bool {
			at, bt := a.cnt.Snapshot(), b.cnt.Snapshot()
			return at.Out == bt.In && at.In == bt.Out && at.Calls == 2
		})
		assert.Positive(t, second.In-first.In)
	})
}

// Symptom: calls fail while a key is rotated, or a stolen key's connections
// work on after it. Sequence: a long call runs on a connection under the old
// key; the new key signs; the old one is removed. Cause: connections cut at
// the change, or kept for ever.
func TestConnectionsFollowTheFleetKey(t *testing.T) {
	a, b := newNode(t, "r1", newRing(1)), newNode(t, "r2", newRing(1, 2))
	stale := newNode(t, "r3", newRing(1))
	require.NoError(t, stale.say("r2", b.address))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	a.keys.set(2, 1)
	require.NoError(t, a.say("r2", b.address))
	b.Sweep()
	assert.Zero(t, b.cnt.Swept.Load())
	close(b.echo.leave)
	require.NoError(t, <-done)

	b.keys.set(2)
	b.Sweep()
	// One of them is stale's; a closed its own after the long call.
	eventually(t, func() bool { return stale.caller.links[b.address].conn.broken.Load() })
	require.NoError(t, a.say("r2", b.address))
	assert.True(t, ErrNotSent.Has(stale.say("r2", b.address)))
}

// Symptom: a connection outlives by weeks the certificate that it was opened
// with. Sequence: it is never idle. Cause: no bound on a connection's age.
func TestOldConnectionsAreReplaced(t *testing.T) {
	a, b := newNode(t, "r1", newRing(1)), newNode(t, "r2", newRing(1))
	require.NoError(t, a.say("r2", b.address))
	first := a.caller.links[b.address]
	opened := time.Now()
	b.mu.Lock()
	b.now = func() time.Time { return opened.Add(maxCallerAge) }
	b.mu.Unlock()
	b.Sweep()
	assert.Zero(t, b.cnt.Swept.Load(), "callers go first")
	first.used = opened.Add(maxCallerAge)
	a.caller.now = func() time.Time { return opened.Add(maxCallerAge + time.Second) }
	require.NoError(t, a.say("r2", b.address))
	assert.NotSame(t, first, a.caller.links[b.address])
	b.mu.Lock()
	b.now = func() time.Time { return opened.Add(2*maxServerAge + time.Second) }
	b.mu.Unlock()
	b.Sweep()
	eventually(t, func() bool { return a.caller.links[b.address].conn.broken.Load() })
	require.NoError(t, a.say("r2", b.address))
}

// Symptom: a change of certificates cuts calls between routers. Sequence: a
// call runs while both ends get certificates of a new authority. Cause: a
// connection that is set up again for the reload.
func TestCertificateReloadKeepsConnections(t *testing.T) {
	dir := fleetDir(t)
	certA, certB := certs(t, dir, "r1"), certs(t, dir, "r2")
	a, b := newNode(t, "r1", newRing(1), WithTLS(certA)), newNode(t, "r2", newRing(1), WithTLS(certB))
	done := make(chan error, 1)
	go func() {
		var got int
		done <- a.caller.Call(context.Background(), Target{"r2", b.address}, "Echo.Hold", 1, &got)
	}()
	<-b.echo.entered
	first := a.caller.links[b.address]
	require.NoError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	generate(t, dir)
	for _, r := range []*keys.CertReloader{certA, certB} {
		changed, err := r.Check()
		require.NoError(t, err)
		require.True(t, changed)
	}
	require.NoError(t, a.say("r2", b.address))
	assert.Same(t, first, a.caller.links[b.address])
	close(b.echo.leave)
	require.NoError(t, <-done)
	fresh := newNode(t, "r3", newRing(1), WithTLS(certs(t, dir, "r3")))
	require.NoError(t, fresh.say("r2", b.address))
}
