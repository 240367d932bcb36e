package engineconn

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// defaultKeep is how long an idle connection is kept where the engine
	// doesn't say.
	defaultKeep = 8 * time.Second
	// keepMargin is taken off what the engine says, so that a connection is
	// not used at the moment at which the engine closes it.
	keepMargin = time.Second
	// sweepAfter is how many sends pass between two looks for engines whose
	// connections are all too old.
	sweepAfter = 512
)

// Options set up a Pool. Zero fields take the defaults.
type Options struct {
	// Clock reads the time since the VM booted, suspends included. It must be set.
	Clock func() time.Duration
	// Dial opens connections; the default dials TCP and notices ends that are gone.
	Dial DialFunc
	// DialTimeout bounds the opening of a connection. The default is 300 ms.
	DialTimeout time.Duration
	// MaxAge is how long after its opening a connection may be used again. The
	// default is not to bound it.
	MaxAge time.Duration
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = dialTimeout
	}
	return o
}

// Target is the engine that a request goes to.
type Target struct {
	// ID names the engine; connections are kept for each.
	ID string
	// Address is where it listens, "ip:port".
	Address string
}

// Request is what is sent to an engine.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a kept connection may have been idle
	// to be used. A connection that the engine has dropped loses what is sent
	// on it, and the longer it was idle, the likelier that is. Less than zero asks
	// for a new connection.
	MaxIdle time.Duration
	// Keep is how many idle connections to the engine may be kept.
	Keep int
	// Own says whether an answer belongs to the request. An engine may send a
	// second answer to an earlier request of the connection.
	Own func(http.Header) bool
	// Traffic counts the bytes of the exchange; nil for not to count them.
	Traffic *Traffic
}

// Pool keeps connections to engines. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu    sync.Mutex
	idle  map[string][]*conn
	sends int
	dials int
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{opts: o.withDefaults(), idle: make(map[string][]*conn)}
}

// Dials is how many connections have been opened.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// take returns a usable idle connection to the engine, or nil.
func (p *Pool) take(engine string, maxIdle time.Duration) *conn {
	for {
		c, drop := p.pop(engine, maxIdle)
		for _, old := range drop {
			_ = old.Close()
		}
		if c == nil || c.clean() {
			return c
		}
		_ = c.Close()
	}
}

// pop takes the connection that was used last, which is the least likely to
// have been dropped, and those that have become too old.
func (p *Pool) pop(engine string, maxIdle time.Duration) (c *conn, drop []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends++
	if p.sends%sweepAfter == 0 {
		drop = p.sweep()
	}
	now := p.opts.Clock()
	list := p.idle[engine]
	if len(list) == 0 {
		return nil, drop
	}
	c = list[len(list)-1]
	idle := now - c.idleSince
	if idle > c.keep || p.aged(c, now) {
		// All others have been idle for longer, and are about as old.
		delete(p.idle, engine)
		return nil, append(drop, list...)
	}
	if idle > maxIdle {
		return nil, drop
	}
	p.idle[engine] = list[:len(list)-1]
	return c, drop
}

// aged says whether the connection is too old to be used again.
func (p *Pool) aged(c *conn, now time.Duration) bool {
	return p.opts.MaxAge > 0 && now-c.opened >= p.opts.MaxAge
}

// Drop closes the idle connections to an engine: where one of them has fallen silent
// the others most likely have too, and each would cost a request its time limit.
func (p *Pool) Drop(engine string) {
	p.mu.Lock()
	list := p.idle[engine]
	delete(p.idle, engine)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// sweep removes the connections that may not be used any more, such as those to
// engines that have left. The caller holds the mutex and closes them.
func (p *Pool) sweep() (drop []*conn) {
	now := p.opts.Clock()
	for engine, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			old := now-c.idleSince > c.keep
			if old {
				drop = append(drop, c)
			}
			return old
		})
		if p.idle[engine] = list; len(list) == 0 {
			delete(p.idle, engine)
		}
	}
	return drop
}

// put keeps a connection for later, unless there are enough.
func (p *Pool) put(engine string, c *conn, most int) {
	c.idleSince = p.opts.Clock()
	if c.keep == 0 {
		c.keep = defaultKeep
	}
	p.mu.Lock()
	list := p.idle[engine]
	room := len(list) < most
	if room {
		p.idle[engine] = append(list, c)
	}
	p.mu.Unlock()
	if !room {
		_ = c.Close()
	}
}

// open returns a kept connection, or a new one. Errors: ErrNotSent.
func (p *Pool) open(ctx context.Context, to Target, maxIdle time.Duration) (*conn, error) {
	if c := p.take(to.ID, maxIdle); c != nil {
		c.reused = true
		return c, nil
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return p.dial(ctx, to.Address)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, engine)
	}
}
