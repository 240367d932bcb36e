// Package upstream is the router's HTTP client towards engines and plain
// services. It classifies every call by what is known about its execution,
// reads streams without trusting them, and never sends anything twice by itself.
package upstream

import (
	"context"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
)

// DialFunc opens a connection; tests put in-memory pipes here.
type DialFunc = engineconn.DialFunc

// Options are the client's settings. The zero value of a field means its default.
type Options struct {
	// Dial opens connections. The default dials TCP.
	Dial DialFunc
	// Clock reads the time that ages of connections are counted by. The default
	// counts from New, without the time for which the VM is suspended.
	Clock func() time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for a reply's headers, for streams and
	// control calls. Engines send them as soon as they queue a request.
	HeaderTimeout time.Duration
	// CallTimeout bounds a whole control call.
	CallTimeout time.Duration
	// TransferTimeout bounds an export or import of KV cache.
	TransferTimeout time.Duration
	// FirstChunk bounds the wait for a stream's first chunk, which includes
	// the engine's queue and prefill.
	FirstChunk time.Duration
	// IdleGap bounds the wait between two chunks of a stream.
	IdleGap time.Duration
	// IdleConn is how long an unused connection stays in the pool.
	IdleConn time.Duration
	// ConnAge is how long after its opening a connection is used again. Something
	// between router and upstream may have forgotten it, which shows only by a timeout.
	ConnAge time.Duration
	// MaxIdlePerHost bounds the unused connections to one upstream.
	MaxIdlePerHost int
	// MaxBody bounds a reply that is read whole, in bytes.
	MaxBody int64
	// MaxTransfer bounds an exported KV cache, in bytes.
	MaxTransfer int64
	// MaxEvent bounds one line and one event of a stream, in bytes.
	MaxEvent int
}

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultHeaderTimeout   = 2 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultTransferTimeout = 30 * time.Second
	DefaultFirstChunk      = 30 * time.Second
	DefaultIdleGap         = 2 * time.Second
	DefaultIdleConn        = 5 * time.Second
	DefaultConnAge         = time.Minute
	DefaultMaxIdlePerHost  = 64
	DefaultMaxBody         = 8 << 20
	DefaultMaxTransfer     = 256 << 20
	DefaultMaxEvent        = 64 << 10
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	opts   Options
	conns  *engineconn.Pool
	meters meters
}

// New returns a Client. Close releases its connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, conns: engineconn.NewPool(engineconn.Options{
		Clock: opts.Clock, Dial: opts.dial, DialTimeout: opts.DialTimeout, MaxAge: opts.ConnAge,
	})}
}

// Close drops the pooled connections. Streams in progress go on.
func (c *Client) Close() { c.conns.Close() }

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Clock == nil {
		started := time.Now()
		o.Clock = func() time.Duration { return time.Since(started) }
	}
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.TransferTimeout, DefaultTransferTimeout)
	setDefault(&o.FirstChunk, DefaultFirstChunk)
	setDefault(&o.IdleGap, DefaultIdleGap)
	setDefault(&o.IdleConn, DefaultIdleConn)
	setDefault(&o.ConnAge, DefaultConnAge)
	setDefault(&o.MaxIdlePerHost, DefaultMaxIdlePerHost)
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxTransfer, DefaultMaxTransfer)
	setDefault(&o.MaxEvent, DefaultMaxEvent)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// dial marks failures to connect, which are told apart from broken connections.
func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := o.Dial(ctx, network, address)
	return conn, ErrDial.Wrap(err)
}
