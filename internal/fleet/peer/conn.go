package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a TCP connection that counts its bytes, sets a deadline for each write if
// limitWrites is set, and records that a read has failed.
type conn struct {
	net.Conn
	counters *Counters
	// limitWrites must be set before the connection is shared between goroutines.
	limitWrites bool
	broken      atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.In.Add(int64(n))
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.limitWrites {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.counters.Out.Add(int64(n))
	return n, err
}
