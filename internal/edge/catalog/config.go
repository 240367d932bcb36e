// Package catalog holds the state that a router needs to forward requests: the operators'
// configuration and the engines in service, as typed values and as an immutable Snapshot that
// requests read without locks.
//
// The package neither reads a clock nor does I/O. Package feed fetches its content.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be repeated.
type Kind uint8

const (
	// Idempotent requests may execute more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests execute at most once.
	NonIdempotent
	// Streaming responses are a series of events. Such a request executes at most once, unless the
	// route's streams are resumable.
	Streaming
)

// String returns the kind as logged.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Backend is one of the services that the requests of a route are split over.
type Backend struct {
	Service string
	// Weight is the service's share of the requests, relative to the weights of the route's other
	// services.
	Weight int
}

// Route sends the requests for a host whose path begins with Prefix to one of its backend services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller gets the response. If it is zero, package
	// forward applies its default.
	Timeout time.Duration
	// Objective is the latency objective: the maximum time to a response, or to the first event of
	// a stream.
	Objective time.Duration
	// MaxPause is the objective for streams: the maximum time between two events.
	MaxPause time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	Backends []Backend
	// Attempts is the maximum number of engines that may execute one request.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Prompted routes carry prompts whose prefixes engines cache.
	Prompted bool
	// Resumable streams can continue at another engine after an event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after an engine may have executed it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a pool of interchangeable engines.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one engine accepts from all routers together; zero means
	// no bound.
	MaxConns int
	// Slots is the number of requests that one model engine executes concurrently, unless the
	// engine reports its own number. It is zero for other services, whose engines report it
	// themselves.
	Slots int
	// CacheTokens is the prompt cache size of one model engine, in tokens.
	CacheTokens int
	// ColdStart is the time for which an engine is cold after its start, and ColdRate the requests
	// per second that it can serve while cold. Both are zero for services whose engines start at
	// full capacity.
	ColdStart time.Duration
	ColdRate  float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is the priority of the account's requests; 0 is the most urgent. It takes precedence
	// over the priority of the route.
	Priority int
}

// Limits bounds what a caller may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes. If MaxBody is zero, package forward applies its default.
	// No code reads MaxHeader and the two timeouts: the server in package node uses constants.
	MaxHeader int64
	MaxBody   int64
	// HeaderTimeout bounds the time between the first byte of a request and the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is immutable once NewConfig has
// returned it.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost   map[string][]*Route
	byKey    map[string]*Account
	services map[string]*Service
}

// NewConfig returns c with its lookup indexes. It uses c's slices without copying them.
func NewConfig(c Config) *Config {
	out := &c
	out.byHost = make(map[string][]*Route)
	for i := range out.Routes {
		r := &out.Routes[i]
		host := normalizeHost(r.Host)
		out.byHost[host] = append(out.byHost[host], r)
	}
	for _, routes := range out.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	out.byKey = make(map[string]*Account)
	for i := range out.Accounts {
		for _, key := range out.Accounts[i].Keys {
			out.byKey[key] = &out.Accounts[i]
		}
	}
	out.services = make(map[string]*Service)
	for i := range out.Services {
		out.services[out.Services[i].Name] = &out.Services[i]
	}
	return out
}

// normalizeHost removes the port from a host name and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds the API key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// NeedsKey reports whether requests on the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool {
	return !r.Public && len(c.Accounts) > 0
}

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }
