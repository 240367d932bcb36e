package engine

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	opts Options
	wake chan struct{}
	stop chan struct{}
	once sync.Once

	mu          sync.Mutex
	incarnation uint64
	down        bool
	crashed     chan struct{}
	draining    bool
	drained     chan struct{}
	isDrained   bool
	model       string
	version     string
	adapters    []string
	role        string
	queue       [][]*job
	queued      int
	batch       []*job
	jobs        map[string]*job
	ended       []*job
	cache       *prefixCache
	events      *eventLog
	recorder    *recorder
	faults      []Fault
}

// New returns a running engine. Close stops its goroutine.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:        opts,
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		incarnation: opts.Incarnation,
		drained:     make(chan struct{}),
		model:       opts.Model,
		version:     opts.Version,
		adapters:    opts.Adapters,
		recorder:    newRecorder(opts),
	}
	e.reset()
	go e.loop()
	return e
}

// reset sets the state of a newly started process.
func (e *Engine) reset() {
	e.crashed = make(chan struct{})
	e.queue = make([][]*job, len(priorityNames))
	e.queued = 0
	e.batch = nil
	e.jobs = map[string]*job{}
	e.ended = nil
	e.events = newEventLog(e.opts)
	e.cache = newPrefixCache(e.opts.CacheTokens, e.events.add)
}

// Close stops the engine and aborts its connections.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stop) })
	e.Crash()
}

// Drain starts the drain: the engine refuses new requests and finishes the others.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.checkDrained()
}

// Drained returns a channel that is closed when the engine is draining and has
// no requests left.
func (e *Engine) Drained() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drained
}

func (e *Engine) checkDrained() {
	if e.draining && !e.isDrained && e.queued+len(e.batch) == 0 {
		e.isDrained = true
		close(e.drained)
	}
}

// Crash ends all requests and aborts all connections. New connections are
// aborted until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.recorder.stats.Lost += e.queued + len(e.batch)
	e.recorder.adjust(-e.recorder.requests, -e.recorder.weight)
	close(e.crashed)
	for _, j := range e.jobs {
		j.notify()
	}
	e.queue = make([][]*job, len(priorityNames))
	e.queued = 0
	e.batch = nil
	e.ended = nil
	e.jobs = map[string]*job{}
}

// Restart crashes the engine and starts it with a new incarnation, an empty
// cache and its initial model.
func (e *Engine) Restart() {
	e.Crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.incarnation++
	e.draining = false
	e.isDrained = false
	e.drained = make(chan struct{})
	e.model = e.opts.Model
	e.version = e.opts.Version
	e.adapters = e.opts.Adapters
	e.role = ""
	e.reset()
}

// Stats returns a copy of the engine's stats.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.recorder.copy()
	s.Incarnation = e.incarnation
	return s
}

// Status returns the engine's status report. The load is that of ReportLag ago,
// all other fields are current.
func (e *Engine) Status() wire.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := wire.EngineStatus{
		Name:         e.opts.Name,
		Incarnation:  e.incarnation,
		Model:        e.model,
		Version:      e.version,
		Adapters:     e.adapters,
		Role:         e.role,
		Leaving:      e.draining,
		MaxBatch:     e.opts.MaxBatch,
		MaxQueue:     e.opts.MaxQueue,
		CacheTokens:  e.opts.CacheTokens,
		CachedTokens: e.cache.used,
		ReportAgeMS:  e.opts.ReportLag.Milliseconds(),
	}
	e.addLoad(&st, time.Now().Add(-e.opts.ReportLag))
	return st
}
