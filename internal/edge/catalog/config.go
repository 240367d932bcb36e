// Package catalog holds what a router must know to forward a request: the
// operator's configuration and the engines in service, as typed values and as
// an immutable Snapshot that traffic reads without locks.
//
// The package is pure. It neither reads a clock nor does I/O; who fetches its
// content is package feed.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// Idempotent requests may execute more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests execute at most once.
	NonIdempotent
	// Streaming answers are a series of events. Such a request executes at
	// most once, unless the route says that its streams can be resumed.
	Streaming
)

// String returns the label of the kind in logs.
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

// Backend is one of the services that a route is split over.
type Backend struct {
	Service string
	// Weight is this service's share of the route, relative to the others.
	Weight int
}

// Route sends the requests of a host whose path begins with Prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; zero means
	// that only the caller's own limit counts.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is
	// still on time.
	MaxPause time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Backends []Backend
	// Attempts bounds how many engines may execute one request.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Prompted routes carry prompts whose prefix engines cache.
	Prompted bool
	// Resumable streams can go on at another engine after an event.
	Resumable bool
}

// Repeatable says whether a request may be sent again after an engine may have
// executed it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a pool of equal engines.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one engine accepts from all
	// routers together; zero means no bound.
	MaxConns int
	// Slots is how many requests one model engine executes at once; zero for
	// plain services, whose engines say it themselves.
	Slots int
	// CacheTokens is the memory for prompts of one model engine, in tokens.
	CacheTokens int
	// ColdStart is how long an engine is cold after its start, and ColdRate how many
	// requests a second it bears meanwhile; zero for services whose engines bear any.
	ColdStart time.Duration
	ColdRate  float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority ranks accounts before the routes' own priority; 0 is the most
	// urgent.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes; zero means no bound.
	MaxHeader int64
	MaxBody   int64
	// HeaderTimeout bounds the time between the first byte of a request and
	// the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the pause between two requests on a connection.
	IdleTimeout time.Duration
}

// Config is one version of the operator's configuration. It is immutable once
// NewConfig has returned it.
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

// NewConfig indexes a configuration. It keeps c's slices.
func NewConfig(c Config) *Config {
	out := &c
	out.byHost = make(map[string][]*Route)
	for i := range out.Routes {
		r := &out.Routes[i]
		host := normalHost(r.Host)
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

// normalHost drops the port and the case of a host name.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds the API key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// NeedsKey says whether requests on the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool {
	return !r.Public && len(c.Accounts) > 0
}

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }
