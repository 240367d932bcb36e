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

// Engine is one stand-in engine and its entry in the VM list.
type Engine struct {
	*engine.Engine
	fleet *Fleet

	mu      sync.Mutex
	vm      platform.VM
	service []Span
	up      []Span
	// marks are the marks of the messages received, by request id.
	marks map[string]string
}

// Span is a time during which something held; a zero To means that it still does.
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
	e := &Engine{Engine: engine.New(o), fleet: f, marks: make(map[string]string)}
	address, err := f.serve(e.record(e.Handler()))
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

// join lists the engine as a VM that was not there before.
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

// withdraw ends the time in which the engine is meant to take work.
func (e *Engine) withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	end(e.service)
}

// gone ends the time in which the engine's cache exists.
func (e *Engine) gone() {
	e.mu.Lock()
	defer e.mu.Unlock()
	end(e.up)
	e.fleet.store.Remove(platform.TableVMs, e.vm.Name)
}

func (e *Engine) listLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vm.State = platform.VMLeaving
	e.fleet.putVM(e.vm)
}

func end(spans []Span) {
	if last := len(spans) - 1; last >= 0 && spans[last].To.IsZero() {
		spans[last].To = time.Now()
	}
}

// Service lists the times in which the engine was meant to take work.
func (e *Engine) Service() []Span { return e.spans(&e.service) }

// Up lists the times in which the engine's cache existed.
func (e *Engine) Up() []Span { return e.spans(&e.up) }

func (e *Engine) spans(list *[]Span) []Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Span(nil), *list...)
}

func (e *Engine) close() {
	e.Engine.Close()
}

// The brackets of a mark; JSON leaves them as they are.
const (
	markBegin = "[["
	markEnd   = "]]"
)

// Mark is a text that identifies one sending of one message. It stands at the
// end of the message.
func Mark(chat string, turn, attempt int) string {
	return fmt.Sprintf("%s%s/%d/%d%s", markBegin, chat, turn, attempt, markEnd)
}

// record notes which mark came with which request id: routers send each attempt
// under an id of their own, and the engine's books know only that one.
func (e *Engine) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == wire.PathChat {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				// The router gave up while it sent; nothing has run.
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			e.note(r.Header.Get(wire.HeaderRequestID), body)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) note(id string, body []byte) {
	from := bytes.LastIndex(body, []byte(markBegin))
	if from < 0 {
		return
	}
	to := bytes.Index(body[from:], []byte(markEnd))
	if to < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marks[id] = string(body[from : from+to+len(markEnd)])
}

// Executed lists the marks of the messages whose execution began.
func (e *Engine) Executed() map[string]bool {
	runs := e.Books().Runs
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool, len(runs))
	for id := range runs {
		if mark, ok := e.marks[id]; ok {
			out[mark] = true
		}
	}
	return out
}

// Address is where the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vm.Address
}
