// Package client is the callers' library for a damaskrouter fleet. It requests
// the router address to use from the fleet, caches the reply for its TTL, tries
// the alternate addresses when the first one fails, and resumes a streamed
// response on another router when a connection breaks or stalls.
package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/httpcheck"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/zeebo/errs"
)

// Errors of the client besides *Refusal.
var (
	// ErrNoRouter means that no known address could be used. Nothing was sent
	// besides the locate requests.
	ErrNoRouter = errs.Class("client: no router reachable")
	// ErrOutcomeUnknown means that a request was sent and no complete response
	// was received; it may have been executed.
	ErrOutcomeUnknown = errs.Class("client: outcome unknown")
	// ErrProtocol means that a response did not follow the documented format,
	// or that a request could not be built.
	ErrProtocol = errs.Class("client: protocol")
)

// Refusal is a router's typed error. It reports whether the request was
// executed and when to retry.
type Refusal = apierr.Error

// Options configures a Client.
type Options struct {
	// Seeds are the addresses, as host:port, of some routers. At least one is
	// required.
	Seeds []string
	// Key is the client account's API key.
	Key string
	// Scheme is "http" or "https". Default "http".
	Scheme string
	// ConnectTimeout bounds one locate request to one address. Default 2s.
	ConnectTimeout time.Duration
	// IdleGap is how long a stream may go without a chunk or a heartbeat before
	// the client resumes it on another router. Default 15s.
	IdleGap time.Duration
	// Attempts bounds the addresses tried for one request. Default 4.
	Attempts int
	// Transport replaces the HTTP transport, for example for TLS settings. New
	// sets its connection pool limits.
	Transport *http.Transport
}

// Client sends requests to one fleet as one client account. It is safe for
// concurrent use.
type Client struct {
	opts      Options
	http      *http.Client
	singleUse *http.Client

	mu        sync.Mutex
	locations map[string]cachedLocation
}

type cachedLocation struct {
	addresses []string
	until     time.Time
}

const (
	defaultConnectTimeout = 2 * time.Second
	defaultIdleGap        = 15 * time.Second
	defaultAttempts       = 4
	// maxLocations bounds the number of cached locate replies.
	maxLocations = 10000
	// maxBodyBytes bounds the size of a response body that is not streamed.
	maxBodyBytes = 16 << 20
	// idleConnTimeout closes pooled connections before a middlebox on the path
	// drops their state.
	idleConnTimeout = 20 * time.Second
)

// New returns a Client with the defaults filled in. It returns ErrNoRouter if
// there are no seeds.
func New(o Options) (*Client, error) {
	if len(o.Seeds) == 0 {
		return nil, ErrNoRouter.New("no seeds given")
	}
	o.fillDefaults()
	t := o.Transport
	if t == nil {
		t = &http.Transport{}
	}
	t.IdleConnTimeout = idleConnTimeout
	t.MaxIdleConnsPerHost = 64
	// The server may have closed a pooled connection, and net/http then resends
	// some requests by itself. Requests that must not be repeated each use a
	// new connection.
	singleUse := t.Clone()
	singleUse.DisableKeepAlives = true
	return &Client{
		opts:      o,
		http:      &http.Client{Transport: httpcheck.Transport(t)},
		singleUse: &http.Client{Transport: httpcheck.Transport(singleUse)},
		locations: make(map[string]cachedLocation),
	}, nil
}

