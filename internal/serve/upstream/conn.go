package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts writes and can be sealed against further ones.
//
// What goes wrong without it: the HTTP transport writes in a goroutine of its
// own. A call given up at the deadline may look unsent, be reported as "did
// not run", and then still be written. Sealing decides the race: either a
// write was begun before the seal, or none ever will be.
type countedConn struct {
	net.Conn
	// meter is of the call that has the connection; nil where none is counted.
	meter  atomic.Pointer[meter]
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := c.meter.Load(); m != nil {
		m.in.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.meter.Load().write(c.Conn, b)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnless seals the connection and reports true where no write was begun
// since the count stood at since.
func (c *countedConn) sealUnless(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

// sentTracker follows one call through the transport and says afterwards
// whether a byte of it was written. It is used by one call only.
type sentTracker struct {
	// meter takes the call's bytes; nil where they aren't counted.
	meter  *meter
	mu     sync.Mutex
	conn   *countedConn
	since  uint64
	wrote  bool
	reused bool
}

func (t *sentTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sentTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	t.reused = info.Reused
	c, ok := info.Conn.(*countedConn)
	if !ok {
		// A connection that we can't watch proves nothing.
		t.wrote = true
		return
	}
	c.meter.Store(t.meter)
	t.conn = c
	t.since = c.count()
}

// settle records the outcome on the current connection before it is left.
func (t *sentTracker) settle() {
	if t.conn == nil {
		return
	}
	if !t.conn.sealUnless(t.since) {
		t.wrote = true
	}
	t.conn = nil
}

// afterFailure returns what is known once the transport has given up.
func (t *sentTracker) afterFailure() Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	if t.wrote {
		return SentNoReply
	}
	return NotSent
}

func (t *sentTracker) onReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}
