package peer

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cannedPeer is a peer that sends fixed data and records what it receives.
type cannedPeer struct {
	io.Reader
	received bytes.Buffer
}

// Write implements io.Writer.
func (c *cannedPeer) Write(p []byte) (int, error) { return c.received.Write(p) }

// runHandshake runs both sides of a handshake against each other.
func runHandshake(dialer, listener *handshake) (dialed, accepted peerIdentity, dialErr, acceptErr error) {
	a, b := net.Pipe()
	dialer.rw, listener.rw = a, b
	done := make(chan struct{})
	go func() {
		defer close(done)
		accepted, acceptErr = listener.accept()
		_ = b.Close()
	}()
	dialed, dialErr = dialer.dial()
	_ = a.Close()
	<-done
	return dialed, accepted, dialErr, acceptErr
}

func TestHandshakeReturnsNamesAndKey(t *testing.T) {
	d := &handshake{keys: newKeySet(2, 1).keys(), self: "r1", binding: []byte("b")}
	l := &handshake{keys: newKeySet(1, 2).keys(), self: "r2", binding: []byte("b")}
	dialed, accepted, err1, err2 := runHandshake(d, l)
	require.NoError(t, errors.Join(err1, err2))
	assert.Equal(t, peerIdentity{name: "r2", keyID: 2}, dialed)
	assert.Equal(t, peerIdentity{name: "r1", keyID: 2}, accepted)
}

// Guards against accepting a proof made for another connection: a router without the
// fleet key could relay the proof of a router that has it.
func TestHandshakeRejectsInvalidProofs(t *testing.T) {
	cases := map[string]struct{ dialer, listener handshake }{
		"other key":            {handshake{keys: newKeySet(1).keys()}, handshake{keys: newKeySet(2).keys()}},
		"same id, other key":   {handshake{keys: []FleetKey{{ID: 2, Secret: []byte("x")}}}, handshake{keys: newKeySet(2).keys()}},
		"other connection":     {handshake{keys: newKeySet(1).keys(), binding: []byte("a")}, handshake{keys: newKeySet(1).keys(), binding: []byte("b")}},
		"TLS on one side":      {handshake{keys: newKeySet(1).keys(), binding: []byte("a")}, handshake{keys: newKeySet(1).keys()}},
		"dialer without key":   {handshake{}, handshake{keys: newKeySet(1).keys()}},
		"listener without key": {handshake{keys: newKeySet(1).keys()}, handshake{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err1, err2 := runHandshake(&c.dialer, &c.listener)
			assert.True(t, ErrHandshake.Has(err1), "%v", err1)
			assert.True(t, ErrHandshake.Has(err2), "%v", err2)
		})
	}
}

// Guards against replay: a third party that recorded a handshake sends the same bytes
// later, to either side.
func TestReplayedHandshakeIsRejected(t *testing.T) {
	a, b := net.Pipe()
	fromDialer, fromListener := new(bytes.Buffer), new(bytes.Buffer)
	d := &handshake{rw: recorder{a, fromDialer}, keys: newKeySet(1).keys(), self: "r1"}
	l := &handshake{rw: recorder{b, fromListener}, keys: newKeySet(1).keys(), self: "r2"}
	done := make(chan error, 1)
	go func() {
		_, err := l.accept()
		done <- err
	}()
	_, err := d.dial()
	require.NoError(t, errors.Join(err, <-done))

	l.rw = &cannedPeer{Reader: fromDialer}
	_, err = l.accept()
	assert.True(t, ErrHandshake.Has(err), "%v", err)
	d.rw = &cannedPeer{Reader: fromListener}
	_, err = d.dial()
	assert.True(t, ErrHandshake.Has(err), "%v", err)
}

type recorder struct {
	net.Conn
	sent *bytes.Buffer
}

// Write implements io.Writer.
func (r recorder) Write(p []byte) (int, error) {
	_, _ = r.sent.Write(p)
	return r.Conn.Write(p)
}

// Guards against a router that hangs or crashes on a port scan: a client sends nothing,
// too few bytes, too many or random ones to the control port.
func TestMalformedHandshakeIsRejected(t *testing.T) {
	t.Parallel()
	noise := make([]byte, 1<<16)
	_, _ = rand.Read(noise)
	n := newNode(t, "r1", newKeySet(1))
	tlsNode := newNode(t, "r1", newKeySet(1), WithTLS(certReloader(t, fleetDir(t), "r1")))
	for _, target := range []*node{n, tlsNode} {
		for i, sent := range [][]byte{{}, {1}, {1, 255}, bytes.Repeat([]byte{255}, 1<<16), noise, []byte("GET / HTTP/1.1\r\n\r\n")} {
			c, err := net.Dial("tcp", target.address)
			require.NoError(t, err)
			// The other end may close the connection before the write or the close
			// completes.
			_, _ = c.Write(sent)
			_ = c.(*net.TCPConn).CloseWrite()
			eventually(t, func() bool { return target.counters.Refused.Load() == int64(i+1) })
			_ = c.Close()
		}
		silent, err := net.Dial("tcp", target.address)
		require.NoError(t, err)
		defer silent.Close()
		eventually(t, func() bool { return target.counters.Refused.Load() == 7 })
	}
	require.NoError(t, newNode(t, "r2", newKeySet(1)).callEcho("r1", n.address))
}

func FuzzAccept(f *testing.F) {
	f.Add([]byte{})
	f.Add(append([]byte{1, 2, 'r', '1'}, make([]byte, nonceSize+32)...))
	f.Add(bytes.Repeat([]byte{255}, 400))
	f.Fuzz(func(t *testing.T, sent []byte) {
		h := &handshake{rw: &cannedPeer{Reader: bytes.NewReader(sent)}, keys: newKeySet(1, 2).keys(), self: "r1"}
		_, err := h.accept()
		assert.True(t, ErrHandshake.Has(err), "%v", err)
	})
}

func FuzzDial(f *testing.F) {
	f.Add([]byte{})
	f.Add(append([]byte{protocolVersion}, make([]byte, nonceSize+3+32)...))
	f.Add(bytes.Repeat([]byte{protocolVersion}, 400))
	f.Fuzz(func(t *testing.T, sent []byte) {
		h := &handshake{rw: &cannedPeer{Reader: bytes.NewReader(sent)}, keys: newKeySet(1, 2).keys(), self: "r1"}
		_, err := h.dial()
		assert.True(t, ErrHandshake.Has(err), "%v", err)
	})
}
