package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Caller makes calls to other routers over one connection for each address.
type Caller struct {
	end endpoint
	cnt *Counters
	now func() time.Time

	mu sync.Mutex
	// links are those that take new calls, by address; open are all that are
	// not closed yet, also the ones that only finish their calls.
	links  map[string]*link
	open   map[*link]struct{}
	closed bool
}

// NewCaller returns a Caller that introduces itself as self.
func NewCaller(self string, keys Keys, cnt *Counters, opts ...Option) *Caller {
	return &Caller{
		end:   newEndpoint(self, keys, opts),
		cnt:   cnt,
		now:   time.Now,
		links: make(map[string]*link),
		open:  make(map[*link]struct{}),
	}
}

// Target is where a call goes: the address and the name expected behind it.
type Target struct {
	Name    string
	Address string
}

// Call calls method at t and waits for the reply or the end of ctx.
// Errors: ErrNotSent, ErrNoReply, ErrRemote.
func (c *Caller) Call(ctx context.Context, t Target, method string, args, reply any) error {
	l, err := c.acquire(ctx, t)
	if err != nil {
		return ErrNotSent.Wrap(err)
	}
	defer c.release(l)
	c.cnt.Calls.Add(1)
	// Closing the connection also ends a write that blocks because the other
	// end reads nothing any more; Go does not return before it.
	stop := context.AfterFunc(ctx, func() { c.drop(l) })
	defer stop()
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	// net/rpc gives back every call of a closed connection, and writes to the
	// reply's memory no more after that.
	<-call.Done
	return c.finish(ctx, l, call.Error)
}

func (c *Caller) finish(ctx context.Context, l *link, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return ErrRemote.Wrap(remote)
	}
	c.drop(l)
	if ctx.Err() != nil {
		c.cnt.Timeouts.Add(1)
		return ErrNoReply.Wrap(ctx.Err())
	}
	return ErrNoReply.Wrap(err)
}

// acquire returns the link to t with this call counted on it.
func (c *Caller) acquire(ctx context.Context, t Target) (*link, error) {
	if l := c.existing(t); l != nil {
		return l, nil
	}
	l, err := c.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return c.keep(l)
}

func (c *Caller) dial(ctx context.Context, t Target) (*link, error) {
	tcp, err := c.end.open(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	raw := &conn{Conn: tcp, cnt: c.cnt}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer stop()
	secured, proved, err := c.end.dial(raw, t.Name)
	if err != nil {
		c.cnt.RefusedDials.Add(1)
		_ = tcp.Close()
		return nil, err
	}
	now := c.now()
	return &link{
		client: rpc.NewClient(secured), conn: raw, address: t.Address,
		name: proved.name, key: proved.key, opened: now, used: now,
	}, nil
}

func (c *Caller) existing(t Target) *link {
	valid := c.end.keys()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[t.Address]
	if l == nil {
		return nil
	}
	if !l.usable(t, valid, c.now()) {
		c.retire(l)
		return nil
	}
	l.take(c.now())
	return l
}

// keep stores l unless another goroutine was faster, whose link then serves both.
func (c *Caller) keep(l *link) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		l.close()
		return nil, net.ErrClosed
	}
	first := c.links[l.address]
	if first != nil && first.name == l.name && first.key == l.key {
		l.close()
		first.take(c.now())
		return first, nil
	}
	if first != nil {
		c.retire(first)
	}
	c.links[l.address] = l
	c.open[l] = struct{}{}
	l.take(c.now())
	return l, nil
}

// retire keeps l from new calls and closes it once its last call has returned;
// c.mu is held. Closing at once would cut the calls of other goroutines, and
// they would be "no reply" for no fault of the other router.
func (c *Caller) retire(l *link) {
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	if l.calls == 0 {
		c.shut(l)
	}
}

// shut closes l; c.mu is held.
func (c *Caller) shut(l *link) {
	delete(c.open, l)
	l.close()
}

// release gives back what acquire counted.
func (c *Caller) release(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.calls--
	if l.calls == 0 && c.links[l.address] != l {
		c.shut(l)
	}
}

// drop closes l at once.
func (c *Caller) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retire(l)
	c.shut(l)
}

// Close closes all connections; later calls are not sent.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	clear(c.links)
	for l := range c.open {
		c.shut(l)
	}
}
