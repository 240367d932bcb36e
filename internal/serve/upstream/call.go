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
	// Address is the upstream's IP address and port.
	Address string
	// Name is the upstream's expected name; empty means any.
	Name string
	// Incarnation is the expected incarnation; 0 means any.
	Incarnation uint64
	// RequestID identifies the request; the upstream echoes it.
	RequestID string
	// Brief asks Status to leave the unfinished requests' ids out.
	Brief bool
	// Priority is the priority class for the engine's queue.
	Priority string
	// Body is the request's body.
	Body []byte

	// Method, Path, Query, ContentType and Accept are for Do only.
	Method      string
	Path        string
	Query       string
	ContentType string
	Accept      string
	// IdempotencyKey is handed to a plain service, which may deduplicate by it.
	IdempotencyKey string
	// Idempotent allows Do to use a pooled connection. Leave it false for
	// work that must run at most once.
	Idempotent bool

	// FirstChunk and IdleGap override the client's timers; 0 keeps them.
	FirstChunk time.Duration
	IdleGap    time.Duration
}

const (
	userAgent    = "damaskrouter"
	maxRefusal   = 4 << 10
	ranNo        = "no"
	headerAuth   = "Authorization"
	bearerPrefix = "Bearer "
)

// request is a call translated to HTTP.
type request struct {
	op     string
	method string
	path   string
	query  string
	body   []byte
	call   Call
	accept string
	typ    string
	token  string
	pooled bool
	// packed asks for a reply in gzip.
	packed bool
	// headers bounds the wait for the reply's headers.
	headers time.Duration
}

// reply is an HTTP response whose body is still to be read.
type reply struct {
	res *http.Response
	// ctx ends with the exchange; its cause says why.
	ctx    context.Context
	cancel context.CancelCauseFunc
	answer *engineconn.Response
}

// close ends the exchange. The connection is kept if the body has been read to its end.
func (r *reply) close() {
	r.answer.Close()
	r.cancel(nil)
}

// roundTrip sends r and returns the reply once its headers are in. Statuses of
// 400 and above become a *Failure, save for the plain replies of a service.
func (c *Client) roundTrip(ctx context.Context, r request) (*reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	out, err := c.outgoing(r)
	if err != nil {
		cancel(nil)
		return nil, &Failure{Op: r.op, Sent: NotSent, Cause: err}
	}
	timer := headerTimer(r.headers, cancel)
	answer, err := c.conns.Send(ctx, targetOf(r.call), out)
	timer.Stop()
	if err == nil && ctx.Err() != nil {
		// It came after its time: whoever asked has been told so.
		answer.Close()
		err = engineconn.ErrNoResponse.Wrap(ctx.Err())
	}
	if err != nil {
		defer cancel(nil)
		return nil, c.transportFailure(ctx, r, err)
	}
	rep := &reply{res: responseOf(answer), ctx: ctx, cancel: cancel, answer: answer}
	if f := refusal(r, rep.res); f != nil {
		rep.close()
		return nil, f
	}
	return rep, nil
}

// targetOf names an upstream by its address: another one may stand there later, but
// connections to the first do not lead to it.
func targetOf(call Call) engineconn.Target {
	return engineconn.Target{ID: call.Address, Address: call.Address}
}

// responseOf puts an answer in the form that replies are checked in.
func responseOf(a *engineconn.Response) *http.Response {
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

// transportFailure classifies a failed exchange, and drops the upstream's other idle
// connections where one that had been used before has gone silent.
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

// outgoing is the request as it goes on the wire. Only pooled ones use a connection that
// others have used, and leave it to them.
func (c *Client) outgoing(r request) (*engineconn.Request, error) {
	if _, err := netip.ParseAddrPort(r.call.Address); err != nil {
		return nil, ErrCall.New("address %q is no IP and port", r.call.Address)
	}
	target := &url.URL{Path: r.path, RawQuery: r.query}
	out := &engineconn.Request{
		Method:  r.method,
		Target:  target.RequestURI(),
		Host:    r.call.Address,
		Header:  r.header(),
		Body:    r.body,
		MaxIdle: neverReuse,
		// Whose answer it is, is checked where the answer is read.
		Matches: func(http.Header) bool { return true },
		Traffic: c.meters.of(r.op),
	}
	if r.pooled {
		out.MaxIdle = c.opts.IdleConn
		out.MaxIdleConns = c.opts.MaxIdlePerHost
	} else {
		out.Header.Set("Connection", "close")
	}
	return out, checkHeader(out.Header)
}

// neverReuse asks for a new connection; see engineconn.Request.MaxIdle.
const neverReuse = -time.Second

// header lists the only headers that ever leave for an upstream.
func (r request) header() http.Header {
	h := http.Header{"User-Agent": {userAgent}}
	setHeader(h, wire.HeaderRequestID, r.call.RequestID)
	setHeader(h, wire.HeaderPriority, r.call.Priority)
	setHeader(h, "Content-Type", r.typ)
	setHeader(h, "Accept", r.accept)
	if r.packed {
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

// checkHeader refuses values that would split the request in two.
func checkHeader(h http.Header) error {
	for name, values := range h {
		if strings.ContainsAny(values[0], "\r\n\x00") {
			return ErrCall.New("header %s has a control character", name)
		}
	}
	return nil
}

// refusal returns nil for a status that is a reply. All others become a
// Failure. Only the typed header proves that nothing ran; a bare 5xx may come
// after execution.
func refusal(r request, res *http.Response) *Failure {
	if isReply(r, res) {
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
	f.Cause = refusalCause(f.Code, res.StatusCode)
	return f
}

// isReply reports whether the status is the upstream's answer to the work
// itself. A plain service's 4xx is, unless it states that nothing ran.
func isReply(r request, res *http.Response) bool {
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
	body, err := unpacked(res)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(io.LimitReader(body, maxRefusal))
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	return p.Code
}

func refusalCause(code protocol.Code, status int) error {
	switch code {
	case protocol.CodeWrongIdentity:
		return ErrIdentity.New("another upstream or incarnation runs at the address")
	default:
		return ErrRefused.New("status %d, code %q", status, string(code))
	}
}
