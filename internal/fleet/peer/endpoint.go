package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
)

const (
	bindingLabel = "EXPORTER-damaskrouter-peer"
	bindingSize  = 32
)

// TLS provides the configurations of mutual TLS between routers; *keys.CertReloader is
// an implementation. It is called for each connection, so that a reloaded certificate
// takes effect at once.
type TLS interface {
	// PeerClient returns the configuration to connect to the named router, which must
	// prove its name.
	PeerClient(router string) *tls.Config
	// PeerServer returns the configuration to accept connections of routers only.
	PeerServer() *tls.Config
}

// Option configures how a Caller or a Server connects and authenticates.
type Option func(*endpoint)

// WithTLS requires mutual TLS on every connection.
func WithTLS(t TLS) Option {
	return func(e *endpoint) { e.tls = t }
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithDial makes a Caller open its connections with dial instead of over TCP.
func WithDial(dial Dial) Option {
	return func(e *endpoint) { e.dialContext = dial }
}

// endpoint authenticates new connections of this router.
type endpoint struct {
	self        string
	keys        Keys
	tls         TLS
	dialContext Dial
}

func newEndpoint(self string, keys Keys, opts []Option) endpoint {
	tcp := net.Dialer{Timeout: dialTimeout}
	e := endpoint{self: self, keys: keys, dialContext: tcp.DialContext}
	for _, o := range opts {
		o(&e)
	}
	return e
}

// securedConn is a connection before the proof of the fleet key.
type securedConn struct {
	net.Conn
	binding []byte
	// name is the router name in the certificate, empty without TLS.
	name string
}

// dial authenticates both ends of c as the dialing side. The listener must be the
// router want, or any router if want is empty; TLS needs a name.
func (e *endpoint) dial(c *conn, want string) (net.Conn, peerIdentity, error) {
	return e.authenticate(c, want, e.dialTLS, (*handshake).dial)
}

// accept is the listener's side of dial.
func (e *endpoint) accept(c *conn) (net.Conn, peerIdentity, error) {
	return e.authenticate(c, "", e.acceptTLS, (*handshake).accept)
}

func (e *endpoint) authenticate(c *conn, want string, wrapTLS func(net.Conn, string) (*securedConn, error), prove func(*handshake) (peerIdentity, error)) (net.Conn, peerIdentity, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, peerIdentity{}, ErrHandshake.Wrap(err)
	}
	secured, err := wrapTLS(c, want)
	if err != nil {
		return nil, peerIdentity{}, err
	}
	identity, err := prove(&handshake{rw: secured, keys: e.keys(), self: e.self, binding: secured.binding})
	if err != nil {
		return nil, peerIdentity{}, err
	}
	// A replaced VM may get the address of another router, and a permit requested from
	// the wrong router would not be counted. A holder of the fleet key can claim any
	// name, so the name must also match the certificate.
	if err := checkName(identity.name, want, secured.name); err != nil {
		return nil, peerIdentity{}, err
	}
	c.limitWrites = true
	return secured.Conn, identity, ErrHandshake.Wrap(c.SetDeadline(time.Time{}))
}

// checkName compares the name in the proof with the others, where an empty one matches
// any.
func checkName(proved string, others ...string) error {
	for _, name := range others {
		if name != "" && name != proved {
			return ErrHandshake.New("peer proved the name %q, expected %q", proved, name)
		}
	}
	return nil
}

func (e *endpoint) dialTLS(c net.Conn, want string) (*securedConn, error) {
	if e.tls == nil {
		return &securedConn{Conn: c}, nil
	}
	if want == "" {
		return nil, ErrHandshake.New("TLS needs the name of the router to connect to")
	}
	return handshakeTLS(tls.Client(c, e.tls.PeerClient(want)))
}

func (e *endpoint) acceptTLS(c net.Conn, _ string) (*securedConn, error) {
	if e.tls == nil {
		return &securedConn{Conn: c}, nil
	}
	return handshakeTLS(tls.Server(c, e.tls.PeerServer()))
}

// handshakeTLS completes the TLS handshake and returns the connection with its binding
// and the name in the peer's certificate.
func handshakeTLS(c *tls.Conn) (*securedConn, error) {
	if err := c.Handshake(); err != nil {
		return nil, ErrHandshake.Wrap(err)
	}
	state := c.ConnectionState()
	name, err := keys.PeerName(state)
	if err != nil {
		return nil, ErrHandshake.Wrap(err)
	}
	binding, err := state.ExportKeyingMaterial(bindingLabel, nil, bindingSize)
	if err != nil {
		return nil, ErrHandshake.Wrap(err)
	}
	return &securedConn{Conn: c, binding: binding, name: name}, nil
}
