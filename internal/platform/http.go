package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Defaults of HTTPOptions.
const (
	DefaultReadTimeout  = 1 * time.Second
	DefaultWriteTimeout = 2 * time.Second
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultIdleTimeout  = 15 * time.Second
)

// maxIdleConns bounds the connections for reads that are kept unused.
const maxIdleConns = 4

// maxReply bounds a reply's body, in bytes.
const maxReply = 64 << 20

// HTTPOptions configures an HTTP client of the platform. Zero fields take the
// defaults.
type HTTPOptions struct {
	// ReadTimeout and WriteTimeout bound one call, also where the caller's
	// context allows more.
	ReadTimeout, WriteTimeout time.Duration
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection for reads is kept unused.
	IdleTimeout time.Duration
	// Dial makes connections; a net.Dialer where nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o HTTPOptions) withDefaults() HTTPOptions {
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}

// httpClient makes calls to one of the platform's services.
type httpClient struct {
	base   string
	opts   HTTPOptions
	reads  *http.Client
	writes *http.Client
}

// newHTTPClient returns a client of the service at baseURL.
//
// Writes never share a connection. http.Transport re-sends a request on its own
// when a reused connection fails in certain ways, and it regards any request
// with an Idempotency-Key header as safe to re-send. The service would then see
// a transaction twice: the first copy commits, the second meets its own rows,
// and the client reports a conflict for a write that took effect. One notices
// it by the service's count of repeated transaction ids. A fresh connection for
// each write closes this off, and it also keeps a write from being lost on a
// pooled connection that went silent.
func newHTTPClient(baseURL string, opts HTTPOptions) *httpClient {
	opts = opts.withDefaults()
	return &httpClient{
		base:   strings.TrimRight(baseURL, "/"),
		opts:   opts,
		reads:  newClient(opts, false),
		writes: newClient(opts, true),
	}
}

func newClient(opts HTTPOptions, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       dialer(opts),
			DisableKeepAlives: fresh,
			IdleConnTimeout:   opts.IdleTimeout,
			// The zero value would keep two and dial anew for every further
			// read that runs at the same time.
			MaxIdleConnsPerHost: maxIdleConns,
		},
		// A redirect with status 307 or 308 would send the body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// dialer bounds the time for making a connection.
func dialer(opts HTTPOptions) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
		defer cancel()
		return opts.Dial(ctx, network, address)
	}
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// read makes a call that changes nothing. Every failure of the call itself is
// ErrUnavailable.
func (c *httpClient) read(ctx context.Context, path string, query url.Values) (reply, error) {
	return c.readUnless(ctx, path, query, "")
}

// readUnless is read, but answered with 304 and no body if the resource still
// has the entity tag etag. An empty etag asks for it anyway.
func (c *httpClient) readUnless(ctx context.Context, path string, query url.Values, etag string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return reply{}, ErrInvalid.Wrap(err)
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	r, err := exchange(c.reads, req)
	if err != nil {
		c.forgetConnections()
		return reply{}, ErrUnavailable.Wrap(err)
	}
	return r, nil
}

// forgetConnections drops the pooled connections after a failure. Something
// between the two ends may have lost track of all of them: each would swallow
// one call until its deadline, while a new connection works. The next call
// dials anew.
func (c *httpClient) forgetConnections() { c.reads.CloseIdleConnections() }

// write makes a call that may have an effect. A failure is ErrUnavailable only
// where no connection was made, so that no byte can have left; otherwise it is
// ErrOutcomeUnknown.
func (c *httpClient) write(ctx context.Context, method, path, contentType string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.WriteTimeout)
	defer cancel()
	// The transport tells of the connection before it writes to it.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, ErrInvalid.Wrap(err)
	}
	// Without GetBody the transport cannot rewind the body for a second try.
	req.GetBody = nil
	req.Header.Set("Content-Type", contentType)
	r, err := exchange(c.writes, req)
	if err == nil {
		return r, nil
	}
	if connected.Load() {
		return reply{}, ErrOutcomeUnknown.Wrap(err)
	}
	return reply{}, ErrUnavailable.Wrap(err)
}

// exchange sends a request and reads the whole answer. An answer that is cut
// short, or longer than maxReply, is an error.
func exchange(client *http.Client, req *http.Request) (reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReply))
	if err != nil {
		return reply{}, err
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// errorCode returns the code in an error reply, empty where there is none.
//
// The status alone is not believed: a 404 may come from a wrong address or from
// something in between. Taken for "no such row", it would let a reader conclude
// that its earlier write had not taken effect.
func (r reply) errorCode() ErrorCode {
	var e ErrorReply
	if json.Unmarshal(r.body, &e) != nil {
		return ""
	}
	return e.Code
}

// readError maps the answer of a read that is not 200.
func (r reply) readError() error {
	switch code := r.errorCode(); {
	case r.status == http.StatusNotFound && code == CodeNotFound:
		return ErrNotFound.New("status %d", r.status)
	case r.status == http.StatusBadRequest && code == CodeInvalid:
		return ErrInvalid.New("%s", r.body)
	default:
		return ErrUnavailable.New("status %d", r.status)
	}
}

// writeError maps the answer of a write that is neither success nor conflict.
func (r reply) writeError() error {
	switch {
	case r.header.Get(HeaderNotExecuted) == NotExecuted, r.status == http.StatusTooManyRequests:
		return ErrUnavailable.New("status %d, not executed", r.status)
	case r.status == http.StatusBadRequest && r.errorCode() == CodeInvalid:
		return ErrInvalid.New("%s", r.body)
	default:
		return ErrOutcomeUnknown.New("status %d", r.status)
	}
}
