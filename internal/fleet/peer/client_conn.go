package peer

import (
	"net/rpc"
	"time"
)

// clientConn is one connection to one address. name is the router name that the other end
// proved; the address doesn't identify a router, since another one may get it. The Caller's
// mutex guards lastUsed and activeCalls.
type clientConn struct {
	client  *rpc.Client
	conn    *conn
	address string
	name    string
	// keyID is the ID of the fleet key that authenticated the connection.
	keyID  byte
	opened time.Time

	lastUsed    time.Time
	activeCalls int
}

// usable reports whether a new call may use the connection. A call on a connection that
// the other end has closed would fail with ErrNoReply although it was never sent. A
// connection whose fleet key is no longer the first one, which signs, is not used again,
// so that it is replaced before the servers remove that key.
func (c *clientConn) usable(t Target, valid []FleetKey, now time.Time) bool {
	switch {
	case c.conn.broken.Load():
		return false
	case t.Name != "" && c.name != t.Name:
		return false
	case len(valid) == 0 || valid[0].ID != c.keyID:
		return false
	case c.activeCalls == 0 && now.Sub(c.lastUsed) > maxIdle:
		return false
	}
	return now.Sub(c.opened) <= maxCallerAge
}

func (c *clientConn) beginCall(now time.Time) {
	c.activeCalls++
	c.lastUsed = now
}

// close closes the TCP connection first: with TLS, the client's own Close sends an
// alert, and that write would block on an unresponsive connection.
func (c *clientConn) close() {
	_ = c.conn.Close()
	_ = c.client.Close()
}
