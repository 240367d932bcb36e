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

// Response is a complete response. It holds no header of the upstream but the
// content type: the others concern only the router and the upstream.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// controlPaths are reserved for requests of the router itself. Some upstreams don't check the
// sender of a control request, so the path of a caller's request must never match one.
var controlPaths = []string{
	wire.PathEngineStatus,
	strings.TrimSuffix(wire.PathEngineStreams, "/"),
	"/v1/cache",
	wire.PathEngineOrders,
	"/v1/kv",
	"/standin",
}

// Do sends a request to a plain service and returns the complete response.
// Unless call.Idempotent is set, the request uses a new connection of its own.
// Any request is sent at most once. A status of 500 or above, and any refusal
// before execution, is a *Failure.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	if err := checkService(call); err != nil {
		return Response{}, &Failure{Op: opService, Sent: NotSent, Cause: err}
	}
	r := request{
		op:            opService,
		method:        call.Method,
		path:          call.Path,
		query:         call.Query,
		body:          call.Body,
		call:          call,
		contentType:   call.ContentType,
		accept:        call.Accept,
		pooled:        call.Idempotent,
		headerTimeout: c.opts.TransferTimeout,
	}
	return c.do(ctx, r, c.opts.MaxBody)
}

// Complete requests a chat completion that is not streamed. It checks the
// request id in both the header and the body of the response.
func (c *Client) Complete(ctx context.Context, call Call) (Response, error) {
	res, err := c.do(ctx, request{
		op:            opComplete,
		method:        http.MethodPost,
		path:          wire.PathChat,
		body:          call.Body,
		call:          call,
		contentType:   protocol.TypeJSON,
		accept:        protocol.TypeJSON,
		pooled:        true,
		headerTimeout: c.opts.TransferTimeout,
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

// do sends r and reads the response to its end, up to limit bytes and within
// r.headerTimeout.
func (c *Client) do(ctx context.Context, r request, limit int64) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.headerTimeout)
	defer cancel()
	ex, err := c.roundTrip(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer ex.close()
	res := Response{Status: ex.res.StatusCode, ContentType: ex.res.Header.Get("Content-Type")}
	if err := checkResponseOwner(r, ex.res); err != nil {
		return Response{}, &Failure{Op: r.op, Sent: SentNoReply, Status: res.Status, Cause: err}
	}
	res.Body, err = readBody(ex.res, limit)
	if err == nil {
		err = ex.ctx.Err()
	}
	if err != nil {
		return Response{}, c.readFailure(r, ex, err)
	}
	return res, nil
}

// checkResponseOwner checks that the response belongs to the request and comes
// from the expected upstream. Chat completions must echo the request id; other
// responses may omit it, but must not echo that of another request. The name and
// incarnation of the upstream may be omitted too. Errors: ErrIdentity, ErrMismatch.
func checkResponseOwner(r request, res *http.Response) error {
	if err := checkResponder(r.call, res); err != nil {
		return err
	}
	if r.op != opComplete && res.Header.Get(wire.HeaderRequestID) == "" {
		return nil
	}
	return checkEcho(r.call, res)
}

func (c *Client) readFailure(r request, ex *exchange, err error) *Failure {
	f := &Failure{Op: r.op, Sent: SentNoReply, Status: ex.res.StatusCode, Cause: err}
	if !ErrTooLarge.Has(err) && ex.ctx.Err() != nil {
		f.Cause = transportCause(ex.ctx, err)
	}
	if ex.raw.Reused && ErrTimeout.Has(f.Cause) {
		c.conns.CloseIdle(r.call.Address)
	}
	return f
}

// readBody reads a body of up to limit bytes. It rejects a body that ends with
// the connection: its end can't be distinguished from a lost connection, and an incomplete
// response would be returned as complete. Errors: ErrIncomplete, ErrMalformed,
// ErrTooLarge.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength < 0 && !slices.Contains(res.TransferEncoding, "chunked") {
		return nil, ErrIncomplete.New("body without length")
	}
	body, err := decodedBody(res)
	if err != nil {
		return nil, err
	}
	// The limit applies to the decompressed body, since a small compressed one may
	// expand to a huge one.
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, ErrIncomplete.Wrap(err)
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLarge.New("body beyond %d bytes", limit)
	}
	return b, nil
}

// encodingGzip is the only content coding that the client accepts.
const encodingGzip = "gzip"

// decodedBody returns a reader of the body with its content coding removed.
// Errors: ErrMalformed.
func decodedBody(res *http.Response) (io.Reader, error) {
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

// checkServicePath rejects paths that are relative, not in their shortest form,
// or reserved for control calls in any letter case. Errors: ErrCall.
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
