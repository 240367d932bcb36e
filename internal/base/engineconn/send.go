package engineconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// maxStrayResponses is how many responses that belong to no request are skipped
// on one connection before it is closed.
const maxStrayResponses = 2

// maxStrayBody bounds the body of a skipped response, in bytes.
const maxStrayBody = 256 << 10

// maxHeader bounds the header of a response, with the interim responses and the headers of stray ones before it
// and what is read of the body at the same time, in bytes. A faulty engine may send bytes without end, of which no
// line or header would ever be complete.
const maxHeader = 64 << 10

// Response is the response of an engine. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if it is not known in advance.
	Length int64
	// Framed is set if the body has a known length or is chunked; otherwise it
	// extends to the end of the connection.
	Framed bool
	// Reused is set if the connection had carried another request before.
	Reused bool
	// Via is the router that relays the connection; empty for a direct one.
	Via string

	body      io.ReadCloser
	conn      *conn
	pool      *Pool
	engine    string
	stopAbort func() bool
	write     *requestWrite
	maxConns  int
	complete  bool
	keepAlive bool
}

// requestWrite is the writing of a request.
type requestWrite struct {
	done    chan struct{}
	written atomic.Int64
	err     error
}

// nothingSent reports whether no byte of the request has left or will leave:
// either no write was started, or the kernel rejected the first one completely,
// as on a connection that the peer has reset. A write that was interrupted by
// closing the connection on this side may have handed bytes over, whatever
// count it returns. It must be called after done is closed.
func (w *requestWrite) nothingSent() bool {
	if w.written.Load() > 0 {
		return false
	}
	var errno syscall.Errno
	return errNotStarted.Has(w.err) || errors.As(w.err, &errno)
}

// errNotStarted wraps the reason for which no write was started.
var errNotStarted = errs.Class("write not started")

// finished reports whether the whole request has been written.
func (w *requestWrite) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Send sends a request to an engine and returns the response once its header
// has arrived. The end of the context closes the connection, also while the
// body is read; most engines then stop working on the request. Errors:
// ErrNotSent (with ErrWithdrawn if the request was withdrawn), ErrNoResponse,
// ErrMalformed.
func (p *Pool) Send(ctx context.Context, to Target, r *Request) (*Response, error) {
	c, err := p.connect(ctx, to, r)
	if err != nil {
		return nil, err
	}
	if !c.reused {
		if r.Withdrawn != nil && r.Withdrawn() {
			p.putIdle(to.ID, c, r.MaxIdleConns)
			return nil, ErrNotSent.Wrap(ErrWithdrawn.New("while the connection was opened"))
		}
		p.begin(to.ID, c)
	}
	c.limitSilence(r.Repeatable)
	c.traffic.Store(r.Traffic)
	stopAbort := context.AfterFunc(ctx, c.abort)
	stopWatch := p.watch(c, r, to.Address)
	w := startWrite(ctx, c, r)
	resp, err := readHeader(c, r)
	stopWatch()
	if err != nil {
		if stopAbort() && c.readErr != nil {
			p.lost(to.ID, c)
		}
		p.end(to.ID, c)
		c.abort()
		<-w.done
		if w.nothingSent() {
			return nil, ErrNotSent.Wrap(w.err)
		}
		if c.reused {
			return nil, ErrReused.Wrap(err)
		}
		return nil, err
	}
	c.idleTimeout = 0
	if timeout := parseKeepAlive(resp.Header.Get("Keep-Alive")); timeout > 0 {
		c.idleTimeout = max(timeout-idleTimeoutMargin, time.Millisecond)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, Reused: c.reused, Via: c.via(),
		body: resp.Body, conn: c, pool: p, engine: to.ID, stopAbort: stopAbort, write: w, maxConns: r.MaxIdleConns, keepAlive: !resp.Close,
	}, nil
}

// stallTime is the time after which an engine that acknowledges nothing is reported as stalled. The
// kernel sends lost packets again twice before that.
const stallTime = 300 * time.Millisecond

