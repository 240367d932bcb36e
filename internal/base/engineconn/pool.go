package engineconn

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept open if the
	// engine names no timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the engine names, so
	// that a connection is not used just as the engine closes it.
	idleTimeoutMargin = time.Second
	// sweepEvery is the number of sends between two searches for idle connections
	// past their timeout.
	sweepEvery = 512
)

// Options configures a Pool. Zero fields take the defaults.
type Options struct {
	// Clock returns the time since the VM booted, suspends included. It must be
	// set.
	Clock func() time.Duration
	// Dial opens connections; the default dials TCP and detects dead peers.
	Dial DialFunc
	// DialTimeout bounds the opening of a connection. The default is 300 ms.
	DialTimeout time.Duration
	// MaxAge is how long after its opening a connection may be reused. The default
	// is no bound.
	MaxAge time.Duration
	// Lost is called when an engine has closed a connection other than after a response that announced
	// it, or refuses connections. The process that had the connection lived at aliveAt. Nil for nothing.
	Lost func(engine string, aliveAt time.Duration)
	// First is called when a connection to an engine was opened, at openedAt, while no other was open, with
	// Request.KnownStart. Nil for nothing.
	First func(engine string, openedAt time.Duration, knownStart bool)
	// Stalled is called in a goroutine of its own when an engine has not acknowledged a request for
	// stallTime, which may be due to the path to it. Nil for nothing.
	Stalled func(address string)
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	return o
}

// Target is the engine that a request is sent to.
type Target struct {
	// ID identifies the engine; connections are pooled per ID.
	ID string
	// Address is where the engine listens, "ip:port".
	Address string
}

// Request is a request to an engine.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a pooled connection may have been idle to
	// be reused. Data sent on a connection that the engine has dropped is lost, and
	// a drop becomes likelier the longer a connection was idle. A negative value
	// forces a new connection.
	MaxIdle time.Duration
	// Repeatable means that the request can go to another engine if this one does not respond.
	Repeatable bool
	// KnownStart means that it matters for the request of which start of the engine the process is.
	KnownStart bool
	// MaxIdleConns is the maximum number of idle connections to the engine.
	MaxIdleConns int
	// Matches reports whether a response with the header belongs to the request. An
	// engine may send a second response to an earlier request of the connection.
	Matches func(http.Header) bool
	// Withdrawn reports whether the request must not be sent any more. It is called once a new
	// connection is open, which may take a while; nil means that the request is always sent.
	Withdrawn func() bool
	// Waiting is called every stallTime until the response begins; unacked means that the engine has
	// not acknowledged the request. Nil for nothing.
	Waiting func(unacked bool)
	// Traffic counts the bytes of the exchange; nil disables counting.
	Traffic *Traffic
}

// Pool keeps idle connections to engines. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn
	// active holds the connections with a request in progress, by engine.
	active map[string]map[*conn]struct{}
	sends  int
	dials  int
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{opts: o.withDefaults(), idle: make(map[string][]*conn), active: make(map[string]map[*conn]struct{})}
}

// Dials returns how many connections the pool has tried to open.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Busy returns the number of connections that carry a request.
func (p *Pool) Busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.active {
		n += len(conns)
	}
	return n
}

// takeIdle returns a reusable idle connection to the engine, which is active from then on, or nil.
func (p *Pool) takeIdle(engine string, maxIdle time.Duration) *conn {
	for {
		c, expired := p.popIdle(engine, maxIdle)
		for _, old := range expired {
			_ = old.Close()
		}
		if c == nil || c.reusable() {
			return c
		}
		p.end(engine, c)
		if !c.open() {
			p.lost(engine, c)
		}
		_ = c.Close()
	}
}

// popIdle makes the most recently used idle connection active, which is the least
// likely to have been dropped, and returns it and the expired ones, which the
// caller closes.
func (p *Pool) popIdle(engine string, maxIdle time.Duration) (c *conn, expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends++
	if p.sends%sweepEvery == 0 {
		expired = p.sweep()
	}
	now := p.opts.Clock()
	conns := p.idle[engine]
	if len(conns) == 0 {
		return nil, expired
	}
	c = conns[len(conns)-1]
	idle := now - c.idleSince
	if idle > c.idleTimeout || p.pastMaxAge(c, now) {
		// All are closed: the others have been idle for longer, and are of about
		// the same age.
		delete(p.idle, engine)
		return nil, append(expired, conns...)
	}
	if idle > maxIdle {
		return nil, expired
	}
	p.idle[engine] = conns[:len(conns)-1]
	p.beginLocked(engine, c)
	return c, expired
}

// pastMaxAge reports whether the connection is too old to be reused.
func (p *Pool) pastMaxAge(c *conn, now time.Duration) bool {
	return p.opts.MaxAge > 0 && now-c.openedAt >= p.opts.MaxAge
}

