package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Engine is a stand-in engine and its entry in the VM list.
type Engine struct {
	*engine.Engine
	fleet *Fleet

	mu      sync.Mutex
	vm      platform.VM
	service []Span
	up      []Span
	// attemptIDs are the attempt ids of the messages received, by request id.
	attemptIDs map[string]string
}

// Span is a time interval; a zero To means that it has not ended.
type Span struct{ From, To time.Time }

func (f *Fleet) startEngine(i int) error {
	w := &f.opts.Workload.Engines
	o := engine.Defaults(fmt.Sprintf("engine-%d", i+1), workload.Model)
	o.Version = workload.Version
	o.MaxBatch = w.MaxBatch
	o.MaxQueue = max(o.MaxQueue, w.MaxBatch)
	o.StepTime = w.Step
	o.CacheTokens = w.CacheTokens
	o.PrefillPerMS = w.PrefillPerMS
	e := &Engine{Engine: engine.New(o), fleet: f, attemptIDs: make(map[string]string)}
	address, err := f.serve(e.recordAttempts(e.Handler()))
	if err != nil {
		e.Engine.Close()
		return err
	}
	e.vm = platform.VM{
		Name: o.Name, Address: address, Site: siteOf(i), Pool: workload.EnginePool,
		Kind: platform.KindEngine, State: platform.VMLive,
	}
	f.Engines = append(f.Engines, e)
	e.join()
	return nil
}

// join adds the engine to the VM list with a new VM generation, and begins its
// spans.
func (e *Engine) join() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.service = append(e.service, Span{From: now})
	e.up = append(e.up, Span{From: now})
	e.vm.State = platform.VMLive
	e.vm.Generation++
	e.fleet.putVM(e.vm)
}

// endService ends the span in which the engine is expected to accept requests.
func (e *Engine) endService() {
	e.mu.Lock()
	defer e.mu.Unlock()
	end(e.service)
}

// delist removes the engine from the VM list and ends the span in which its
// cache exists.
func (e *Engine) delist() {
	e.mu.Lock()
	defer e.mu.Unlock()
	end(e.up)
	e.fleet.store.Remove(platform.TableVMs, e.vm.Name)
}

func (e *Engine) markDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vm.State = platform.VMDraining
	e.fleet.putVM(e.vm)
}

func end(spans []Span) {
	if last := len(spans) - 1; last >= 0 && spans[last].To.IsZero() {
		spans[last].To = time.Now()
	}
}

// InService returns the spans in which the engine was expected to accept requests.
func (e *Engine) InService() []Span { return e.spans(&e.service) }

// Up returns the spans in which the engine's cache existed.
func (e *Engine) Up() []Span { return e.spans(&e.up) }

func (e *Engine) spans(list *[]Span) []Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Span(nil), *list...)
}

func (e *Engine) close() {
	e.Engine.Close()
}

// Delimiters of an attempt id. JSON encoding leaves them unescaped.
const (
	attemptIDBegin = "[["
	attemptIDEnd   = "]]"
)

// AttemptID returns a text that identifies one attempt to send a message. The
// message ends with it.
func AttemptID(chat string, turn, attempt int) string {
	return fmt.Sprintf("%s%s/%d/%d%s", attemptIDBegin, chat, turn, attempt, attemptIDEnd)
}

// recordAttempts returns a handler that records the attempt id for each request
// id. The engine's own records contain only request ids, and routers send each
// attempt with a new one.
func (e *Engine) recordAttempts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == wire.PathChat {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				// The router aborted the request while sending it; nothing was executed.
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			e.recordAttempt(r.Header.Get(wire.HeaderRequestID), body)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) recordAttempt(id string, body []byte) {
	from := bytes.LastIndex(body, []byte(attemptIDBegin))
	if from < 0 {
		return
	}
	to := bytes.Index(body[from:], []byte(attemptIDEnd))
	if to < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attemptIDs[id] = string(body[from : from+to+len(attemptIDEnd)])
}

// Executed returns the attempt ids of the messages whose execution began.
func (e *Engine) Executed() map[string]bool {
	runs := e.Stats().Runs
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool, len(runs))
	for id := range runs {
		if attemptID, ok := e.attemptIDs[id]; ok {
			out[attemptID] = true
		}
	}
	return out
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vm.Address
}
