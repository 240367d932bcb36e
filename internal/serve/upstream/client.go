// Package upstream is the router's HTTP client for engines and plain services.
// It reports for every failed call whether the upstream may have executed it,
// validates every chunk of a stream, and never resends a request by itself.
package upstream

import (
	"context"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
)

// DialFunc opens a connection.
type DialFunc = engineconn.DialFunc

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	// Dial opens connections. The default dials TCP.
	Dial DialFunc
	// Clock returns the time by which the age of connections is measured. The
	// default counts from New, excluding the time for which the VM is suspended.
	Clock func() time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the response headers of a stream.
	// Engines send them as soon as they queue a request.
	HeaderTimeout time.Duration
	// CallTimeout bounds a whole control call.
	CallTimeout time.Duration
	// TransferTimeout bounds an export or import of KV cache, a call to a plain
	// service and a chat completion that is not streamed.
	TransferTimeout time.Duration
	// FirstChunk bounds the wait for the first chunk of a stream, which includes
	// the time in the engine's queue and the prefill.
	FirstChunk time.Duration
	// IdleGap bounds the wait between two chunks of a stream.
	IdleGap time.Duration
	// IdleConn is how long an idle connection stays in the pool.
	IdleConn time.Duration
	// ConnAge is the age up to which a connection is reused. A device between
	// router and upstream may have dropped its state of an older connection, which
	// is noticed only by a timeout.
	ConnAge time.Duration
	// MaxIdlePerHost bounds the idle connections to one upstream.
	MaxIdlePerHost int
	// MaxBody bounds the body of a response that is not streamed, in bytes.
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

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	opts    Options
	conns   *engineconn.Pool
	traffic trafficCounters
}

// New returns a Client. Close must be called to release its connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, conns: engineconn.NewPool(engineconn.Options{
		Clock: opts.Clock, Dial: opts.dial, DialTimeout: opts.DialTimeout, MaxAge: opts.ConnAge,
	})}
}

// Close closes the idle connections. Streams in progress are not interrupted.
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

// dial marks errors with ErrDial, which distinguishes them from those of broken
// connections.
func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := o.Dial(ctx, network, address)
	return conn, ErrDial.Wrap(err)
}
