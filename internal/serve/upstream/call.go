package upstream

import (
	"bytes"
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
	body   io.Reader
	length int64
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
	res    *http.Response
	cancel context.CancelCauseFunc
	reused bool
}

func (r *reply) close() {
	r.cancel(nil)
	_ = r.res.Body.Close()
}

// onceReader hides the concrete type of a body, so that net/http can't derive
// GetBody from it and has nothing to send again.
type onceReader struct{ io.Reader }

func bytesBody(b []byte) (io.Reader, int64) {
	if len(b) == 0 {
		return nil, 0
	}
	return bytes.NewReader(b), int64(len(b))
}

// roundTrip sends r and returns the reply once its headers are in. Statuses of
// 400 and above become a *Failure, save for the plain replies of a service.
func (c *Client) roundTrip(ctx context.Context, r request) (*reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &sentTracker{meter: c.meters.of(r.op)}
	req, err := r.build(tracker.attach(ctx))
	if err != nil {
		cancel(nil)
		return nil, &Failure{Op: r.op, Sent: NotSent, Cause: err}
	}
	timer := headerTimer(r.headers, cancel)
	res, err := c.transportFor(r).RoundTrip(req)
	timer.Stop()
	if err != nil {
		defer cancel(nil)
		return nil, c.transportFailure(ctx, r, tracker, err)
	}
	rep := &reply{res: res, cancel: cancel, reused: tracker.onReused()}
	if f := refusal(r, res); f != nil {
		rep.close()
		return nil, f
	}
	return rep, nil
}

func headerTimer(d time.Duration, cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(d, func() {
		cancel(ErrTimeout.New("no reply headers within %v", d))
	})
}

func (c *Client) transportFor(r request) *http.Transport {
	if r.pooled {
		return c.pools.at(r.call.Address).transport()
	}
	return c.fresh
}

// transportFailure classifies a failed round trip and sheds the pool where a
// reused connection is the suspect.
func (c *Client) transportFailure(ctx context.Context, r request, t *sentTracker, err error) *Failure {
	f := &Failure{Op: r.op, Sent: t.afterFailure(), Cause: transportCause(ctx, err)}
	if t.onReused() && ErrTimeout.Has(f.Cause) {
		c.pools.at(r.call.Address).shed()
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

func (r request) build(ctx context.Context) (*http.Request, error) {
	if _, err := netip.ParseAddrPort(r.call.Address); err != nil {
		return nil, ErrCall.New("address %q is no IP and port", r.call.Address)
	}
	u := &url.URL{Scheme: "http", Host: r.call.Address, Path: r.path, RawQuery: r.query}
	req := (&http.Request{
		Method:     r.method,
		URL:        u,
		Host:       r.call.Address,
		Header:     r.header(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	r.setBody(req)
	return req, checkHeader(req.Header)
}

// setBody gives pooled requests a body that can be sent again where nothing
// was written, and all others one that can't.
func (r request) setBody(req *http.Request) {
	if r.body == nil {
		return
	}
	req.Body = io.NopCloser(onceReader{r.body})
	req.ContentLength = r.length
	if b, ok := r.body.(*bytes.Reader); ok && r.pooled {
		start := *b
		req.GetBody = func() (io.ReadCloser, error) {
			again := start
			return io.NopCloser(&again), nil
		}
	}
}

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
