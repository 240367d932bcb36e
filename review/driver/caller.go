package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id, path, key string
	method        string
	timeout       time.Duration
	// header holds further lines of the header.
	header string
	body   string
}

// result is what the caller has seen of it.
type result struct {
	request
	router string
	sent   time.Time
	status int
	seal   string
	body   string
	err    error
}

// events returns the IDs of the events of a stream, in order.
func (r result) events() []string {
	var out []string
	for line := range strings.SplitSeq(r.body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// callers sends requests to the addresses that the directory names.
type callers struct {
	lab *lab
	seq atomic.Int64

	mu         sync.Mutex
	addresses  []string
	resolvedAt time.Time
	results    []result
}

// addressTTL is how long callers keep an answer of the directory.
const addressTTL = time.Second

// address returns the address of a router.
func (c *callers) address() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.resolvedAt) > addressTTL || len(c.addresses) == 0 {
		if list := c.resolve(); len(list) > 0 {
			c.addresses, c.resolvedAt = list, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return "", errors.New("no router answers")
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

func (c *callers) resolve() []string {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.lab.routers)) {
		resp, err := client.Get(fmt.Sprintf("http://%s/damaskrouter/resolve?name=%s&region=%s&zone=%s", c.lab.routers[i].address(portDirectory), host, region, zone))
		if err != nil {
			continue
		}
		var reply struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&reply)
		_ = resp.Body.Close()
		if err == nil && len(reply.Addrs) > 0 {
			return reply.Addrs
		}
	}
	return nil
}

// newID returns the ID of a request.
func (c *callers) newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+c.seq.Add(1)) }

// summary returns a request for a stream. Its prompt shares a part with others.
func (c *callers) summary(key string) request {
	id := c.newID()
	return request{id: id, method: "POST", path: "/summary/" + id[10:], key: key, timeout: 4 * time.Second, body: "summarise " + id,
		header: fmt.Sprintf("Damaskrouter-Model: m\r\nDamaskrouter-Token-Count: 1460,80\r\nDamaskrouter-Prompt-Prefix: 5c1e07a%d:800,%s:660\r\n", c.seq.Load()%8, id[8:])}
}

// status returns an idempotent request.
func (c *callers) status(key string) request {
	id := c.newID()
	return request{id: id, method: "GET", path: "/status/" + id[10:], key: key, timeout: time.Second}
}

// send sends a request on a new connection and records its answer. An empty address leaves the choice to the
// directory.
func (c *callers) send(r request, address string) result {
	out := result{request: r, sent: time.Now()}
	if address == "" {
		address, out.err = c.address()
	}
	out.router = address
	if out.err == nil {
		c.exchange(&out)
	}
	c.lab.note("caller: %s %s with key %s, sent to %s at %s: status %d, %d bytes, %d events, error %v",
		r.method, r.id, r.key, address, c.lab.at(out.sent), out.status, len(out.body), len(out.events()), out.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, out)
	return out
}

func (c *callers) exchange(out *result) {
	conn, err := net.DialTimeout("tcp4", out.router, time.Second)
	if err != nil {
		out.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(out.timeout))
	length := ""
	if out.method != "GET" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(out.body0()))
	}
	out.sent = time.Now()
	_, out.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nDamaskrouter-Request-Id: %s\r\nDamaskrouter-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\n%s%s\r\n%s",
		out.method, out.path, host, out.id, out.timeout.Milliseconds(), out.key, out.header, length, out.body0())
	if out.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		out.err = err
		return
	}
	out.status, out.seal = resp.StatusCode, resp.Header.Get("Damaskrouter-Upstream-Seal")
	body, err := io.ReadAll(resp.Body)
	out.body, out.err = string(body), err
}

// body0 returns the body of the request.
func (r result) body0() string { return r.request.body }

// all returns the results so far.
func (c *callers) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}

// load calls send at a rate until the end.
func load(perSecond float64, end time.Time, send func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for range ticker.C {
		if time.Now().After(end) {
			return
		}
		wg.Go(send)
	}
}
