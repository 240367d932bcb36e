package upstream

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"slices"
	"strings"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Response is a whole reply. Of the upstream's headers only the content type
// is kept: all others are between router and upstream.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// controlPaths belong to the router itself. Some upstreams don't check who
// gives an order, so a caller's path must never reach them.
var controlPaths = []string{
	wire.PathEngineStatus,
	strings.TrimSuffix(wire.PathEngineStreams, "/"),
	"/v1/cache",
	wire.PathEngineOrders,
	"/v1/kv",
	"/standin",
}

// Do sends one call to a plain service and returns the whole reply. Unless
// call.Idempotent is set, it goes out once at most, on its own connection.
// A status of 500 or above, and any refusal before executing, is a *Failure.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	if err := checkService(call); err != nil {
		return Response{}, &Failure{Op: opService, Sent: NotSent, Cause: err}
	}
	r := request{
		op:      opService,
		method:  call.Method,
		path:    call.Path,
		query:   call.Query,
		body:    call.Body,
		call:    call,
		typ:     call.ContentType,
		accept:  call.Accept,
		pooled:  call.Idempotent,
		headers: c.opts.TransferTimeout,
	}
	return c.whole(ctx, r, c.opts.MaxBody)
}

// Complete runs a chat completion that is not streamed. The reply's request id
// is checked in the header and in the body.
func (c *Client) Complete(ctx context.Context, call Call) (Response, error) {
	res, err := c.whole(ctx, request{
		op:      opComplete,
		method:  http.MethodPost,
		path:    wire.PathChat,
		body:    call.Body,
		call:    call,
		typ:     protocol.TypeJSON,
		accept:  protocol.TypeJSON,
		pooled:  true,
		headers: c.opts.TransferTimeout,
	}, c.opts.MaxBody)
	if err != nil {
		return Response{}, err
	}
	return res, checkCompletion(call, res)
}

func checkCompletion(call Call, res Response) error {
	var body struct {
		ID string `json:"id"`
	}
	f := &Failure{Op: opComplete, Sent: SentNoReply, Status: res.Status}
	if err := json.Unmarshal(res.Body, &body); err != nil {
		f.Cause = ErrMalformed.Wrap(err)
		return f
	}
	if body.ID != call.RequestID {
		f.Cause = ErrMismatch.New("completion of request %q", body.ID)
		return f
	}
	return nil
}

// whole runs r and reads its reply to the end, up to limit bytes and within
// the time r gives to headers.
func (c *Client) whole(ctx context.Context, r request, limit int64) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.headers)
	defer cancel()
	rep, err := c.roundTrip(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer rep.close()
	res := Response{Status: rep.res.StatusCode, ContentType: rep.res.Header.Get("Content-Type")}
	if err := checkReplyOwner(r, rep.res); err != nil {
		return Response{}, &Failure{Op: r.op, Sent: SentNoReply, Status: res.Status, Cause: err}
	}
	res.Body, err = readBounded(rep.res, limit)
	if err == nil {
		err = rep.ctx.Err()
	}
	if err != nil {
		return Response{}, c.readFailure(r, rep, err)
	}
	return res, nil
}

// checkReplyOwner insists on the echoed id for chat completions. Plain
// services need not echo it, but may not echo another's. The same goes for the
// answerer's name and incarnation.
func checkReplyOwner(r request, res *http.Response) error {
	if err := checkAnswerer(r.call, res); err != nil {
		return err
	}
	if r.op != opComplete && res.Header.Get(wire.HeaderRequestID) == "" {
		return nil
	}
	return checkEcho(r.call, res)
}

func (c *Client) readFailure(r request, rep *reply, err error) *Failure {
	f := &Failure{Op: r.op, Sent: SentNoReply, Status: rep.res.StatusCode, Cause: err}
	if !ErrTooLarge.Has(err) && rep.ctx.Err() != nil {
		f.Cause = transportCause(rep.ctx, err)
	}
	if rep.answer.Reused && ErrTimeout.Has(f.Cause) {
		c.conns.CloseIdle(r.call.Address)
	}
	return f
}

// readBounded reads a body whose end is marked. A body that ends with its
// connection is refused: a cut can't be told from its end, and half an answer
// would be shown as whole.
func readBounded(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength < 0 && !slices.Contains(res.TransferEncoding, "chunked") {
		return nil, ErrIncomplete.New("body without length")
	}
	body, err := unpacked(res)
	if err != nil {
		return nil, err
	}
	// The limit is on the unpacked body: a small packed one may hold a huge one.
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, ErrIncomplete.Wrap(err)
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLarge.New("body beyond %d bytes", limit)
	}
	return b, nil
}

// encodingGzip is the one content coding that is asked for.
const encodingGzip = "gzip"

// unpacked is the reply's body without its content coding.
func unpacked(res *http.Response) (io.Reader, error) {
	switch coding := res.Header.Get("Content-Encoding"); coding {
	case "", "identity":
		return res.Body, nil
	case encodingGzip:
		z, err := gzip.NewReader(res.Body)
		if err != nil {
			return nil, ErrMalformed.Wrap(err)
		}
		return z, nil
	default:
		return nil, ErrMalformed.New("content coding %q", coding)
	}
}

// serviceMethods are the methods that Do sends.
var serviceMethods = []string{
	http.MethodGet,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
}

func checkService(call Call) error {
	if !slices.Contains(serviceMethods, call.Method) {
		return ErrCall.New("method %q", call.Method)
	}
	return checkServicePath(call.Path)
}

// checkServicePath refuses paths that are relative, not in their shortest
// form, or meant for the router's own control calls.
func checkServicePath(p string) error {
	if !strings.HasPrefix(p, "/") || path.Clean(p) != p {
		return ErrCall.New("path %q is not in its shortest form", p)
	}
	lower := strings.ToLower(p)
	for _, control := range controlPaths {
		if lower == control || strings.HasPrefix(lower, control+"/") {
			return ErrCall.New("path %q is reserved for control", p)
		}
	}
	return nil
}
