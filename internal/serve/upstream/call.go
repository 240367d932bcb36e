package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Call describes one request to an upstream.
type Call struct {
	// Address is the IP address and port of the upstream.
	Address string
	// Name is the expected name of the upstream; empty accepts any.
	Name string
	// Incarnation is the expected incarnation of the upstream; 0 accepts any.
	Incarnation uint64
	// RequestID identifies the request; engines echo it in their responses.
	RequestID string
	// Brief makes Status omit the ids of unfinished requests.
	Brief bool
	// Priority is the priority class in the engine's queue.
	Priority string
	Body     []byte

	// Method, Path, Query, ContentType and Accept are used by Do only.
	Method      string
	Path        string
	Query       string
	ContentType string
	Accept      string
	// IdempotencyKey is sent to the plain service, which may use it to
	// deduplicate requests.
	IdempotencyKey string
	// Idempotent allows Do to use a pooled connection. It must be false for
	// requests that must be executed at most once.
	Idempotent bool

	// FirstChunk and IdleGap override the timeouts in Options; 0 keeps them.
	FirstChunk time.Duration
	IdleGap    time.Duration
}

const (
	userAgent      = "damaskrouter"
	maxRefusalBody = 4 << 10
	ranNo          = "no"
	headerAuth     = "Authorization"
	bearerPrefix   = "Bearer "
)

// request is the HTTP request for a Call.
type request struct {
	op          string
	method      string
	path        string
	query       string
	body        []byte
	call        Call
	accept      string
	contentType string
	token       string
	pooled      bool
	// acceptGzip requests a gzip-encoded response.
	acceptGzip bool
	// headerTimeout bounds the wait for the response headers, and in do the
	// whole exchange.
	headerTimeout time.Duration
}

// exchange is an HTTP exchange whose response body has not been read yet.
type exchange struct {
	res *http.Response
	// ctx ends with the exchange; its cause is the reason.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// raw is the response that res was made from.
	raw *engineconn.Response
}

// close ends the exchange. The connection can be reused only if the body has
// been read to its end.
func (e *exchange) close() {
	e.raw.Close()
	e.cancel(nil)
}

// roundTrip sends r and returns the exchange once the response headers have
// arrived. A status of 400 or above is returned as a *Failure, except for the
// 4xx responses of a plain service; see isResponse.
func (c *Client) roundTrip(ctx context.Context, r request) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := c.engineRequest(r)
	if err != nil {
		cancel(nil)
		return nil, &Failure{Op: r.op, Sent: NotSent, Cause: err}
	}
	timer := headerTimer(r.headerTimeout, cancel)
	raw, err := c.conns.Send(ctx, targetOf(r.call), req)
	timer.Stop()
	if err == nil && ctx.Err() != nil {
		// The response arrived after the timeout or after the caller canceled.
		raw.Close()
		err = engineconn.ErrNoResponse.Wrap(ctx.Err())
	}
	if err != nil {
		defer cancel(nil)
		return nil, c.transportFailure(ctx, r, err)
	}
	ex := &exchange{res: httpResponse(raw), ctx: ctx, cancel: cancel, raw: raw}
	if f := refusal(r, ex.res); f != nil {
		ex.close()
		return nil, f
	}
	return ex, nil
}

// targetOf identifies an upstream by its address. A later upstream at the same
// address can't receive requests over pooled connections to the earlier one.
func targetOf(call Call) engineconn.Target {
	return engineconn.Target{ID: call.Address, Address: call.Address}
}

// httpResponse converts a response of engineconn to an *http.Response.
func httpResponse(a *engineconn.Response) *http.Response {
	res := &http.Response{StatusCode: a.Status, Header: a.Header, ContentLength: a.Length, Body: io.NopCloser(a)}
	if a.Framed && a.Length < 0 {
		res.TransferEncoding = []string{"chunked"}
	}
	return res
}

func headerTimer(d time.Duration, cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(d, func() {
		cancel(ErrTimeout.New("no reply headers within %v", d))
	})
}

// transportFailure classifies a failed exchange. If a reused connection timed
// out, it also closes the other idle connections to the upstream, which are
// probably dead too.
func (c *Client) transportFailure(ctx context.Context, r request, err error) *Failure {
	f := &Failure{Op: r.op, Sent: SentNoReply, Cause: transportCause(ctx, err)}
	if engineconn.ErrNotSent.Has(err) {
		f.Sent = NotSent
	}
	if engineconn.ErrReused.Has(err) && ErrTimeout.Has(f.Cause) {
		c.conns.CloseIdle(r.call.Address)
	}
	return f
}

func transportCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil && ErrDial.Has(err):
		return ErrDial.Wrap(err)
	case cause == nil:
		return ErrTransport.Wrap(err)
	case ErrTimeout.Has(cause) || ErrIdle.Has(cause):
		return cause
	case errors.Is(cause, context.DeadlineExceeded):
		return ErrTimeout.Wrap(cause)
	default:
		return ErrCanceled.Wrap(cause)
	}
}

