// Package callers bounds the connections that callers have to a router.
//
// Callers that are refused come back on new connections and leave the old ones open. In a surge of
// ten times the usual load routers ran out of descriptors within seconds: nothing could be opened to
// engines, nor to the other routers, whose gates then held places that nobody gave back. That went
// on for as long as the process lived, since callers went on to come back. How one would notice:
// "too many open files" as the cause of failed attempts.
//
// With the bound the connection that has been idle for longest ends for each new one beyond it.
// Requests under way are never cut. Where all connections are busy new ones are closed unread, which
// tells callers that nothing ran.
package callers

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Limit bounds the connections of a server. It is safe for concurrent use.
type Limit struct {
	// most returns how many connections there may be.
	most func() int

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// idle are the connections without a request, the one that is so for longest first.
	idle   list.List
	counts Counts
}

// Counts are a Limit's connections.
type Counts struct {
	// Open is how many there are, Idle how many of them have no request.
	Open int `json:"open"`
	Idle int `json:"idle"`
	// EndedIdle is how many were closed to make room, EndedNew how many were closed unread.
	EndedIdle uint64 `json:"ended_idle"`
	EndedNew  uint64 `json:"ended_new"`
}

// conn is a connection.
type conn struct {
	net.Conn
	// idle is its place among the idle ones, nil while it has a request.
	idle *list.Element
	// ended connections were closed by the Limit.
	ended atomic.Bool
}

// spare is the part of the bound by which connections that are all busy may exceed it.
const spare = 0.1

// New returns a Limit of as many connections as most returns.
func New(most func() int) *Limit { return &Limit{most: most, conns: make(map[net.Conn]*conn)} }

// Attach bounds the connections of a server that does not serve yet.
func (l *Limit) Attach(server *http.Server) {
	server.ConnState = l.changed
	server.ConnContext = l.context
	server.Handler = l.unlessEnded(server.Handler)
}

// Counts returns how many connections there are.
func (l *Limit) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.Open, out.Idle = len(l.conns), l.idle.Len()
	return out
}

// key is where a connection stands in the contexts of its requests.
type key struct{}

// context takes a new connection.
func (l *Limit) context(ctx context.Context, c net.Conn) context.Context {
	fresh := &conn{Conn: c}
	l.close(l.add(fresh))
	return context.WithValue(ctx, key{}, fresh)
}

// changed follows the states of connections.
func (l *Limit) changed(c net.Conn, state http.ConnState) {
	if state != http.StateNew {
		l.close(l.note(c, state))
	}
}

// close closes a connection that was ended; the server finds it closed and forgets it.
func (l *Limit) close(ended *conn) {
	if ended != nil {
		_ = ended.Close()
	}
}

// unlessEnded serves requests but those of connections that were ended as the request came: its
// answer could not arrive, so that it must not run.
func (l *Limit) unlessEnded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(*conn); ok && c.ended.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// add takes a new connection, and returns one that is to be closed for it: it may be itself.
func (l *Limit) add(fresh *conn) (ended *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[fresh.Conn] = fresh
	if ended := l.makeRoom(); ended != nil {
		return ended
	}
	if float64(len(l.conns)) <= (1+spare)*float64(l.most()) {
		return nil
	}
	l.counts.EndedNew++
	return l.end(fresh)
}

// note follows the state of a connection, and returns one that is to be closed.
func (l *Limit) note(c net.Conn, state http.ConnState) (ended *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.conns[c]
	if known == nil {
		// It was ended.
		return nil
	}
	if known.idle != nil {
		l.idle.Remove(known.idle)
		known.idle = nil
	}
	switch state {
	case http.StateIdle:
		known.idle = l.idle.PushBack(known)
		return l.makeRoom()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
	return nil
}

// makeRoom ends the connection that has been idle for longest if there are too many. The caller
// holds the mutex.
func (l *Limit) makeRoom() (ended *conn) {
	oldest := l.idle.Front()
	if oldest == nil || len(l.conns) <= l.most() {
		return nil
	}
	c := l.idle.Remove(oldest).(*conn)
	c.idle = nil
	l.counts.EndedIdle++
	return l.end(c)
}

// end forgets a connection. The caller holds the mutex.
func (l *Limit) end(c *conn) *conn {
	c.ended.Store(true)
	delete(l.conns, c.Conn)
	return c
}
