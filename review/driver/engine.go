package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Length and pace of the streams: pauses below the 250 ms that the sheets allow.
const (
	streamEvents = 16
	eventPause   = 150 * time.Millisecond
)

// run is one execution of a request.
type run struct {
	engine, id, lastEvent string
	// from is the address from which the request came.
	from         string
	began, ended time.Time
	outcome      string
	faulty       bool
}

// engine is a stand-in for an engine. It serves one request at a time on a connection and drops a request
// when its connection is closed.
type engine struct {
	lab         *lab
	id, service string
	born        int64
	ln          *link
	stop        chan struct{}

	// faultEvery makes each faultEvery-th answer faulty, by fault; zero for none.
	faultEvery int
	fault      func(x *answer)
	// unframed makes all answers have neither a length nor chunks: they end with their connection.
	unframed bool
	stopOnce sync.Once

	mu      sync.Mutex
	crashed bool
	answers int
	runs    []*run
}

// answer is the answer of an engine to one request.
type answer struct {
	e      *engine
	c      net.Conn
	gone   <-chan struct{}
	run    *run
	from   int
	limit  time.Time
	events int
}

func (l *lab) startEngine(id, service string) (*engine, error) {
	ln, err := listenLink()
	if err != nil {
		return nil, err
	}
	e := &engine{lab: l, id: id, service: service, born: time.Now().UnixMilli(), ln: ln, stop: make(chan struct{})}
	l.engines = append(l.engines, e)
	go e.serve()
	e.register()
	go e.beat()
	return e, nil
}

func (e *engine) close() {
	e.stopOnce.Do(func() { close(e.stop) })
	_ = e.ln.Close()
}

// crash ends the engine as if its process was killed: its connections are closed, and nothing listens at its
// address any more. The entry is removed after three check-in intervals of silence.
func (e *engine) crash() {
	e.lab.note("engine %s is killed", e.id)
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	e.stopOnce.Do(func() { close(e.stop) })
	e.ln.kill()
	time.AfterFunc(3*heartbeat, func() { e.lab.store.Remove("servers", e.id) })
}

func (e *engine) register() {
	slots := 64
	if e.service == serviceApp {
		slots = 6
	}
	e.lab.store.Put("servers", e.id, map[string]any{
		"service": e.service, "address": e.ln.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "seq": 0, "born": e.born, "stage": "mixed", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

// beat writes the entry of the engine again and again.
func (e *engine) beat() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
			e.register()
		}
	}
}

func (e *engine) serve() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *engine) serveConn(c net.Conn) {
	defer e.ln.forget(c)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !e.respond(c, r, req) {
			return
		}
	}
}

// respond handles a request and reports whether the connection stays open.
func (e *engine) respond(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Damaskrouter-Request-Id")
	switch {
	case req.URL.Path == "/damaskrouter/report":
		body := fmt.Sprintf(`{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":1,"kvUsed":1,"kvTotal":396444,"handles":0,"born":%d}`, e.born)
		return writef(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case req.URL.Path == "/healthz":
		return writef(c, "HTTP/1.1 200 OK\r\nDamaskrouter-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
	case id == "":
		return writef(c, "HTTP/1.1 400 Bad Request\r\nDamaskrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case req.Header.Get("Damaskrouter-Expect-Instance") != "" && req.Header.Get("Damaskrouter-Expect-Instance") != e.id:
		return writef(c, "HTTP/1.1 421 Misdirected Request\r\nDamaskrouter-Request-Id: %s\r\nDamaskrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	gone, stopWatch := watchClose(c, r)
	defer stopWatch()
	x := e.begin(c, gone, req, id)
	kept := x.serve(strings.HasPrefix(req.URL.Path, "/summary/"))
	if x.run.outcome == "" {
		x.finish("complete")
	}
	return kept
}

// begin records the begin of an execution.
func (e *engine) begin(c net.Conn, gone <-chan struct{}, req *http.Request, id string) *answer {
	last := req.Header.Get("Last-Event-Id")
	from, _ := strconv.Atoi(last)
	limit, _ := strconv.Atoi(req.Header.Get("Damaskrouter-Timeout-Ms"))
	now := time.Now()
	x := &answer{e: e, c: c, gone: gone, from: from, limit: now.Add(time.Duration(limit) * time.Millisecond), events: streamEvents}
	x.run = &run{engine: e.id, id: id, lastEvent: last, from: c.RemoteAddr().String(), began: now}
	e.mu.Lock()
	e.answers++
	x.run.faulty = e.fault != nil && e.faultEvery > 0 && e.answers%e.faultEvery == 0
	e.runs = append(e.runs, x.run)
	e.mu.Unlock()
	e.lab.note("engine %s runs %s, from %s, after event %q, faulty %t", e.id, id, x.run.from, last, x.run.faulty)
	return x
}

// finish records the end of an execution.
func (x *answer) finish(outcome string) {
	x.e.mu.Lock()
	if x.e.crashed {
		outcome = "killed"
	}
	x.run.ended, x.run.outcome = time.Now(), outcome
	x.e.mu.Unlock()
	x.e.lab.note("engine %s ends its run of %s: %s", x.e.id, x.run.id, outcome)
}

// head returns the headers of all answers.
func (x *answer) head() string {
	return fmt.Sprintf("Damaskrouter-Request-Id: %s\r\nDamaskrouter-Upstream-Seal: seal.%s.%s\r\nDamaskrouter-Engine-Load: 1,0,64\r\n", x.run.id, x.e.id, x.run.id)
}

func (x *answer) serve(stream bool) (kept bool) {
	if x.run.faulty {
		x.e.fault(x)
		return false
	}
	if !stream {
		if !x.work(20 * time.Millisecond) {
			return false
		}
		body := "answer to " + x.run.id
		if x.e.unframed {
			writef(x.c, "HTTP/1.1 200 OK\r\n%s\r\n%s", x.head(), body)
			return false
		}
		return writef(x.c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", x.head(), len(body), body)
	}
	if !x.beginStream() || !x.stream(streamEvents, true) {
		return false
	}
	if x.e.unframed {
		return false
	}
	return writef(x.c, "0\r\n\r\n")
}

func (x *answer) beginStream() bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if x.e.unframed {
		framing = ""
	}
	return writef(x.c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", x.head(), framing)
}

// stream works on the events up to a number, and sends them.
func (x *answer) stream(upTo int, send bool) bool {
	for i := x.from + 1; i <= upTo; i++ {
		if !x.work(eventPause) {
			return false
		}
		x.from = i
		if !send {
			continue
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, x.run.id)
		sent := false
		if x.e.unframed {
			sent = writef(x.c, "%s", event)
		} else {
			sent = writef(x.c, "%x\r\n%s\r\n", len(event), event)
		}
		if !sent {
			x.finish("connection closed")
			return false
		}
	}
	return true
}

// work works on the request for a time. It returns false if the connection was closed or the time limit of
// the request has passed.
func (x *answer) work(d time.Duration) bool {
	select {
	case <-x.gone:
		x.finish("connection closed")
		return false
	case <-time.After(min(d, max(time.Until(x.limit), 0))):
	}
	if time.Now().After(x.limit) {
		x.finish("time limit")
		return false
	}
	return true
}

// watchClose returns a channel that is closed once the other end has closed the connection.
func watchClose(c net.Conn, r *bufio.Reader) (gone <-chan struct{}, stop func()) {
	out, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := r.Peek(1); err != nil {
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				close(out)
			}
		}
	}()
	return out, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

func writef(w io.Writer, format string, args ...any) bool {
	_, err := fmt.Fprintf(w, format, args...)
	return err == nil
}
