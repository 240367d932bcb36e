package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a TCP connection that counts its bytes, bounds each write once
// bounded is set, and remembers that reading from it has failed.
type conn struct {
	net.Conn
	cnt *Counters
	// bounded is set before the connection is shared between goroutines.
	bounded bool
	broken  atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.cnt.In.Add(int64(n))
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.bounded {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.cnt.Out.Add(int64(n))
	return n, err
}
