package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Caller makes calls to other routers over one connection per address.
type Caller struct {
	endpoint endpoint
	counters *Counters
	now      func() time.Time

	mu sync.Mutex
	// current holds the connections that take new calls, by address. open holds all
	// connections that are not closed yet, including those that only wait for their
	// last calls to return.
	current map[string]*clientConn
	open    map[*clientConn]struct{}
	closed  bool
}

// NewCaller returns a Caller that identifies itself as self.
func NewCaller(self string, keys Keys, counters *Counters, opts ...Option) *Caller {
	return &Caller{
		endpoint: newEndpoint(self, keys, opts),
		counters: counters,
		now:      time.Now,
		current:  make(map[string]*clientConn),
		open:     make(map[*clientConn]struct{}),
	}
}

// Target is the destination of a call: an address and the router name expected there.
type Target struct {
	Name    string
	Address string
}

// Call calls method at t and waits for the reply or the end of ctx. It returns
// ErrNotSent, ErrNoReply or ErrRemote.
func (c *Caller) Call(ctx context.Context, t Target, method string, args, reply any) error {
	cc, err := c.acquire(ctx, t)
	if err != nil {
		return ErrNotSent.Wrap(err)
	}
	defer c.release(cc)
	c.counters.Calls.Add(1)
	// Closing the connection also unblocks a write to a peer that has stopped reading;
	// cc.client.Go does not return before that write ends.
	stop := context.AfterFunc(ctx, func() { c.abort(cc) })
	defer stop()
	call := cc.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	// net/rpc completes every call of a closed connection, and doesn't write to reply
	// after that.
	<-call.Done
	return c.callError(ctx, cc, call.Error)
}

func (c *Caller) callError(ctx context.Context, cc *clientConn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return ErrRemote.Wrap(remote)
	}
	c.abort(cc)
	if ctx.Err() != nil {
		c.counters.Timeouts.Add(1)
		return ErrNoReply.Wrap(ctx.Err())
	}
	return ErrNoReply.Wrap(err)
}

// acquire returns a connection to t and counts this call on it.
func (c *Caller) acquire(ctx context.Context, t Target) (*clientConn, error) {
	if cc := c.reuse(t); cc != nil {
		return cc, nil
	}
	cc, err := c.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return c.add(cc)
}

func (c *Caller) dial(ctx context.Context, t Target) (*clientConn, error) {
	tcp, err := c.endpoint.dialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	raw := &conn{Conn: tcp, counters: c.counters}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer stop()
	secured, identity, err := c.endpoint.dial(raw, t.Name)
	if err != nil {
		c.counters.RefusedDials.Add(1)
		_ = tcp.Close()
		return nil, err
	}
	now := c.now()
	return &clientConn{
		client: rpc.NewClient(&limitedConn{Conn: secured}), conn: raw, address: t.Address,
		name: identity.name, keyID: identity.keyID, opened: now, lastUsed: now,
	}, nil
}

func (c *Caller) reuse(t Target) *clientConn {
	valid := c.endpoint.keys()
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.current[t.Address]
	if cc == nil {
		return nil
	}
	if !cc.usable(t, valid, c.now()) {
		c.retire(cc)
		return nil
	}
	cc.beginCall(c.now())
	return cc
}

// add stores cc. If another goroutine has stored an equivalent connection meanwhile, it
// closes cc and returns that one.
func (c *Caller) add(cc *clientConn) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cc.close()
		return nil, net.ErrClosed
	}
	existing := c.current[cc.address]
	if existing != nil && existing.name == cc.name && existing.keyID == cc.keyID {
		cc.close()
		existing.beginCall(c.now())
		return existing, nil
	}
	if existing != nil {
		c.retire(existing)
	}
	c.current[cc.address] = cc
	c.open[cc] = struct{}{}
	cc.beginCall(c.now())
	return cc, nil
}

// retire keeps cc from new calls and closes it once its last call has returned. c.mu
// must be held. Closing at once would cut the calls of other goroutines: they would
// fail with ErrNoReply although the other router works.
func (c *Caller) retire(cc *clientConn) {
	if c.current[cc.address] == cc {
		delete(c.current, cc.address)
	}
	if cc.activeCalls == 0 {
		c.closeLocked(cc)
	}
}

// closeLocked closes cc. c.mu must be held.
func (c *Caller) closeLocked(cc *clientConn) {
	delete(c.open, cc)
	cc.close()
}

// release ends a call that acquire counted.
func (c *Caller) release(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.activeCalls--
	if cc.activeCalls == 0 && c.current[cc.address] != cc {
		c.closeLocked(cc)
	}
}

// abort closes cc at once. All calls that still run on it fail.
func (c *Caller) abort(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retire(cc)
	c.closeLocked(cc)
}

// Close closes all connections. Later calls return ErrNotSent.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	clear(c.current)
	for cc := range c.open {
		c.closeLocked(cc)
	}
}
