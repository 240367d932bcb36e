// Package client is a client of the administration API.
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

	"damaskrouter.example/damaskrouter/internal/base/httpcheck"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"github.com/zeebo/errs"
)

var (
	// ErrOptions reports invalid options or an invalid request.
	ErrOptions = errs.Class("administration client")
	// ErrNotSent means that no connection was established, so the request had no
	// effect.
	ErrNotSent = errs.Class("router not reached")
	// ErrNoReply means that the request may have been sent, but no complete
	// response was received. A change may have taken effect.
	ErrNoReply = errs.Class("no reply from the router")
)

const (
	// callTimeout limits a request. It is longer than the server's default limit.
	callTimeout = 15 * time.Second
	dialTimeout = 5 * time.Second
	// maxReplyBytes limits the size of a response body.
	maxReplyBytes = 64 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the admin address of any router: a host and port, or an
	// https:// URL for TLS.
	Address string
	// Token is the operator's token.
	Token string
	// CA is the path of a PEM file with the authority of the routers'
	// certificates; empty for the system's authorities.
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
		// Each request uses a new connection: net/http retries a request on its
		// own only on a reused connection, and a reused one may be dead.
		DisableKeepAlives:   true,
		TLSHandshakeTimeout: dialTimeout,
		TLSClientConfig:     &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13},
	}
	return &Client{
		base:  base,
		token: o.Token,
		http: &http.Client{
			Transport: httpcheck.Transport(transport),
			Timeout:   callTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				// The token must not be sent to another host.
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

// Request is a request to the API.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is sent as JSON; nil means no body.
	Body any
}

// Do sends a request, decodes the response into out unless out is nil, and
// returns the response body. Errors: *api.Failure for an error response,
// ErrOptions, ErrNotSent, ErrNoReply.
func (c *Client) Do(ctx context.Context, r Request, out any) ([]byte, error) {
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, err
	}
	trace := &connTrace{}
	res, err := c.http.Do(trace.attach(req))
	if err != nil {
		return nil, trace.classify(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return nil, ErrNoReply.Wrap(err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return data, decodeFailure(res, data)
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

// decodeFailure decodes an error response. A response in another format comes
// from an intermediary, and it does not show whether the request took effect.
func decodeFailure(res *http.Response, data []byte) error {
	var reply api.FailureReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == nil || reply.Error.Code == "" {
		return ErrNoReply.New("status %s and no answer of a router", res.Status)
	}
	reply.Error.Status = res.StatusCode
	return reply.Error
}

// MayHaveTakenEffect reports whether a change that failed with err may have taken effect.
// It should then be sent again with the same id.
func MayHaveTakenEffect(err error) bool {
	if ErrNoReply.Has(err) {
		return true
	}
	var f *api.Failure
	return errors.As(err, &f) && f.Ran != apierr.RanNo
}
