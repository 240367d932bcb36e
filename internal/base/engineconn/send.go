package engineconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// maxStrays is how many answers that belong to no request are passed over on
// one connection before it is given up.
const maxStrays = 2

// maxStray bounds the body of an answer that is passed over.
const maxStray = 1 << 20

// Answer is an engine's answer. Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes; -1 if it is not known in advance.
	Length int64
	// Framed bodies have an end of their own; without one, the end of the connection
	// is taken for it.
	Framed bool
	// Reused means that the connection had carried another request before.
	Reused bool

	body   io.ReadCloser
	conn   *conn
	pool   *Pool
	engine string
	unhook func() bool
	sent   *sending
	keep   int
	whole  bool
	reuse  bool
}

// sending is the writing half of an exchange.
type sending struct {
	done    chan struct{}
	written atomic.Int64
	err     error
}

// nothingSent says that no byte of the request has left, nor will: no write was begun, or
// the kernel refused the first one as a whole, as on a connection that the other end has
// reset. A write that was cut short by closing the connection here may have handed bytes
// over, whatever it says.
func (s *sending) nothingSent() bool {
	if s.written.Load() > 0 {
		return false
	}
	var refused syscall.Errno
	return errNotBegun.Has(s.err) || errors.As(s.err, &refused)
}

// errNotBegun is around the reason for which nothing was written.
var errNotBegun = errs.Class("not begun")

// finished says whether the whole request has been written.
func (s *sending) finished() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// Send sends a request to an engine and returns its answer once the header is
// in. Ending the context closes the connection, on which most engines stop
// their work; it does so also while the answer is read. Errors: ErrNotSent,
// ErrNoAnswer, ErrMalformed.
func (p *Pool) Send(ctx context.Context, to Target, r *Request) (*Answer, error) {
	c, err := p.open(ctx, to, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	c.traffic.Store(r.Traffic)
	unhook := context.AfterFunc(ctx, c.abandon)
	out := write(ctx, c, r)
	resp, err := readHeader(c, r)
	if err != nil {
		unhook()
		c.abandon()
		<-out.done
		if out.nothingSent() {
			return nil, ErrNotSent.Wrap(out.err)
		}
		if c.reused {
			return nil, ErrReused.Wrap(err)
		}
		return nil, err
	}
	c.keep = 0
	if told := keepFor(resp.Header.Get("Keep-Alive")); told > 0 {
		c.keep = max(told-keepMargin, time.Millisecond)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, Reused: c.reused,
		body: resp.Body, conn: c, pool: p, engine: to.ID, unhook: unhook, sent: out, keep: r.Keep, reuse: !resp.Close,
	}, nil
}

// smallBody is sent together with the header, in one packet where it fits.
const smallBody = 16 << 10

// inPlace is the longest request that is written before the answer is read: it
// fits the empty send buffer of a connection, so that the write does not wait for
// the engine.
const inPlace = 8 << 10

// write sends the request. A long one is sent beside the reading of the answer: an
// engine may answer it before it has read it, and neither end would go on if both
// only wrote. A short one has been written when the answer comes, so that a fast
// engine's connection isn't taken for one that is still being written to, and closed
// instead of kept.
func write(ctx context.Context, c *conn, r *Request) *sending {
	head := header(r)
	rest := r.Body
	if len(rest) <= smallBody {
		head = append(head, rest...)
		rest = nil
	}
	s := &sending{done: make(chan struct{})}
	if len(head)+len(rest) <= inPlace {
		s.write(ctx, c, head)
		return s
	}
	go s.write(ctx, c, head, rest)
	return s
}

// write writes the parts and ends the sending.
func (s *sending) write(ctx context.Context, c *conn, parts ...[]byte) {
	defer close(s.done)
	if err := ctx.Err(); err != nil {
		s.err = errNotBegun.Wrap(err)
		return
	}
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		n, err := c.Write(part)
		s.written.Add(int64(n))
		if err != nil {
			s.err = err
			return
		}
	}
}

func header(r *Request) []byte {
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

// readHeader reads the header of the request's own answer. Errors: ErrNoAnswer,
// ErrMalformed.
func readHeader(c *conn, r *Request) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	for range maxStrays + 1 {
		resp, err := readFinal(c, r)
		if err != nil {
			return nil, err
		}
		if r.Own(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 || resp.ContentLength > maxStray || resp.Close {
			return nil, ErrMalformed.New("an answer to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ErrNoAnswer.Wrap(err)
		}
	}
	return nil, ErrMalformed.New("%d answers to other requests", maxStrays+1)
}

// readFinal passes over interim answers such as 100 Continue.
func readFinal(c *conn, r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if isEnd(err) {
				return nil, ErrNoAnswer.Wrap(err)
			}
			return nil, ErrMalformed.Wrap(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// isEnd tells an end of the connection from bytes that are no answer.
func isEnd(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

// Read reads the body. io.EOF means that it is complete: as long as it was said
// to be, with its last chunk, or, where it has neither, until the engine closed
// the connection. Errors: ErrCut.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.whole = true
		return n, io.EOF
	}
	return n, ErrCut.Wrap(err)
}

// Close ends the exchange. The connection is kept if the answer was read whole,
// the request was written whole, and the engine keeps it too.
func (a *Answer) Close() {
	if a.unhook() && a.whole && a.reuse && a.sent.finished() {
		a.pool.put(a.engine, a.conn, a.keep)
		return
	}
	_ = a.conn.Close()
}
