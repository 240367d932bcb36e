// Package httpcheck rejects responses that net/http accepts although they are none in HTTP/1.1: with a status such as 000,
// or a header whose names hold a blank. A peer in trouble sends such bytes; what net/http makes of them, such as the length
// of the body, is not what the peer meant.
package httpcheck

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Error means that bytes are no response in HTTP/1.1.
var Error = errs.Class("no HTTP response")

// maxQuoted limits what an error quotes of the bytes.
const maxQuoted = 64

// Statuses below minStatus and from endStatus on are not defined by HTTP.
const (
	minStatus = 100
	endStatus = 600
)

// Head checks the lines of a response's header in their order. The zero value is ready for the first one.
type Head struct {
	begun, http10, length, encoded bool
}

// Line checks the next line, without its end. It returns done after the empty line that ends the header. Errors: Error.
func (h *Head) Line(line []byte) (done bool, err error) {
	if !h.begun {
		h.begun = true
		return false, h.statusLine(line)
	}
	if len(line) == 0 {
		return true, h.framing()
	}
	return false, h.field(line)
}

// statusLine checks a line such as "HTTP/1.1 200 OK".
func (h *Head) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	h.http10 = string(version) == "HTTP/1.0"
	if !h.http10 && string(version) != "HTTP/1.1" || !validStatus(code) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return Error.New("status line %q", quoted(line))
	}
	return nil
}

// validStatus reports whether a status that a router can get is written as three digits. It asks no peer to switch
// protocols.
func validStatus(code []byte) bool {
	return len(code) == 3 && code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2]) && string(code) != "101"
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// field checks a line of the header. A line that continues the one before it is not valid any more.
func (h *Head) field(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return Error.New("header line %q", quoted(line))
	}
	h.length = h.length || strings.EqualFold(string(name), "Content-Length")
	h.encoded = h.encoded || strings.EqualFold(string(name), "Transfer-Encoding")
	return nil
}

// framing checks that the header states in one way at most where the body ends.
func (h *Head) framing() error {
	if h.encoded && (h.length || h.http10) {
		return Error.New("the end of the body is ambiguous")
	}
	return nil
}

// quoted returns the beginning of a line.
func quoted(line []byte) []byte { return line[:min(len(line), maxQuoted)] }

// Response checks the header of a response that net/http has read. Errors: Error.
func Response(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode >= endStatus {
		return Error.New("status %.64q", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return Error.New("header field %.64q", name)
		}
	}
	return nil
}

// Framed reports whether a response states where its body ends. Otherwise the body ends with the connection, and one that
// was cut short looks complete.
func Framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Uncompressed
}

// Transport returns a transport that fails in place of returning a response that is none.
func Transport(t http.RoundTripper) http.RoundTripper { return transport{t} }

type transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Response(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t transport) CloseIdleConnections() {
	if idler, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		idler.CloseIdleConnections()
	}
}
