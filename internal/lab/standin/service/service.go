// Package service is a stand-in for a service: it issues receipts, logs key
// handovers and responds to look-ups. Its stats count every execution, so that
// tests detect a double execution independently of the router.
package service

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options configures a Service.
type Options struct {
	// Name and Incarnation are the service's identity; 0 means incarnation 1.
	Name        string
	Incarnation uint64
	// Deduplicates makes the service return the stored response for a repeated
	// Idempotency-Key, without executing the call again.
	Deduplicates bool
	// Latency is the duration of an execution.
	Latency time.Duration
	// MaxRunning is the limit in the status report; 0 means 64.
	MaxRunning int
}

const defaultMaxRunning = 64

// Record is the reply to a non-idempotent call.
type Record struct {
	// Number is unique to one execution.
	Number int `json:"number"`
	// Kind is the kind of work, "receipts" or "handovers".
	Kind string `json:"kind"`
	// Key is the Idempotency-Key of the call.
	Key string `json:"key"`
}

// Lookup is the reply to an idempotent call.
type Lookup struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
	// State is a function of kind and id.
	State string `json:"state"`
}

// Stats are the service's own counters.
type Stats struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Executions counts executions by Idempotency-Key.
	Executions map[string]int `json:"executions"`
	// Records lists the executions in order.
	Records []Record `json:"records"`
	// Lookups counts idempotent calls, Refused calls refused before execution,
	// Deduplicated calls for which a stored response was returned.
	Lookups      int `json:"lookups"`
	Refused      int `json:"refused"`
	Deduplicated int `json:"deduplicated"`
	// MaxRunning is the maximum number of concurrent calls.
	MaxRunning int `json:"max_running"`
}

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	opts Options

	mu       sync.Mutex
	stats    Stats
	byKey    map[string]Record
	running  map[string]int
	calls    int
	draining bool
	faults   []Fault
}

// New returns a Service.
func New(opts Options) *Service {
	opts.Incarnation = max(1, opts.Incarnation)
	if opts.MaxRunning == 0 {
		opts.MaxRunning = defaultMaxRunning
	}
	return &Service{
		opts:    opts,
		stats:   Stats{Executions: map[string]int{}},
		byKey:   map[string]Record{},
		running: map[string]int{},
	}
}

// Stats returns a copy of the service's stats.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Name = s.opts.Name
	out.Incarnation = s.opts.Incarnation
	out.Executions = maps.Clone(out.Executions)
	out.Records = slices.Clone(out.Records)
	return out
}

// Drain starts the drain: the service refuses new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// execute executes the call, or returns the stored response for its key if Deduplicates is set.
func (s *Service) execute(kind, key string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.byKey[key]; ok && s.opts.Deduplicates {
		s.stats.Deduplicated++
		return r
	}
	s.stats.Executions[key]++
	r := Record{Number: len(s.stats.Records) + 1, Kind: kind, Key: key}
	s.stats.Records = append(s.stats.Records, r)
	if key != "" {
		s.byKey[key] = r
	}
	return r
}

// LookupState returns the state that the service reports for an id.
func LookupState(kind, id string) string {
	return fmt.Sprintf("%s of %s: open", kind, id)
}

// beginCall counts a call as running. The returned function ends it.
func (s *Service) beginCall(requestID string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.running[requestID]++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.calls)
	return func() { s.endCall(requestID) }
}

func (s *Service) endCall(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.running[requestID]--
	if s.running[requestID] == 0 {
		delete(s.running, requestID)
	}
}
