package peer

import (
	"net/rpc"
	"time"
)

// link is one connection to one address. Its name is the one that the other
// end proved: an address may be used again by another router. The Caller's
// mutex guards the fields from used on.
type link struct {
	client  *rpc.Client
	conn    *conn
	address string
	name    string
	// key is the id of the fleet key that opened the link.
	key    byte
	opened time.Time

	used  time.Time
	calls int
}

// usable reports whether a new call may take the link. One that the other end
// has closed is not: a call on it would end in "no reply" although it was
// never sent. One under a key that does not sign any more is left before the
// servers drop that key.
func (l *link) usable(t Target, valid []FleetKey, now time.Time) bool {
	switch {
	case l.conn.broken.Load():
		return false
	case t.Name != "" && l.name != t.Name:
		return false
	case len(valid) == 0 || valid[0].ID != l.key:
		return false
	case l.calls == 0 && now.Sub(l.used) > maxIdle:
		return false
	}
	return now.Sub(l.opened) <= maxCallerAge
}

func (l *link) take(now time.Time) {
	l.calls++
	l.used = now
}

// close closes the TCP connection first: on TLS the client's own Close sends
// an alert, and would wait for room to write it on a silent connection.
func (l *link) close() {
	_ = l.conn.Close()
	_ = l.client.Close()
}
