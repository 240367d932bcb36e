package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/base/httpcheck"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/google/uuid"
)

// Reply is the complete response of a plain service.
type Reply struct {
	// Status and ContentType are those that the service sent.
	Status      int
	ContentType string
	Body        []byte
	// Router is the name of the router that forwarded the response.
	Router string
}

// Call sends one request to a plain service. The idempotency key names the
// operation: with the same key the fleet executes it at most once, whichever
// router receives it. Call tries the next address only if no connection could be
// made. The error is a *Refusal, ErrOutcomeUnknown, ErrNoRouter or ErrProtocol. If
// the outcome is unknown, a later Call with the same key resolves it.
func (c *Client) Call(ctx context.Context, method, service, path, idempotencyKey string, body []byte) (Reply, error) {
	q := locateQuery{service: service}
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
	resp, err := c.singleUse.Do(req)
	if err != nil {
		if sent.Load() {
			return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
		}
		return Reply{}, false, ErrNoRouter.Wrap(err)
	}
	defer drainAndClose(resp.Body)
	if resp.Header.Get(wire.HeaderRan) != "" && resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, true, decodeRefusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
	}
	if !httpcheck.Framed(resp) {
		return Reply{}, true, ErrOutcomeUnknown.New("the end of the answer may be missing")
	}
	if len(data) > maxBodyBytes {
		return Reply{}, true, ErrOutcomeUnknown.New("answer of more than %d bytes", maxBodyBytes)
	}
	return Reply{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        data,
		Router:      resp.Header.Get(wire.HeaderRouter),
	}, true, nil
}

// serviceRequest returns a request to a plain service and a flag that is set once
// it has a connection. From then on bytes may have been sent, and the outcome is
// unknown until a response reports it.
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
	// Without GetBody, net/http can't resend the body.
	req.GetBody = nil
	c.authorize(req)
	req.Header.Set(wire.HeaderRequestID, uuid.NewString())
	req.Header.Set("Content-Type", "application/json")
	setHeader(req.Header, wire.HeaderIdempotencyKey, key)
	return req, sent, nil
}