// watch looks every stallTime whether the engine has acknowledged the request. The returned function
// ends that and must be called once the response has begun.
func (p *Pool) watch(c *conn, r *Request, address string) (stop func()) {
	if p.opts.Stalled == nil && r.Waiting == nil {
		return func() {}
	}
	var mu sync.Mutex
	stopped, reported := false, false
	var timer *time.Timer
	look := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		unacked := hasUnackedData(c.Conn)
		if unacked && !reported && p.opts.Stalled != nil {
			reported = true
			go p.opts.Stalled(address)
		}
		if r.Waiting != nil {
			r.Waiting(unacked)
		}
		timer.Reset(stallTime)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(stallTime, look)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// maxJoinedBody is the longest body, in bytes, that is written together with the
// header, in one packet if it fits.
const maxJoinedBody = 16 << 10

// maxSyncWrite is the longest request, in bytes, that is written before the
// response is read: it fits the empty send buffer of a connection, so that the
// write does not wait for the engine.
const maxSyncWrite = 8 << 10

// startWrite writes the request. A long request is written concurrently with the
// reading of the response: an engine may respond before it has read the request,
// and if both ends only wrote, neither would proceed. A short request has been
// written when the response arrives, so that the connection of a fast engine is
// not mistaken for one that is still being written to, and closed instead of
// pooled.
func startWrite(ctx context.Context, c *conn, r *Request) *requestWrite {
	head := encodeHeader(r)
	rest := r.Body
	if len(rest) <= maxJoinedBody {
		head = append(head, rest...)
		rest = nil
	}
	w := &requestWrite{done: make(chan struct{})}
	if len(head)+len(rest) <= maxSyncWrite {
		w.run(ctx, c, head)
		return w
	}
	go w.run(ctx, c, head, rest)
	return w
}

// run writes the parts, unless the context has ended, and closes done.
func (w *requestWrite) run(ctx context.Context, c *conn, parts ...[]byte) {
	defer close(w.done)
	if err := ctx.Err(); err != nil {
		w.err = errNotStarted.Wrap(err)
		return
	}
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		n, err := c.Write(part)
		w.written.Add(int64(n))
		if err != nil {
			w.err = err
			return
		}
	}
}

func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Write to a bytes.Buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the response that belongs to the request, and
// skips stray responses before it. Errors: ErrNoResponse, ErrMalformed.
func readHeader(c *conn, r *Request) (*http.Response, error) {
	c.headerLeft = maxHeader
	defer func() { c.headerLeft = -1 }()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, ErrNoResponse.Wrap(err)
	}
	for range maxStrayResponses + 1 {
		resp, err := readFinalHeader(c, r)
		if err != nil {
			return nil, err
		}
		if r.Matches(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 || resp.ContentLength > maxStrayBody || resp.Close {
			return nil, ErrMalformed.New("response belongs to another request")
		}
		c.headerLeft += resp.ContentLength
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ErrNoResponse.Wrap(err)
		}
	}
	return nil, ErrMalformed.New("%d responses belong to other requests", maxStrayResponses+1)
}

// readFinalHeader reads the next header of a response, and skips interim
// responses such as 100 Continue. Errors: ErrNoResponse, ErrMalformed.
func readFinalHeader(c *conn, r *Request) (*http.Response, error) {
	for {
		var resp *http.Response
		err := c.awaitHeader()
		if err == nil {
			resp, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		}
		if err != nil {
			if c.readErr != nil {
				return nil, ErrNoResponse.Wrap(c.readErr)
			}
			return nil, ErrMalformed.Wrap(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body. It returns io.EOF if the body is complete: its announced
// length or its last chunk was read or, if it has neither, the engine closed
// the connection, and had taken the whole request. Errors: ErrTruncated, ErrMalformed.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) && !a.Framed && !a.stopWrite() {
		err = errUnreadRequest.New("%w", io.ErrUnexpectedEOF)
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.complete = true
		return n, io.EOF
	case a.conn.readErr == nil:
		return n, ErrMalformed.Wrap(err)
	}
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.pool.lost(a.engine, a.conn)
	}
	return n, ErrTruncated.Wrap(err)
}

// errUnreadRequest means that an engine has closed its connection before it has taken the whole request.
var errUnreadRequest = errs.Class("connection closed before the request was written")

// stopWrite ends the writing of the request, and reports whether all of it was written.
func (a *Response) stopWrite() bool {
	if !a.write.finished() {
		// An error means that the connection is closed, which the write finds.
		_ = a.conn.SetWriteDeadline(time.Now())
		<-a.write.done
	}
	return a.write.err == nil
}

// Open reports whether the engine has not closed the connection, as far as is known. It returns false if
// there is more to read.
func (a *Response) Open() bool { return a.conn.reader.Buffered() == 0 && a.conn.open() }

// EndAge returns how long ago at most the end of the connection had arrived when it was read; zero if that is not known.
func (a *Response) EndAge() time.Duration { return a.conn.endAge }

// OpenedAt returns the reading of Options.Clock when the connection was open. The process that responds had
// accepted it by then.
func (a *Response) OpenedAt() time.Duration { return a.conn.openedAt }

// Drain reads the rest of a body whose content does not matter, so that the connection can be used again. A body
// of more than limit bytes, or one that takes longer than a time, is left unread.
func (a *Response) Drain(limit int64, timeout time.Duration) {
	// An error means that the connection is closed, which the read finds.
	_ = a.conn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(a, limit))
	_ = a.conn.SetReadDeadline(time.Time{})
}

// Complete reports whether the body was read to its end.
func (a *Response) Complete() bool { return a.complete }

// Close ends the exchange. The connection returns to the pool if the response
// was read to its end and nothing beyond it, the request was written completely, and the engine keeps
// the connection open too.
func (a *Response) Close() {
	if a.stopAbort() && a.complete && a.keepAlive && a.write.finished() && a.conn.reader.Buffered() == 0 {
		a.conn.resetBuffer()
		a.pool.putIdle(a.engine, a.conn, a.maxConns)
		return
	}
	a.pool.end(a.engine, a.conn)
	a.conn.abort()
}
