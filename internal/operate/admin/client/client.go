// Package client calls the administration API.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"github.com/zeebo/errs"
)

var (
	// ErrOptions means that the client can't be made from its options.
	ErrOptions = errs.Class("administration client")
	// ErrNotSent means that no connection could be made; nothing happened.
	ErrNotSent = errs.Class("router not reached")
	// ErrNoReply means that the call was sent and no whole reply came. A
	// change may have taken effect.
	ErrNoReply = errs.Class("no reply from the router")
)

const (
	// callTimeout bounds one call. It is longer than the server's own bound.
	callTimeout = 15 * time.Second
	dialTimeout = 5 * time.Second
	// maxReply bounds a reply, in bytes.
	maxReply = 64 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the admin address of any router: a host and port, or a URL
	// that begins with https:// for TLS.
	Address string
	// Token is the operator's token.
	Token string
	// CA is a PEM file with the authority of the routers' certificates; empty
	// for those of the system.
	CA string
}

// Client calls the administration API of one router.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a Client. Errors: ErrOptions.
func New(o Options) (*Client, error) {
	base, err := baseURL(o.Address)
	if err != nil {
		return nil, err
	}
	roots, err := loadRoots(o.CA)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		// A connection of its own for each call: net/http sends a request
		// again by itself only on a reused one, and a reused one may be dead.
		DisableKeepAlives:   true,
		TLSHandshakeTimeout: dialTimeout,
		TLSClientConfig:     &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13},
	}
	return &Client{
		base:  base,
		token: o.Token,
		http: &http.Client{
			Transport: transport,
			Timeout:   callTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				// The token is for this router only.
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

func baseURL(address string) (string, error) {
	if address == "" {
		return "", ErrOptions.New("no address")
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return "", ErrOptions.New("%q is no address of a router", address)
	}
	return u.Scheme + "://" + u.Host, nil
}

func loadRoots(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrOptions.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, ErrOptions.New("no certificate in %s", file)
	}
	return roots, nil
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is sent as JSON; nil for none.
	Body any
}

// Do makes a call, decodes the reply into out unless that is nil, and returns
// the reply's text. Errors: *api.Failure for a refusal, ErrNotSent, ErrNoReply.
func (c *Client) Do(ctx context.Context, r Request, out any) ([]byte, error) {
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, err
	}
	trace := &sentTrace{}
	res, err := c.http.Do(trace.on(req))
	if err != nil {
		return nil, trace.classify(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return nil, ErrNoReply.Wrap(err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return data, failure(res, data)
	}
	if out == nil || len(data) == 0 {
		return data, nil
	}
	return data, ErrNoReply.Wrap(json.Unmarshal(data, out))
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		data, err := json.Marshal(r.Body)
		if err != nil {
			return nil, ErrOptions.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return nil, ErrOptions.Wrap(err)
	}
	req.URL.RawQuery = r.Query.Encode()
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// failure decodes a refusal. A reply of another shape comes from something
// between here and the router, and proves nothing about the call.
func failure(res *http.Response, data []byte) error {
	var reply api.FailureReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == nil || reply.Error.Code == "" {
		return ErrNoReply.New("status %s and no answer of a router", res.Status)
	}
	reply.Error.Status = res.StatusCode
	return reply.Error
}

// Unsettled reports whether a change that failed with err may have taken
// effect, so that it should be sent again with the same id.
func Unsettled(err error) bool {
	if ErrNoReply.Has(err) {
		return true
	}
	var f *api.Failure
	return errors.As(err, &f) && f.Ran != apierr.RanNo
}
