package client

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/google/uuid"
)

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
