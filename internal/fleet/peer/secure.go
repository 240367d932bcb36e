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

// TLS makes the configurations of mutual TLS between routers;
// *keys.CertReloader is one. It is asked for each connection, so that a
// reloaded certificate is used at once.
type TLS interface {
	// PeerClient is for a connection to the named router, which must prove
	// its name.
	PeerClient(router string) *tls.Config
	// PeerServer accepts only routers.
	PeerServer() *tls.Config
}

// Option changes how a Caller or a Server proves itself.
type Option func(*endpoint)

// WithTLS makes every connection mutual TLS; none is then made or accepted
// without it.
func WithTLS(t TLS) Option {
	return func(e *endpoint) { e.tls = t }
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithDial makes a Caller open its connections by dial instead of over TCP.
func WithDial(dial Dial) Option {
	return func(e *endpoint) { e.open = dial }
}

// endpoint is how this router proves itself on a new connection.
type endpoint struct {
	self string
	keys Keys
	tls  TLS
	open Dial
}

func newEndpoint(self string, keys Keys, opts []Option) endpoint {
	tcp := net.Dialer{Timeout: dialTimeout}
	e := endpoint{self: self, keys: keys, open: tcp.DialContext}
	for _, o := range opts {
		o(&e)
	}
	return e
}

// channel is a connection with what is known about it before the fleet key
// has been proved.
type channel struct {
	net.Conn
	binding []byte
	// name is the router that the certificate names, empty without TLS.
	name string
}

// dial proves this end to the listener on c, and that the listener is the
// router want, or any router if want is empty; TLS needs a name.
func (e *endpoint) dial(c *conn, want string) (net.Conn, result, error) {
	return e.secure(c, want, e.dialTLS, (*handshake).dial)
}

// accept is the listener's side of dial.
func (e *endpoint) accept(c *conn) (net.Conn, result, error) {
	return e.secure(c, "", e.acceptTLS, (*handshake).accept)
}

func (e *endpoint) secure(c *conn, want string, wrap func(net.Conn, string) (*channel, error), prove func(*handshake) (result, error)) (net.Conn, result, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, result{}, ErrHandshake.Wrap(err)
	}
	ch, err := wrap(c, want)
	if err != nil {
		return nil, result{}, err
	}
	r, err := prove(&handshake{rw: ch, keys: e.keys(), self: e.self, binding: ch.binding})
	if err != nil {
		return nil, result{}, err
	}
	// A replaced VM may come back with the address of another router; a
	// permit asked of the wrong one would be counted nowhere. And whoever
	// holds the fleet key can claim any name, which only the certificate
	// contradicts.
	if err := same(r.name, want, ch.name); err != nil {
		return nil, result{}, err
	}
	c.bounded = true
	return ch.Conn, r, ErrHandshake.Wrap(c.SetDeadline(time.Time{}))
}

// same compares the name in the proof with the others; an empty one is not known.
func same(proved string, others ...string) error {
	for _, name := range others {
		if name != "" && name != proved {
			return ErrHandshake.New("the other end is %q, not %q", proved, name)
		}
	}
	return nil
}

func (e *endpoint) dialTLS(c net.Conn, want string) (*channel, error) {
	if e.tls == nil {
		return &channel{Conn: c}, nil
	}
	if want == "" {
		return nil, ErrHandshake.New("no name to expect")
	}
	return bind(tls.Client(c, e.tls.PeerClient(want)))
}

func (e *endpoint) acceptTLS(c net.Conn, _ string) (*channel, error) {
	if e.tls == nil {
		return &channel{Conn: c}, nil
	}
	return bind(tls.Server(c, e.tls.PeerServer()))
}

// bind completes the TLS handshake and names the connection.
func bind(c *tls.Conn) (*channel, error) {
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
	return &channel{Conn: c, binding: binding, name: name}, nil
}
