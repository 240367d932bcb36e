// Package service is a stand-in for a plain service: it issues receipts, logs
// key handovers and answers look-ups. Its books count every execution, so that
// a test sees a doubled one whatever the router believes.
package service

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options are the settings of a Service.
type Options struct {
	// Name and Incarnation are the service's identity; 0 means incarnation 1.
	Name        string
	Incarnation uint64
	// Deduplicates makes the service answer a repeated Idempotency-Key from
	// memory, without executing again.
	Deduplicates bool
	// Latency is how long an execution takes.
	Latency time.Duration
	// MaxRunning is the limit that the service reports; 0 means 64.
	MaxRunning int
}

const defaultMaxRunning = 64

// Record is the reply to a non-idempotent call.
type Record struct {
	// Number is unique to one execution.
	Number int `json:"number"`
	// Kind is the kind of work, "receipts" or "handovers".
	Kind string `json:"kind"`
	// Key is the Idempotency-Key that came with the call.
	Key string `json:"key"`
}

// Lookup is the reply to an idempotent call.
type Lookup struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
	// State is a deterministic function of kind and id.
	State string `json:"state"`
}

// Books are what the service itself saw.
type Books struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Executions counts, by Idempotency-Key, how often work was executed.
	Executions map[string]int `json:"executions"`
	// Records lists the executions in their order.
	Records []Record `json:"records"`
	// Lookups counts idempotent calls, Refused those refused before
	// executing, Deduplicated those answered from memory.
	Lookups      int `json:"lookups"`
	Refused      int `json:"refused"`
	Deduplicated int `json:"deduplicated"`
	// MaxRunning is the highest number of calls at one time.
	MaxRunning int `json:"max_running"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	opts Options

	mu      sync.Mutex
	books   Books
	byKey   map[string]Record
	running map[string]int
	calls   int
	leaving bool
	faults  []Fault
}

// New returns a Service.
func New(opts Options) *Service {
	opts.Incarnation = max(1, opts.Incarnation)
	if opts.MaxRunning == 0 {
		opts.MaxRunning = defaultMaxRunning
	}
	return &Service{
		opts:    opts,
		books:   Books{Executions: map[string]int{}},
		byKey:   map[string]Record{},
		running: map[string]int{},
	}
}

// Books returns a copy of the service's books.
func (s *Service) Books() Books {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books
	b.Name = s.opts.Name
	b.Incarnation = s.opts.Incarnation
	b.Executions = maps.Clone(b.Executions)
	b.Records = slices.Clone(b.Records)
	return b
}

// Leave makes the service refuse new work.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// execute does the work, once per call or, with Deduplicates, once per key.
func (s *Service) execute(kind, key string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.byKey[key]; ok && s.opts.Deduplicates {
		s.books.Deduplicated++
		return r
	}
	s.books.Executions[key]++
	r := Record{Number: len(s.books.Records) + 1, Kind: kind, Key: key}
	s.books.Records = append(s.books.Records, r)
	if key != "" {
		s.byKey[key] = r
	}
	return r
}

// LookupState returns the state that the service reports for an id.
func LookupState(kind, id string) string {
	return fmt.Sprintf("%s of %s: open", kind, id)
}

// enter counts a call as running; the returned function ends it.
func (s *Service) enter(requestID string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.running[requestID]++
	s.books.MaxRunning = max(s.books.MaxRunning, s.calls)
	return func() { s.exit(requestID) }
}

func (s *Service) exit(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.running[requestID]--
	if s.running[requestID] == 0 {
		delete(s.running, requestID)
	}
}