// CloseIdle closes the idle connections to an engine. If one connection is
// dead, the others most likely are too, and each would cost a request its
// timeout.
func (p *Pool) CloseIdle(engine string) {
	p.mu.Lock()
	conns := p.idle[engine]
	delete(p.idle, engine)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseUnsolicited closes the idle connections on which engines send bytes that belong to no request. What the kernel
// holds of them is memory of this VM. It returns how many it has closed.
func (p *Pool) CloseUnsolicited() int {
	unsolicited := make(map[*conn]string)
	p.mu.Lock()
	for engine, conns := range p.idle {
		p.idle[engine] = slices.DeleteFunc(conns, func(c *conn) bool {
			if !c.hasData() {
				return false
			}
			unsolicited[c] = engine
			return true
		})
	}
	p.mu.Unlock()
	for c, engine := range unsolicited {
		// The engine may have ended behind these bytes.
		p.lost(engine, c)
		_ = c.Close()
	}
	return len(unsolicited)
}

// sweep removes and returns the connections that were idle for longer than
// their timeout, such as those to removed engines. The caller holds the mutex
// and closes them.
func (p *Pool) sweep() (expired []*conn) {
	now := p.opts.Clock()
	for engine, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(c *conn) bool {
			old := now-c.idleSince > c.idleTimeout
			if old {
				expired = append(expired, c)
			}
			return old
		})
		if p.idle[engine] = conns; len(conns) == 0 {
			delete(p.idle, engine)
		}
	}
	return expired
}

// putIdle returns a connection to the pool, whether or not it was active, or
// closes it if the pool has maxConns idle connections to the engine.
func (p *Pool) putIdle(engine string, c *conn, maxConns int) {
	c.idleSince = p.opts.Clock()
	if c.idleTimeout == 0 {
		c.idleTimeout = defaultIdleTimeout
	}
	p.mu.Lock()
	p.endLocked(engine, c)
	conns := p.idle[engine]
	room := len(conns) < maxConns
	if room {
		p.idle[engine] = append(conns, c)
	}
	p.mu.Unlock()
	if !room {
		_ = c.Close()
	}
}

// Survives reports whether a connection to the engine is open that was opened before a time: the
// process is still the one of then.
func (p *Pool) Survives(engine string, openedBefore time.Duration) bool {
	p.mu.Lock()
	conns := slices.Clone(p.idle[engine])
	for c := range p.active[engine] {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	return slices.ContainsFunc(conns, func(c *conn) bool { return c.openedAt < openedBefore && c.open() })
}

// lost reports that the engine has closed a connection.
func (p *Pool) lost(engine string, c *conn) {
	if p.opts.Lost != nil {
		p.opts.Lost(engine, max(c.openedAt, c.idleSince))
	}
}

// begin notes that a connection carries a request to the engine, and end that it doesn't any more.
func (p *Pool) begin(engine string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginLocked(engine, c)
}

func (p *Pool) end(engine string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLocked(engine, c)
}

// beginLocked is begin for a caller that holds the mutex.
func (p *Pool) beginLocked(engine string, c *conn) {
	if p.active[engine] == nil {
		p.active[engine] = make(map[*conn]struct{})
	}
	p.active[engine][c] = struct{}{}
}

// endLocked is end for a caller that holds the mutex.
func (p *Pool) endLocked(engine string, c *conn) {
	delete(p.active[engine], c)
	if len(p.active[engine]) == 0 {
		delete(p.active, engine)
	}
}

// connect returns an idle connection, or opens a new one. Errors: ErrNotSent.
func (p *Pool) connect(ctx context.Context, to Target, r *Request) (*conn, error) {
	if c := p.takeIdle(to.ID, r.MaxIdle); c != nil {
		c.reused = true
		return c, nil
	}
	return p.open(ctx, to, r.KnownStart)
}

// open opens a connection to the engine. Errors: ErrNotSent.
func (p *Pool) open(ctx context.Context, to Target, knownStart bool) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c, err := p.dial(ctx, to.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && p.opts.Lost != nil:
		p.opts.Lost(to.ID, p.opts.Clock())
	case err == nil && p.opts.First != nil && !p.Survives(to.ID, c.openedAt):
		// Other connections may be to a process that has ended: nothing reads the end of an idle one.
		p.opts.First(to.ID, c.openedAt, knownStart)
	}
	return c, err
}

// Open opens a connection to the engine, which shows that the engine runs, and keeps it for the next
// request if there are fewer than maxConns. Errors: ErrNotSent.
func (p *Pool) Open(ctx context.Context, to Target, maxConns int) error {
	c, err := p.open(ctx, to, false)
	if err != nil {
		return err
	}
	p.putIdle(to.ID, c, maxConns)
	return nil
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, engine)
	}
}
