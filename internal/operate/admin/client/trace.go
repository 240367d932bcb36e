package client

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// connTrace records whether a connection was established. Without a connection,
// the request cannot have taken effect.
type connTrace struct {
	connected atomic.Bool
}

// attach returns req with the trace in its context.
func (t *connTrace) attach(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// classify wraps err in ErrNotSent if there was no connection, otherwise in
// ErrNoReply.
func (t *connTrace) classify(err error) error {
	if t.connected.Load() {
		return ErrNoReply.Wrap(err)
	}
	return ErrNotSent.Wrap(err)
}
