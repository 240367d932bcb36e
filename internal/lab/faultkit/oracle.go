package faultkit

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Outcome is what a caller got for one attempt.
type Outcome struct {
	// Key is the idempotency key of a receipt.
	Key string
	// Record is the service's answer, if a whole one came.
	Record *service.Record
	// Refusal is the router's typed refusal, if one came.
	Refusal *apierr.Error
	// Err is set where neither came.
	Err error
}

// Answered reports whether the attempt got the service's answer.
func (o Outcome) Answered() bool { return o.Record != nil }

// NotRun reports whether the attempt was refused as not run.
func (o Outcome) NotRun() bool { return o.Refusal != nil && o.Refusal.Ran == apierr.RanNo }

// String describes the outcome for failures.
func (o Outcome) String() string {
	switch {
	case o.Answered():
		return fmt.Sprintf("answered %+v", *o.Record)
	case o.Refusal != nil:
		return fmt.Sprintf("refused %s, ran %s", o.Refusal.Code, o.Refusal.Ran)
	}
	return fmt.Sprintf("no answer: %v", o.Err)
}

// Chat is what a caller got for one turn of a chat.
type Chat struct {
	Request wire.ChatRequest
	// Shown is what reached the caller piece by piece.
	Shown string
	// Text is the answer that was given as whole; it counts if Err is nil.
	Text string
	Err  error
}

// Oracle judges the promises by the stand-ins' books and by what callers got.
// It knows nothing of the routers' own books.
type Oracle struct {
	mu       sync.Mutex
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	outcomes map[string][]Outcome
	chats    []Chat
}

func newOracle() *Oracle {
	return &Oracle{
		engines:  make(map[string]*engine.Engine),
		services: make(map[string]*service.Service),
		outcomes: make(map[string][]Outcome),
	}
}

// Engine returns an engine by name.
func (o *Oracle) Engine(name string) *engine.Engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engines[name]
}

// Engines returns all engines.
func (o *Oracle) Engines() []*engine.Engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.engines))
}

func (o *Oracle) allServices() []*service.Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.services))
}

func (o *Oracle) addEngine(name string, e *engine.Engine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines[name] = e
}

func (o *Oracle) addService(name string, s *service.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services[name] = s
}

// Note keeps the outcome of an attempt.
func (o *Oracle) Note(out Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[out.Key] = append(o.outcomes[out.Key], out)
}

// NoteChat keeps what a caller got for a turn.
func (o *Oracle) NoteChat(c Chat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chats = append(o.chats, c)
}

// Runs is how often the services executed work of an idempotency key, which
// the router prefixes with the client account.
func (o *Oracle) Runs(key string) int {
	n := 0
	for _, s := range o.allServices() {
		for k, runs := range s.Books().Executions {
			if k == Account+"/"+key {
				n += runs
			}
		}
	}
	return n
}

// EngineRuns is how often the engines began to execute anything.
func (o *Oracle) EngineRuns() int {
	n := 0
	for _, e := range o.Engines() {
		for _, runs := range e.Books().Runs {
			n += runs
		}
	}
	return n
}

// Violations lists the promises that did not hold for receipts and chats.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	outcomes := maps.Clone(o.outcomes)
	chats := slices.Clone(o.chats)
	o.mu.Unlock()
	var out []string
	for _, key := range slices.Sorted(maps.Keys(outcomes)) {
		out = append(out, o.judgeKey(key, outcomes[key])...)
	}
	for _, c := range chats {
		out = append(out, judgeChat(c)...)
	}
	return out
}

func (o *Oracle) judgeKey(key string, outcomes []Outcome) []string {
	var out []string
	runs := o.Runs(key)
	if runs > 1 {
		out = append(out, fmt.Sprintf("P%d: %s ran %d times", AtMostOnce, key, runs))
	}
	allNotRun := true
	for _, x := range outcomes {
		allNotRun = allNotRun && x.NotRun()
		if x.Answered() && !o.issued(key, *x.Record) {
			out = append(out, fmt.Sprintf("P%d: %s got the foreign answer %+v", OwnAnswer, key, *x.Record))
		}
	}
	if allNotRun && runs > 0 {
		out = append(out, fmt.Sprintf("P%d: every attempt of %s was refused as not run, and it ran", DidNotRun, key))
	}
	return out
}

// issued reports whether a service gave this record for the key.
func (o *Oracle) issued(key string, r service.Record) bool {
	for _, s := range o.allServices() {
		for _, x := range s.Books().Records {
			if x == r && x.Key == Account+"/"+key {
				return true
			}
		}
	}
	return false
}

func judgeChat(c Chat) []string {
	want := engine.AnswerText(c.Request)
	var out []string
	if c.Err == nil && c.Text != want {
		out = append(out, fmt.Sprintf("P%d: answer given as whole is not the caller's own: %q, not %q", OwnAnswer, c.Text, want))
	}
	if len(c.Shown) > len(want) || want[:len(c.Shown)] != c.Shown {
		out = append(out, fmt.Sprintf("P%d: shown %q is no beginning of %q", OwnAnswer, c.Shown, want))
	}
	return out
}

func decodeRecord(body []byte) (*service.Record, error) {
	var r service.Record
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