// engineRequest returns the request to send. Only a request with pooled set may
// use a pooled connection, and only its connection returns to the pool. Errors:
// ErrCall.
func (c *Client) engineRequest(r request) (*engineconn.Request, error) {
	if _, err := netip.ParseAddrPort(r.call.Address); err != nil {
		return nil, ErrCall.New("address %q is no IP and port", r.call.Address)
	}
	target := &url.URL{Path: r.path, RawQuery: r.query}
	req := &engineconn.Request{
		Method:  r.method,
		Target:  target.RequestURI(),
		Host:    r.call.Address,
		Header:  r.header(),
		Body:    r.body,
		MaxIdle: neverReuse,
		// The caller of Send checks which request the response belongs to, and
		// reports a mismatch as ErrMismatch.
		Matches: func(http.Header) bool { return true },
		Traffic: c.traffic.forOperation(r.op),
	}
	if r.pooled {
		req.MaxIdle = c.opts.IdleConn
		req.MaxIdleConns = c.opts.MaxIdlePerHost
	} else {
		req.Header.Set("Connection", "close")
	}
	return req, checkHeader(req.Header)
}

// neverReuse is a value of engineconn.Request.MaxIdle that forces a new
// connection.
const neverReuse = -time.Second

// header returns the headers to send. It lists them one by one, so that no
// internal header can be forwarded by accident.
func (r request) header() http.Header {
	h := http.Header{"User-Agent": {userAgent}}
	setHeader(h, wire.HeaderRequestID, r.call.RequestID)
	setHeader(h, wire.HeaderPriority, r.call.Priority)
	setHeader(h, "Content-Type", r.contentType)
	setHeader(h, "Accept", r.accept)
	if r.acceptGzip {
		h.Set("Accept-Encoding", encodingGzip)
	}
	setHeader(h, protocol.HeaderName, r.call.Name)
	if r.call.Incarnation != 0 {
		setHeader(h, wire.HeaderIncarnation, strconv.FormatUint(r.call.Incarnation, 10))
	}
	if r.call.IdempotencyKey != "" {
		setHeader(h, wire.HeaderIdempotencyKey, r.call.IdempotencyKey)
	}
	if r.token != "" {
		setHeader(h, headerAuth, bearerPrefix+r.token)
	}
	return h
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// checkHeader rejects values that would allow request splitting. Errors: ErrCall.
func checkHeader(h http.Header) error {
	for name, values := range h {
		if strings.ContainsAny(values[0], "\r\n\x00") {
			return ErrCall.New("header %s has a control character", name)
		}
	}
	return nil
}

// refusal returns nil if res is a response to the request, and otherwise a
// Failure. Only the header X-Request-Ran proves that nothing was executed; a 5xx
// without it may follow an execution.
func refusal(r request, res *http.Response) *Failure {
	if isResponse(r, res) {
		return nil
	}
	f := &Failure{Op: r.op, Sent: SentNoReply, Status: res.StatusCode}
	echoed := res.Header.Get(wire.HeaderRequestID)
	foreign := echoed != "" && echoed != r.call.RequestID
	if foreign {
		f.Cause = ErrMismatch.New("refusal of request %q", echoed)
		return f
	}
	if res.Header.Get(wire.HeaderRan) == ranNo {
		f.Sent = RefusedBeforeExecuting
	}
	f.Code = refusalCode(res)
	f.RetryAfter = retryAfter(f.Code, res)
	f.Cause = refusalCause(f.Code, res.StatusCode)
	return f
}

// isResponse reports whether res is a response to the request itself rather
// than a refusal. A 4xx of a plain service is a response, unless the service
// states that it executed nothing.
func isResponse(r request, res *http.Response) bool {
	switch {
	case res.StatusCode < http.StatusOK:
		return false
	case res.StatusCode < http.StatusBadRequest:
		return true
	case res.StatusCode < http.StatusInternalServerError:
		return r.op == opService && res.Header.Get(wire.HeaderRan) != ranNo
	default:
		return false
	}
}

func refusalCode(res *http.Response) protocol.Code {
	var p protocol.Refusal
	body, err := decodedBody(res)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(io.LimitReader(body, maxRefusalBody))
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	return p.Code
}

// retryAfter returns the Retry-After header of a refusal by which the upstream limits its load, or an
// empty string.
func retryAfter(code protocol.Code, res *http.Response) string {
	limits := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if !limits || code == protocol.CodeWrongIdentity {
		return ""
	}
	return res.Header.Get("Retry-After")
}

func refusalCause(code protocol.Code, status int) error {
	switch code {
	case protocol.CodeWrongIdentity:
		return ErrIdentity.New("another upstream or incarnation runs at the address")
	default:
		return ErrRefused.New("status %d, code %q", status, string(code))
	}
}
