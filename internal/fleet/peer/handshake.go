package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"math"
)

const (
	nonceSize       = 16
	protocolVersion = 2

	labelDialer   = "damaskrouter dialer 2"
	labelListener = "damaskrouter listener 2"
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

// handshake is what both ends of the proof of a fleet key need.
type handshake struct {
	rw   io.ReadWriter
	keys []FleetKey
	self string
	// binding identifies the TLS connection that the proof is made on, and is
	// empty without TLS. A proof that is relayed from one connection to
	// another then fails: without it a router with a certificate, but without
	// a fleet key, could pass on the proof of one that has both.
	binding []byte
}

// result is what the other end has proved.
type result struct {
	name string
	key  byte
}

// dial proves to the listener that this end holds a fleet key, and asks the
// same of it. Both ends answer the other's fresh nonce, so a recorded
// handshake is of no use to a third party.
func (h *handshake) dial() (result, error) {
	theirs, err := h.read(1 + nonceSize)
	if err != nil {
		return result{}, err
	}
	if theirs[0] != protocolVersion {
		return result{}, ErrHandshake.New("protocol version %d", theirs[0])
	}
	if len(h.keys) == 0 {
		return result{}, ErrHandshake.New("no fleet key")
	}
	key, ours := h.keys[0], newNonce()
	msg := append([]byte{key.ID}, h.selfField()...)
	msg = append(msg, ours...)
	msg = append(msg, h.sign(key, labelDialer, theirs[1:], ours, h.self)...)
	if err := h.write(msg); err != nil {
		return result{}, err
	}
	name, err := h.readName()
	if err != nil {
		return result{}, err
	}
	proof, err := h.read(sha256.Size)
	if err != nil {
		return result{}, err
	}
	if !hmac.Equal(proof, h.sign(key, labelListener, ours, theirs[1:], name)) {
		return result{}, ErrHandshake.New("listener holds another key")
	}
	return result{name: name, key: key.ID}, nil
}

// accept is the listener's side of dial. All of its reads are of a bounded
// length, since whoever sends has proved nothing yet.
func (h *handshake) accept() (result, error) {
	ours := newNonce()
	if err := h.write(append([]byte{protocolVersion}, ours...)); err != nil {
		return result{}, err
	}
	id, err := h.read(1)
	if err != nil {
		return result{}, err
	}
	name, err := h.readName()
	if err != nil {
		return result{}, err
	}
	rest, err := h.read(nonceSize + sha256.Size)
	if err != nil {
		return result{}, err
	}
	theirs, proof := rest[:nonceSize], rest[nonceSize:]
	key, ok := find(h.keys, id[0])
	if !ok || !hmac.Equal(proof, h.sign(key, labelDialer, ours, theirs, name)) {
		return result{}, ErrHandshake.New("dialer %q holds no valid key", name)
	}
	msg := append(h.selfField(), h.sign(key, labelListener, theirs, ours, h.self)...)
	return result{name: name, key: key.ID}, h.write(msg)
}

// selfField is this end's name as readName reads it.
func (h *handshake) selfField() []byte {
	name := h.self[:min(len(h.self), math.MaxUint8)]
	return append([]byte{byte(len(name))}, name...)
}

func (h *handshake) read(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(h.rw, p)
	return p, ErrHandshake.Wrap(err)
}

func (h *handshake) readName() (string, error) {
	n, err := h.read(1)
	if err != nil {
		return "", err
	}
	name, err := h.read(int(n[0]))
	return string(name), err
}

func (h *handshake) write(p []byte) error {
	_, err := h.rw.Write(p)
	return ErrHandshake.Wrap(err)
}

// sign writes the lengths that vary before the fields, so that no two sets of
// fields are signed alike.
func (h *handshake) sign(key FleetKey, label string, a, b []byte, name string) []byte {
	m := hmac.New(sha256.New, key.Secret)
	_, _ = io.WriteString(m, label)
	_, _ = m.Write([]byte{byte(len(h.binding))})
	_, _ = m.Write(h.binding)
	_, _ = m.Write(a)
	_, _ = m.Write(b)
	_, _ = io.WriteString(m, name)
	return m.Sum(nil)
}

func find(keys []FleetKey, id byte) (FleetKey, bool) {
	for _, k := range keys {
		if k.ID == id {
			return k, true
		}
	}
	return FleetKey{}, false
}

func newNonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n)
	return n
}
