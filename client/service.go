package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/google/uuid"
)

// Reply is the whole answer of a plain service.
type Reply struct {
	// Status and ContentType are the service's own.
	Status      int
	ContentType string
	Body        []byte
	// Router is the name of the router that answered.
	Router string
}

// Call sends one request to a plain service. The idempotency key names the
// operation: with the same key the fleet runs it at most once, whichever
// router it reaches. Call goes to the next address only while no connection was
// had; after that it returns whatever is known of the outcome: *Refusal,
// ErrOutcomeUnknown or ErrNoRouter. A later Call with the same key settles it.
func (c *Client) Call(ctx context.Context, method, service, path, idempotencyKey string, body []byte) (Reply, error) {
	q := question{service: service}
	addrs, err := c.locate(ctx, q)
	if err != nil {
		return Reply{}, err
	}
	var last error
	for i, addr := range addrs {
		if i == c.opts.Attempts {
			break
		}
		reply, sent, err := c.callAt(ctx, addr, method, service, path, idempotencyKey, body)
		if err == nil {
			return reply, nil
		}
		last = err
		if sent {
			return Reply{}, err
		}
		c.forget(q)
	}
	return Reply{}, last
}

func (c *Client) callAt(ctx context.Context, addr, method, service, path, key string, body []byte) (Reply, bool, error) {
	req, sent, err := c.serviceRequest(ctx, addr, method, service, path, key, body)
	if err != nil {
		return Reply{}, false, err
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		if sent.Load() {
			return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
		}
		return Reply{}, false, ErrNoRouter.Wrap(err)
	}
	defer drain(resp.Body)
	if resp.Header.Get(wire.HeaderRan) != "" && resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, true, refusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
	}
	if len(data) > maxBody {
		return Reply{}, true, ErrOutcomeUnknown.New("answer of more than %d bytes", maxBody)
	}
	return Reply{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        data,
		Router:      resp.Header.Get(wire.HeaderRouter),
	}, true, nil
}

// serviceRequest builds a request to a plain service and a flag that is set
// once its first header byte may have left: from then on its outcome is
// unknown until an answer says otherwise.
func (c *Client) serviceRequest(ctx context.Context, addr, method, service, path, key string, body []byte) (*http.Request, *atomic.Bool, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	u := c.url(addr, wire.PathServices+service+"/"+strings.TrimPrefix(path, "/"))
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, sent, ErrProtocol.Wrap(err)
	}
	// Without GetBody net/http has nothing to send a second time.
	req.GetBody = nil
	c.authorize(req)
	req.Header.Set(wire.HeaderRequestID, uuid.NewString())
	req.Header.Set("Content-Type", "application/json")
	setIf(req.Header, wire.HeaderIdempotencyKey, key)
	return req, sent, nil
}