func (o *Options) fillDefaults() {
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdleGap <= 0 {
		o.IdleGap = defaultIdleGap
	}
	if o.Attempts <= 0 {
		o.Attempts = defaultAttempts
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Locate returns the router addresses to use for a chat, best first. An empty
// chat selects any lightly loaded router. If no address returns a usable reply,
// it returns ErrNoRouter, which wraps the error of the last address.
func (c *Client) Locate(ctx context.Context, chat, model string) ([]string, error) {
	return c.locate(ctx, locateQuery{chat: chat, model: model})
}

// locateQuery holds the parameters of a locate request.
type locateQuery struct {
	chat, model, service string
	// hint is the opaque token that names where the chat's prefix is cached.
	hint string
}

// cacheKey returns the key of the cached reply. The hint is not part of it.
func (q locateQuery) cacheKey() string { return q.chat + "\x00" + q.model + "\x00" + q.service }

func (c *Client) locate(ctx context.Context, q locateQuery) ([]string, error) {
	key := q.cacheKey()
	if addrs, ok := c.cachedAddresses(key); ok {
		return addrs, nil
	}
	var last error
	for _, seed := range c.locateCandidates() {
		loc, err := c.locateAt(ctx, seed, q)
		if err != nil {
			last = err
			continue
		}
		return c.cacheLocation(key, loc), nil
	}
	return nil, ErrNoRouter.Wrap(last)
}

// Forget drops the cached addresses of a chat, so that the next request locates
// it again.
func (c *Client) Forget(chat, model string) {
	c.forget(locateQuery{chat: chat, model: model})
}

func (c *Client) forget(q locateQuery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.locations, q.cacheKey())
}

func setParam(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}

func (c *Client) cachedAddresses(key string) ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.locations[key]
	if !ok || time.Now().After(k.until) {
		return nil, false
	}
	return k.addresses, true
}

func (c *Client) cacheLocation(key string, loc wire.LocateResponse) []string {
	addrs := append([]string{loc.Address}, loc.Alternates...)
	ttl := time.Duration(loc.TTLMS) * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.locations) >= maxLocations {
		clear(c.locations)
	}
	c.locations[key] = cachedLocation{addresses: addrs, until: time.Now().Add(ttl)}
	return addrs
}

// locateCandidates returns the addresses to send locate requests to: the seeds,
// then addresses from cached replies.
func (c *Client) locateCandidates() []string {
	seen := make(map[string]bool, len(c.opts.Seeds))
	out := make([]string, 0, len(c.opts.Seeds))
	add := func(a string) {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, s := range c.opts.Seeds {
		add(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.locations {
		for _, a := range k.addresses {
			add(a)
		}
		if len(out) >= 2*len(c.opts.Seeds)+c.opts.Attempts {
			break
		}
	}
	return out
}

func (c *Client) locateAt(ctx context.Context, addr string, q locateQuery) (wire.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	values := url.Values{}
	setParam(values, "chat", q.chat)
	setParam(values, "model", q.model)
	setParam(values, "service", q.service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(addr, wire.PathLocate)+"?"+values.Encode(), nil)
	if err != nil {
		return wire.LocateResponse{}, ErrProtocol.Wrap(err)
	}
	c.authorize(req)
	setHeader(req.Header, wire.HeaderPrefixHint, q.hint)
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.LocateResponse{}, ErrNoRouter.Wrap(err)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return wire.LocateResponse{}, decodeRefusal(resp)
	}
	var loc wire.LocateResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&loc); err != nil {
		return wire.LocateResponse{}, ErrProtocol.Wrap(err)
	}
	if loc.Address == "" {
		return wire.LocateResponse{}, ErrProtocol.New("locate answer without an address")
	}
	return loc, nil
}

func (c *Client) url(addr, path string) string {
	return c.opts.Scheme + "://" + addr + path
}

func (c *Client) authorize(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
}

// decodeRefusal decodes a router's typed error. Any other body proves nothing
// about execution, so it yields ErrOutcomeUnknown.
func decodeRefusal(resp *http.Response) error {
	var body struct {
		Error *apierr.Error `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return ErrOutcomeUnknown.New("status %d without a typed error", resp.StatusCode)
	}
	e := body.Error
	e.Status = resp.StatusCode
	e.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	if e.RetryAfter == 0 {
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			e.RetryAfter = time.Duration(s) * time.Second
		}
	}
	return e
}

// drainAndClose reads a short remainder of the body, so that the connection can
// be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
