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

// Keys returns the valid fleet keys; the first one signs. There are two during a
// rotation. It is called for each handshake, so that a reloaded key takes effect at
// once.
type Keys func() []FleetKey

// handshake proves a fleet key over a connection, as either end.
type handshake struct {
	rw   io.ReadWriter
	keys []FleetKey
	self string
	// binding identifies the TLS connection, and is empty without TLS. It makes a proof
	// that is relayed to another connection fail; otherwise a router with a certificate
	// but no fleet key could relay the proof of a router that has both.
	binding []byte
}

// peerIdentity is what the other end has proved.
type peerIdentity struct {
	name  string
	keyID byte
}

// dial proves to the listener that this end holds a fleet key, and verifies the
// listener's proof. Each proof covers a fresh nonce of the verifier, so a recorded
// handshake can't be replayed.
func (h *handshake) dial() (peerIdentity, error) {
	hello, err := h.read(1 + nonceSize)
	if err != nil {
		return peerIdentity{}, err
	}
	if hello[0] != protocolVersion {
		return peerIdentity{}, ErrHandshake.New("unsupported protocol version %d", hello[0])
	}
	if len(h.keys) == 0 {
		return peerIdentity{}, ErrHandshake.New("no fleet key")
	}
	key, nonce := h.keys[0], newNonce()
	message := append([]byte{key.ID}, h.encodeName()...)
	message = append(message, nonce...)
	message = append(message, h.sign(key, labelDialer, hello[1:], nonce, h.self)...)
	if err := h.write(message); err != nil {
		return peerIdentity{}, err
	}
	name, err := h.readName()
	if err != nil {
		return peerIdentity{}, err
	}
	proof, err := h.read(sha256.Size)
	if err != nil {
		return peerIdentity{}, err
	}
	if !hmac.Equal(proof, h.sign(key, labelListener, nonce, hello[1:], name)) {
		return peerIdentity{}, ErrHandshake.New("listener holds another key")
	}
	return peerIdentity{name: name, keyID: key.ID}, nil
}

// accept is the listener's side of dial. All of its reads are bounded, since the sender
// is not authenticated yet.
func (h *handshake) accept() (peerIdentity, error) {
	nonce := newNonce()
	if err := h.write(append([]byte{protocolVersion}, nonce...)); err != nil {
		return peerIdentity{}, err
	}
	id, err := h.read(1)
	if err != nil {
		return peerIdentity{}, err
	}
	name, err := h.readName()
	if err != nil {
		return peerIdentity{}, err
	}
	rest, err := h.read(nonceSize + sha256.Size)
	if err != nil {
		return peerIdentity{}, err
	}
	peerNonce, proof := rest[:nonceSize], rest[nonceSize:]
	key, ok := keyByID(h.keys, id[0])
	if !ok || !hmac.Equal(proof, h.sign(key, labelDialer, nonce, peerNonce, name)) {
		return peerIdentity{}, ErrHandshake.New("dialer %q holds no valid key", name)
	}
	message := append(h.encodeName(), h.sign(key, labelListener, peerNonce, nonce, h.self)...)
	return peerIdentity{name: name, keyID: key.ID}, h.write(message)
}

// encodeName returns this end's name in the format that readName reads.
func (h *handshake) encodeName() []byte {
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

// sign returns the MAC of its arguments and h.binding. The length of h.binding is written
// before it, so that different sets of fields never give the same MAC input.
func (h *handshake) sign(key FleetKey, label string, verifierNonce, signerNonce []byte, name string) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	_, _ = io.WriteString(mac, label)
	_, _ = mac.Write([]byte{byte(len(h.binding))})
	_, _ = mac.Write(h.binding)
	_, _ = mac.Write(verifierNonce)
	_, _ = mac.Write(signerNonce)
	_, _ = io.WriteString(mac, name)
	return mac.Sum(nil)
}

func keyByID(keys []FleetKey, id byte) (FleetKey, bool) {
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
