package engine

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	opts Options
	wake chan struct{}
	stop chan struct{}
	once sync.Once

	mu          sync.Mutex
	incarnation uint64
	down        bool
	crashed     chan struct{}
	leaving     bool
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
	ledger      *ledger
	faults      []Fault
}

// New returns a running engine. Close stops its goroutine.
func New(opts Options) *Engine {
	opts = opts.withFloors()
	e := &Engine{
		opts:        opts,
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		incarnation: opts.Incarnation,
		drained:     make(chan struct{}),
		model:       opts.Model,
		version:     opts.Version,
		adapters:    opts.Adapters,
		ledger:      newLedger(opts),
	}
	e.reset()
	go e.loop()
	return e
}

// reset gives the engine the state of a process that just started.
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

// Close stops the engine and breaks its connections.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stop) })
	e.Crash()
}

// Leave makes the engine refuse new work and finish what it has.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.checkDrained()
}

// Drained is closed once the engine is leaving and has nothing left to do.
func (e *Engine) Drained() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drained
}

func (e *Engine) checkDrained() {
	if e.leaving && !e.isDrained && e.queued+len(e.batch) == 0 {
		e.isDrained = true
		close(e.drained)
	}
}

// Crash ends all work and breaks all connections. Until Restart, every new
// connection is broken too.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.ledger.books.Lost += e.queued + len(e.batch)
	e.ledger.change(-e.ledger.requests, -e.ledger.weight)
	close(e.crashed)
	for _, j := range e.jobs {
		j.wake()
	}
	e.queue = make([][]*job, len(priorityNames))
	e.queued = 0
	e.batch = nil
	e.ended = nil
	e.jobs = map[string]*job{}
}

// Restart crashes the engine and starts it with a new incarnation, an empty
// cache and the model it was first given.
func (e *Engine) Restart() {
	e.Crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.incarnation++
	e.leaving = false
	e.isDrained = false
	e.drained = make(chan struct{})
	e.model = e.opts.Model
	e.version = e.opts.Version
	e.adapters = e.opts.Adapters
	e.role = ""
	e.reset()
}

// Books returns a copy of the engine's books.
func (e *Engine) Books() Books {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.ledger.copy()
	b.Incarnation = e.incarnation
	return b
}

// Status returns the engine's report: load figures as they were ReportLag ago,
// all else as it is now.
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
		Leaving:      e.leaving,
		MaxBatch:     e.opts.MaxBatch,
		MaxQueue:     e.opts.MaxQueue,
		CacheTokens:  e.opts.CacheTokens,
		CachedTokens: e.cache.used,
		ReportAgeMS:  e.opts.ReportLag.Milliseconds(),
	}
	e.addLoad(&st, time.Now().Add(-e.opts.ReportLag))
	return st
}
