package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Errors of the handshake.
var (
	// ErrHandshake means that the other end does not hold a fleet key that is
	// valid here, or speaks another protocol.
	ErrHandshake = errs.Class("peer: handshake")
)

const (
	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
	protocolVersion  = 1

	labelDialer   = "damaskrouter dialer 1"
	labelListener = "damaskrouter listener 1"
)

// FleetKey is one of the shared secrets that routers prove to each other.
type FleetKey struct {
	ID     byte
	Secret []byte
}

// Keys returns the valid fleet keys; the first one signs. There are two
// during a rotation. It is called for each handshake, so that a reloaded key
// is used at once.
type Keys func() []FleetKey

// dialerHandshake proves to the listener that this end holds a fleet key,
// and asks the same of it. Both ends answer the other's fresh nonce, so a
// recorded handshake is of no use to a third party.
func dialerHandshake(c net.Conn, keys Keys, self string) (peerName string, err error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	theirs := make([]byte, 1+nonceSize)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	if theirs[0] != protocolVersion {
		return "", ErrHandshake.New("protocol version %d", theirs[0])
	}
	valid := keys()
	if len(valid) == 0 {
		return "", ErrHandshake.New("no fleet key")
	}
	key := valid[0]
	ours := newNonce()
	mac := sign(key, labelDialer, theirs[1:], ours, self)
	msg := append([]byte{key.ID, byte(len(self))}, self...)
	msg = append(append(msg, ours...), mac...)
	if _, err := c.Write(msg); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	name, err := readName(c)
	if err != nil {
		return "", err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, proof); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	if !hmac.Equal(proof, sign(key, labelListener, ours, theirs[1:], name)) {
		return "", ErrHandshake.New("listener holds another key")
	}
	return name, c.SetDeadline(time.Time{})
}

func listenerHandshake(c net.Conn, keys Keys, self string) (peerName string, err error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	ours := newNonce()
	if _, err := c.Write(append([]byte{protocolVersion}, ours...)); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	var id [1]byte
	if _, err := io.ReadFull(c, id[:]); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	name, err := readName(c)
	if err != nil {
		return "", err
	}
	rest := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(c, rest); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	theirs, proof := rest[:nonceSize], rest[nonceSize:]
	key, ok := find(keys(), id[0])
	if !ok || !hmac.Equal(proof, sign(key, labelDialer, ours, theirs, name)) {
		return "", ErrHandshake.New("dialer %q holds no valid key", name)
	}
	msg := append([]byte{byte(len(self))}, self...)
	msg = append(msg, sign(key, labelListener, theirs, ours, self)...)
	if _, err := c.Write(msg); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	return name, c.SetDeadline(time.Time{})
}

func find(keys []FleetKey, id byte) (FleetKey, bool) {
	for _, k := range keys {
		if k.ID == id {
			return k, true
		}
	}
	return FleetKey{}, false
}

func readName(r io.Reader) (string, error) {
	var n [1]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	name := make([]byte, n[0])
	if _, err := io.ReadFull(r, name); err != nil {
		return "", ErrHandshake.Wrap(err)
	}
	return string(name), nil
}

func sign(key FleetKey, label string, a, b []byte, name string) []byte {
	m := hmac.New(sha256.New, key.Secret)
	_, _ = io.WriteString(m, label)
	_, _ = m.Write(a)
	_, _ = m.Write(b)
	_, _ = io.WriteString(m, name)
	return m.Sum(nil)
}

func newNonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n)
	return n
}
