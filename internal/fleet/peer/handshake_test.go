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

// script is an other end that sends what it was given and records what it gets.
type script struct {
	io.Reader
	got bytes.Buffer
}

// Write implements io.Writer.
func (s *script) Write(p []byte) (int, error) { return s.got.Write(p) }

// pair runs both sides of a handshake against each other.
func pair(dialer, listener *handshake) (dialed, accepted result, dialErr, acceptErr error) {
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

func TestHandshakeProvesNamesAndKey(t *testing.T) {
	d := &handshake{keys: newRing(2, 1).keys(), self: "r1", binding: []byte("b")}
	l := &handshake{keys: newRing(1, 2).keys(), self: "r2", binding: []byte("b")}
	dialed, accepted, err1, err2 := pair(d, l)
	require.NoError(t, errors.Join(err1, err2))
	assert.Equal(t, result{name: "r2", key: 2}, dialed)
	assert.Equal(t, result{name: "r1", key: 2}, accepted)
}

// Symptom: a router without the fleet's key gets calls through. Sequence: it
// relays the proof of a router that has the key, made on another connection.
// Cause: a proof that is not bound to the TLS connection it was made on.
func TestHandshakeRefusals(t *testing.T) {
	cases := map[string]struct{ dialer, listener handshake }{
		"other key":          {handshake{keys: newRing(1).keys()}, handshake{keys: newRing(2).keys()}},
		"same id, other key": {handshake{keys: []FleetKey{{ID: 2, Secret: []byte("x")}}}, handshake{keys: newRing(2).keys()}},
		"other connection":   {handshake{keys: newRing(1).keys(), binding: []byte("a")}, handshake{keys: newRing(1).keys(), binding: []byte("b")}},
		"TLS on one side":    {handshake{keys: newRing(1).keys(), binding: []byte("a")}, handshake{keys: newRing(1).keys()}},
		"dialer without key": {handshake{}, handshake{keys: newRing(1).keys()}},
		"listener without":   {handshake{keys: newRing(1).keys()}, handshake{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err1, err2 := pair(&c.dialer, &c.listener)
			assert.True(t, ErrHandshake.Has(err1), "%v", err1)
			assert.True(t, ErrHandshake.Has(err2), "%v", err2)
		})
	}
}

// Symptom: a stranger's calls are accepted. Sequence: it records what a router
// sends when it connects, and sends the same later, to either side. Cause: a
// proof over nothing fresh.
func TestRecordedHandshakeIsRefused(t *testing.T) {
	a, b := net.Pipe()
	fromDialer, fromListener := new(bytes.Buffer), new(bytes.Buffer)
	d := &handshake{rw: recorder{a, fromDialer}, keys: newRing(1).keys(), self: "r1"}
	l := &handshake{rw: recorder{b, fromListener}, keys: newRing(1).keys(), self: "r2"}
	done := make(chan error, 1)
	go func() {
		_, err := l.accept()
		done <- err
	}()
	_, err := d.dial()
	require.NoError(t, errors.Join(err, <-done))

	l.rw = &script{Reader: fromDialer}
	_, err = l.accept()
	assert.True(t, ErrHandshake.Has(err), "%v", err)
	d.rw = &script{Reader: fromListener}
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

// Symptom: a router hangs or ends after a port scan. Sequence: something sends
// nothing, too little, too much or noise to the control port. Cause: reads
// without a bound, or lengths that are trusted.
func TestGarbageIsRefused(t *testing.T) {
	t.Parallel()
	noise := make([]byte, 1<<16)
	_, _ = rand.Read(noise)
	n := newNode(t, "r1", newRing(1))
	tlsNode := newNode(t, "r1", newRing(1), WithTLS(certs(t, fleetDir(t), "r1")))
	for _, target := range []*node{n, tlsNode} {
		for i, sent := range [][]byte{{}, {1}, {1, 255}, bytes.Repeat([]byte{255}, 1<<16), noise, []byte("GET / HTTP/1.1\r\n\r\n")} {
			c, err := net.Dial("tcp", target.address)
			require.NoError(t, err)
			// The other end may hang up before either is done.
			_, _ = c.Write(sent)
			_ = c.(*net.TCPConn).CloseWrite()
			eventually(t, func() bool { return target.cnt.Refused.Load() == int64(i+1) })
			_ = c.Close()
		}
		silent, err := net.Dial("tcp", target.address)
		require.NoError(t, err)
		defer silent.Close()
		eventually(t, func() bool { return target.cnt.Refused.Load() == 7 })
	}
	require.NoError(t, newNode(t, "r2", newRing(1)).say("r1", n.address))
}

func FuzzAccept(f *testing.F) {
	f.Add([]byte{})
	f.Add(append([]byte{1, 2, 'r', '1'}, make([]byte, nonceSize+32)...))
	f.Add(bytes.Repeat([]byte{255}, 400))
	f.Fuzz(func(t *testing.T, sent []byte) {
		h := &handshake{rw: &script{Reader: bytes.NewReader(sent)}, keys: newRing(1, 2).keys(), self: "r1"}
		_, err := h.accept()
		assert.True(t, ErrHandshake.Has(err), "%v", err)
	})
}

func FuzzDial(f *testing.F) {
	f.Add([]byte{})
	f.Add(append([]byte{protocolVersion}, make([]byte, nonceSize+3+32)...))
	f.Add(bytes.Repeat([]byte{protocolVersion}, 400))
	f.Fuzz(func(t *testing.T, sent []byte) {
		h := &handshake{rw: &script{Reader: bytes.NewReader(sent)}, keys: newRing(1, 2).keys(), self: "r1"}
		_, err := h.dial()
		assert.True(t, ErrHandshake.Has(err), "%v", err)
	})
}
