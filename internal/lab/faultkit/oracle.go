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

// Outcome is the result of one attempt, as received by the caller.
type Outcome struct {
	// Key is the idempotency key of the request.
	Key string
	// Record is the service's response, if a complete one arrived.
	Record *service.Record
	// Refusal is the router's typed refusal, if one arrived.
	Refusal *apierr.Error
	// Err is set if neither arrived.
	Err error
}

// Answered reports whether the attempt received the service's response.
func (o Outcome) Answered() bool { return o.Record != nil }

// NotExecuted reports whether the attempt was refused as not executed.
func (o Outcome) NotExecuted() bool { return o.Refusal != nil && o.Refusal.Ran == apierr.RanNo }

// String describes the outcome for failure messages.
func (o Outcome) String() string {
	switch {
	case o.Answered():
		return fmt.Sprintf("answered %+v", *o.Record)
	case o.Refusal != nil:
		return fmt.Sprintf("refused with code %s, executed: %s", o.Refusal.Code, o.Refusal.Ran)
	}
	return fmt.Sprintf("no response: %v", o.Err)
}

// Chat is the result of one turn of a chat, as received by the caller.
type Chat struct {
	Request wire.ChatRequest
	// Shown is the text that was streamed to the caller.
	Shown string
	// Text is the answer that the client library returned as complete. It is valid if Err is nil.
	Text string
	Err  error
}

// Oracle checks the guarantees by the records of the stand-ins and the results received by callers.
// It uses no state of the routers, which are under test.
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

// Engine returns the engine called name, or nil.
func (o *Oracle) Engine(name string) *engine.Engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engines[name]
}

// Engines returns all engines, in no particular order.
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

// RecordOutcome adds the outcome of an attempt.
func (o *Oracle) RecordOutcome(out Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[out.Key] = append(o.outcomes[out.Key], out)
}

// RecordChat adds the result of a turn.
func (o *Oracle) RecordChat(c Chat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chats = append(o.chats, c)
}

// Executions returns how often the services executed requests with an idempotency key,
// which the router prefixes with the client account.
func (o *Oracle) Executions(key string) int {
	n := 0
	for _, s := range o.allServices() {
		for k, executions := range s.Stats().Executions {
			if k == Account+"/"+key {
				n += executions
			}
		}
	}
	return n
}

// EngineExecutions returns how often the engines began to execute a request.
func (o *Oracle) EngineExecutions() int {
	n := 0
	for _, e := range o.Engines() {
		for _, executions := range e.Stats().Runs {
			n += executions
		}
	}
	return n
}

// Violations lists the violated guarantees of receipts and chats.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	outcomes := maps.Clone(o.outcomes)
	chats := slices.Clone(o.chats)
	o.mu.Unlock()
	var out []string
	for _, key := range slices.Sorted(maps.Keys(outcomes)) {
		out = append(out, o.checkKey(key, outcomes[key])...)
	}
	for _, c := range chats {
		out = append(out, checkChat(c)...)
	}
	return out
}

func (o *Oracle) checkKey(key string, outcomes []Outcome) []string {
	var out []string
	executions := o.Executions(key)
	if executions > 1 {
		out = append(out, fmt.Sprintf("P%d: %s was executed %d times", AtMostOnce, key, executions))
	}
	allNotExecuted := true
	for _, x := range outcomes {
		allNotExecuted = allNotExecuted && x.NotExecuted()
		if x.Answered() && !o.issued(key, *x.Record) {
			out = append(out, fmt.Sprintf("P%d: %s received the answer %+v, which no service issued for it", OwnResponse, key, *x.Record))
		}
	}
	if allNotExecuted && executions > 0 {
		out = append(out, fmt.Sprintf("P%d: every attempt of %s was refused as not executed, but it was executed", NotExecuted, key))
	}
	return out
}

// issued reports whether a service returned this record for the key.
func (o *Oracle) issued(key string, r service.Record) bool {
	for _, s := range o.allServices() {
		for _, x := range s.Stats().Records {
			if x == r && x.Key == Account+"/"+key {
				return true
			}
		}
	}
	return false
}

func checkChat(c Chat) []string {
	want := engine.AnswerText(c.Request)
	var out []string
	if c.Err == nil && c.Text != want {
		out = append(out, fmt.Sprintf("P%d: the answer returned as complete is %q, not %q", OwnResponse, c.Text, want))
	}
	if len(c.Shown) > len(want) || want[:len(c.Shown)] != c.Shown {
		out = append(out, fmt.Sprintf("P%d: the streamed text %q is not a prefix of %q", OwnResponse, c.Shown, want))
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
