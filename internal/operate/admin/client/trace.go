package client

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentTrace notes whether a connection was made. Without one, the call
// provably had no effect.
type sentTrace struct {
	connected atomic.Bool
}

// on returns the request with the trace.
func (t *sentTrace) on(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// classify sorts the error of a call by what it proves.
func (t *sentTrace) classify(err error) error {
	if t.connected.Load() {
		return ErrNoReply.Wrap(err)
	}
	return ErrNotSent.Wrap(err)
}
