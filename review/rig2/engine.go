package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for an engine of one service. It keeps its address over its starts.
type engine struct {
	site, address string
	// dropsIdle is after how long without a request the engine drops a connection without notice: what is sent next
	// on it is reset. Zero keeps idle connections.
	dropsIdle time.Duration
	// deadly reports whether a request crashes an engine that begins to run it.
	deadly func(r *http.Request, body string) bool
	// crashed is called after each crash with the body of the request that caused it.
	crashed func(e *engine, body string)
	// work is how long a request runs.
	work time.Duration
	// slots is how many requests the engine runs at once.
	slots int
	// published is the address in the entry; empty if it is that of the engine.
	published string
	// closes is set if the engine's connections are closed at its end, as a kernel does for a process that has read everything;
	// otherwise they are reset.
	closes bool
	// events and interval are the length of a stream.
	events   int
	interval time.Duration
	// unframed reports whether the next stream has neither a length nor chunks; nil: none has.
	unframed func() bool

	mu    sync.Mutex
	id    string
	ln    net.Listener
	conns map[net.Conn]bool
	born  int64
	runs  []execution
}

// execution is one request that an engine has begun to run.
type execution struct {
	at                  time.Time
	id, key, body, path string
	account             string
}

// newEngine starts an engine on a free loopback port.
func newEngine(id, site string) (*engine, error) {
	e := &engine{id: id, site: site, address: "127.0.0.1:0", work: 20 * time.Millisecond, slots: 8, events: 5, interval: 5 * time.Millisecond, conns: make(map[net.Conn]bool)}
	return e, e.start()
}

// start begins a new start, at the address of the last one.
func (e *engine) start() error {
	ln, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ln, e.address, e.born = ln, ln.Addr().String(), time.Now().UnixMilli()
	go e.serve(ln)
	return nil
}

// rename gives the next start another ID.
func (e *engine) rename(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
}

func (e *engine) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// end ends the start as a crash of its process does.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.ln.Close()
	for c := range e.conns {
		if !e.closes {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// entry returns the entry of the current start.
func (e *engine) entry(service, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if e.published != "" {
		address = e.published
	}
	return map[string]any{
		"service": service, "address": address, "zone": e.site, "version": "v1", "slots": e.slots, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": e.born,
	}
}

func (e *engine) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

func (e *engine) serveConn(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		idleSince := time.Now()
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if !first && e.dropsIdle > 0 && time.Since(idleSince) > e.dropsIdle {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.respond(c, r, string(body)) {
			return
		}
	}
}

// respond serves a request and reports whether the connection stays open.
func (e *engine) respond(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Damaskrouter-Request-Id")
	head := "Damaskrouter-Request-Id: " + id + "\r\n"
	switch {
	case r.URL.Path == "/damaskrouter/report":
		e.mu.Lock()
		text := fmt.Sprintf(`{"stage":"mixed","born":%d}`, e.born)
		e.mu.Unlock()
		return writef(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	case r.Header.Get("Damaskrouter-Expect-Instance") != "" && r.Header.Get("Damaskrouter-Expect-Instance") != e.currentID():
		return writef(c, "HTTP/1.1 421 Misdirected Request\r\n%sDamaskrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
	}
	e.mu.Lock()
	e.runs = append(e.runs, execution{
		at: time.Now(), id: id, key: r.Header.Get("Authorization"), body: body, path: r.URL.Path, account: r.Header.Get("Damaskrouter-Tenant"),
	})
	e.mu.Unlock()
	time.Sleep(e.work)
	if e.deadly != nil && e.deadly(r, body) {
		e.end()
		if e.crashed != nil {
			e.crashed(e, body)
		}
		return false
	}
	head += "Damaskrouter-Upstream-Seal: seal-" + e.currentID() + fmt.Sprintf("\r\nDamaskrouter-Engine-Load: 1,0,%d\r\n", e.slots)
	if strings.Contains(r.URL.Path, "stream") {
		return e.stream(c, head)
	}
	text := "the whole answer to " + id
	return writef(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// stream sends a stream of events, and reports whether the connection stays open.
func (e *engine) stream(c net.Conn, head string) bool {
	head = "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n"
	unframed := e.unframed != nil && e.unframed()
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if !writef(c, "%s", head) {
		return false
	}
	for i := range e.events {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !writef(c, "%s", event) {
			return false
		}
		time.Sleep(e.interval)
	}
	return !unframed && writef(c, "0\r\n\r\n")
}

// executions returns the requests that the engine has begun to run, over all its starts.
func (e *engine) executions() []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

func writef(w io.Writer, format string, args ...any) bool {
	_, err := fmt.Fprintf(w, format, args...)
	return err == nil
}

// ran reports whether one of the engines has begun to run a request.
func ran(engines []*engine, requestID string) bool {
	return slices.ContainsFunc(engines, func(e *engine) bool {
		return slices.ContainsFunc(e.executions(), func(x execution) bool { return x.id == requestID })
	})
}

// addEngines starts engines and writes their entries.
func (f *fleet) addEngines(n int) ([]*engine, error) {
	var out []*engine
	for i := range n {
		e, err := newEngine(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("zone-%c", 'a'+i%3))
		if err != nil {
			return nil, err
		}
		f.register(e)
		out = append(out, e)
	}
	return out, nil
}

// register writes the entry of an engine's current start.
func (f *fleet) register(e *engine) { f.store.Put("servers", e.currentID(), e.entry("svc", "ready")) }
