// Package callers limits the connections that callers have open to a router.
//
// Callers whose requests are refused retry on new connections and leave the old ones open. In a
// surge of ten times the usual load, routers ran out of file descriptors within seconds. They could
// open no connections to engines or to other routers, so slots that other routers' gates had
// granted them were not released. This lasted for the lifetime of the process, because callers
// continued to retry. The symptom is failed attempts with the cause "too many open files".
//
// For each new connection beyond the limit, the connection that has been idle for longest is
// closed. Connections with requests in progress are never closed. If all connections are busy, new
// ones are closed before a request is read, so that callers know that none was executed.
package callers

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Limit limits the connections of a server. It is safe for concurrent use.
type Limit struct {
	// maxConns returns the maximum number of connections.
	maxConns func() int

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// idle lists the connections without a request, the longest idle first.
	idle   list.List
	counts Counts
}

// Counts are the connection counts of a Limit.
type Counts struct {
	// Open is the number of connections, and Idle the number of those without a request.
	Open int `json:"open"`
	Idle int `json:"idle"`
	// ClosedIdle is the number of idle connections closed for new ones, and ClosedNew the number of
	// new connections closed before a request was read.
	ClosedIdle uint64 `json:"ended_idle"`
	ClosedNew  uint64 `json:"ended_new"`
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	// idle is its element in the list of idle connections, nil while it has a request.
	idle *list.Element
	// closed is set once the Limit has closed the connection.
	closed atomic.Bool
}

// busyExcess is the fraction of the limit by which the number of connections may exceed the limit
// while all of them are busy.
const busyExcess = 0.1

// New returns a Limit of maxConns connections. maxConns may change over time and is called with the
// Limit's mutex held.
func New(maxConns func() int) *Limit {
	return &Limit{maxConns: maxConns, conns: make(map[net.Conn]*conn)}
}

// Attach limits the connections of a server. It must be called before the server serves.
func (l *Limit) Attach(server *http.Server) {
	server.ConnState = l.connState
	server.ConnContext = l.connContext
	server.Handler = l.rejectClosed(server.Handler)
}

// Counts returns the current counts.
func (l *Limit) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.Open, out.Idle = len(l.conns), l.idle.Len()
	return out
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext starts tracking a new connection. It is the server's ConnContext callback.
func (l *Limit) connContext(ctx context.Context, c net.Conn) context.Context {
	added := &conn{Conn: c}
	l.closeConn(l.add(added))
	return context.WithValue(ctx, connKey{}, added)
}

// connState updates the state of a connection. It is the server's ConnState callback.
func (l *Limit) connState(c net.Conn, state http.ConnState) {
	if state != http.StateNew {
		l.closeConn(l.setState(c, state))
	}
}

// closeConn closes a connection unless it is nil. The server then drops it on its own.
func (l *Limit) closeConn(c *conn) {
	if c != nil {
		_ = c.Close()
	}
}

// rejectClosed aborts requests on connections that the Limit closed while the request arrived.
// Their response could not be delivered, so they must not be executed.
func (l *Limit) rejectClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// add tracks a new connection and returns a connection to close for it, which may be the new one,
// or nil.
func (l *Limit) add(added *conn) (toClose *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[added.Conn] = added
	if toClose := l.evictIdle(); toClose != nil {
		return toClose
	}
	if float64(len(l.conns)) <= (1+busyExcess)*float64(l.maxConns()) {
		return nil
	}
	l.counts.ClosedNew++
	return l.markClosed(added)
}

// setState updates the state of a connection and returns a connection to close, or nil.
func (l *Limit) setState(c net.Conn, state http.ConnState) (toClose *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.conns[c]
	if tracked == nil {
		// The Limit has closed this connection and no longer tracks it.
		return nil
	}
	if tracked.idle != nil {
		l.idle.Remove(tracked.idle)
		tracked.idle = nil
	}
	switch state {
	case http.StateIdle:
		tracked.idle = l.idle.PushBack(tracked)
		return l.evictIdle()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
	return nil
}

// evictIdle removes the connection that has been idle for longest if there are too many
// connections, and returns it, or nil. The caller must hold the mutex.
func (l *Limit) evictIdle() (toClose *conn) {
	oldest := l.idle.Front()
	if oldest == nil || len(l.conns) <= l.maxConns() {
		return nil
	}
	c := l.idle.Remove(oldest).(*conn)
	c.idle = nil
	l.counts.ClosedIdle++
	return l.markClosed(c)
}

// markClosed marks a connection as closed, stops tracking it, and returns it for closing. The
// caller must hold the mutex.
func (l *Limit) markClosed(c *conn) *conn {
	c.closed.Store(true)
	delete(l.conns, c.Conn)
	return c
}
