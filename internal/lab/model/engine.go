package model

import (
	"slices"
	"time"
)

// EngineConfig describes an engine. Times are those at a slowdown of 1.
type EngineConfig struct {
	// Slots is how many requests run at once, QueueLimit how many may wait.
	Slots, QueueLimit int
	// A step generates one token for each request in the batch. Its duration is StepTime,
	// plus StepPerRequest for each of these requests, plus StepPerToken for each token in
	// memory.
	StepTime, StepPerRequest, StepPerToken time.Duration
	// PrefillPerToken is the time to prefill a token of a prompt. A step prefills at
	// most PrefillChunk tokens, and the time for them delays the other requests of the
	// batch.
	PrefillPerToken time.Duration
	PrefillChunk    int
	// TokensPerEvent is how many tokens an event of the response stream holds.
	TokensPerEvent int
	// MemoryTokens is the memory for running requests and cached segments, in tokens.
	MemoryTokens int
	// FetchPerToken is the time to fetch a token of a prompt from another engine.
	FetchPerToken time.Duration
	// StartDelay is the time between the arrival of a request and its first step.
	StartDelay time.Duration
	// Plain engines generate no tokens: a request occupies a slot for its own work
	// time.
	Plain bool
}

// execution is a request at an engine.
type execution struct {
	request      *Request
	priority     int
	arrived      time.Duration
	prefillLeft  int
	generated    int
	memoryTokens int
	streaming    bool
	preempted    bool
	removed      bool
}

// Engine executes requests in a batch. The larger the batch, the longer each step
// takes, and the prefill of a prompt delays the tokens of all requests.
type Engine struct {
	ID     string
	Key    uint64
	config EngineConfig
	sim    *Simulation
	// Slowdown is the factor on all times but those to fetch prompts.
	Slowdown float64
	Down     bool

	// Begun counts the requests that have begun to run, Preempted those of them that were preempted.
	// busy is the time for which the batch was not empty, held the memory that requests held times that.
	Begun, Preempted int
	busy, held       float64

	waiting    []*execution
	batch      []*execution
	cache      *cache
	linkFreeAt time.Duration
	stepping   bool
}

func newEngine(sim *Simulation, id string, key uint64, config EngineConfig) *Engine {
	return &Engine{ID: id, Key: key, config: config, sim: sim, Slowdown: 1, cache: newCache()}
}

// InFlight returns how many requests wait or run.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.batch) }

// arrive accepts a request, or returns false if the queue is full.
func (e *Engine) arrive(r *Request, priority int, fetchFrom *Engine) bool {
	if len(e.waiting) >= e.config.QueueLimit {
		return false
	}
	now := e.sim.Now()
	x := &execution{request: r, priority: priority, arrived: now}
	ready := now + e.scale(e.config.StartDelay)
	if tokens := e.fetchableTokens(r, fetchFrom); tokens > 0 {
		e.linkFreeAt = max(e.linkFreeAt, now) + time.Duration(tokens)*e.config.FetchPerToken
		ready = max(ready, e.linkFreeAt)
		e.sim.At(ready, func() { e.cache.add(r.Prompt, now) })
	}
	r.execution = x
	e.sim.At(ready, func() { e.enqueue(x) })
	return true
}

// fetchableTokens returns how many more tokens of the prompt another engine has cached.
func (e *Engine) fetchableTokens(r *Request, from *Engine) int {
	if from == nil || from == e || from.Down {
		return 0
	}
	return max(0, from.cache.cachedTokens(r.Prompt)-e.cache.cachedTokens(r.Prompt))
}

func (e *Engine) scale(d time.Duration) time.Duration { return time.Duration(e.Slowdown * float64(d)) }

func (e *Engine) enqueue(x *execution) {
	if x.removed || e.Down {
		return
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > x.priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, x)
	e.wake()
}

func (e *Engine) wake() {
	if e.stepping || e.Down {
		return
	}
	if e.config.Plain {
		e.admit()
		return
	}
	e.stepping = true
	e.startStep()
}

// admit moves waiting requests into the batch, the most urgent first. A request may
// preempt a less urgent one.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		x := e.waiting[0]
		if !e.ensureCapacity(x) {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(x)
	}
}

func (e *Engine) start(x *execution) {
	if e.config.Plain {
		e.batch = append(e.batch, x)
		e.sim.After(e.scale(x.request.Work), func() { e.finishPlain(x) })
		return
	}
	cachedTokens := e.cache.cachedTokens(x.request.Prompt)
	x.prefillLeft = x.request.promptTokens() - cachedTokens + x.generated
	x.memoryTokens = x.request.UniqueTokens + x.generated
	e.cache.pin(x.request.Prompt, e.sim.Now())
	e.batch = append(e.batch, x)
	if !x.preempted {
		e.Begun++
	}
}

// ensureCapacity reports whether there is a slot and memory for the request, after preempting
// less urgent ones and evicting cached segments as needed.
func (e *Engine) ensureCapacity(x *execution) bool {
	if e.config.Plain {
		return len(e.batch) < e.config.Slots
	}
	for len(e.batch) >= e.config.Slots || e.pinned()+e.needs(x) > e.config.MemoryTokens {
		if !e.preempt(x.priority) {
			return false
		}
	}
	e.cache.evict(e.config.MemoryTokens - e.pinned() - e.needs(x))
	return true
}

// needs returns the memory that a waiting request needs to begin, in tokens.
func (e *Engine) needs(x *execution) int {
	return x.request.UniqueTokens + x.generated + e.cache.unpinnedTokens(x.request.Prompt)
}

// makeRoom evicts cached segments, and preempts the newest of the least urgent requests, until the memory
// holds what requests have generated. The last one runs on whatever it needs.
func (e *Engine) makeRoom() {
	for len(e.batch) > 1 && e.pinned() > e.config.MemoryTokens {
		e.preempt(-1)
	}
	e.cache.evict(e.config.MemoryTokens - e.pinned())
}

// pinned returns the memory that can't be evicted, in tokens.
func (e *Engine) pinned() int {
	total := 0
	for _, x := range e.batch {
		total += x.memoryTokens
	}
	return total + e.cache.pinnedTokens()
}

// preempt moves the newest of the least urgent requests from the batch back to the queue. It
// returns false if none is less urgent than priority.
func (e *Engine) preempt(priority int) bool {
	victim := -1
	for i, x := range e.batch {
		if victim < 0 || x.priority >= e.batch[victim].priority {
			victim = i
		}
	}
	if victim < 0 || e.batch[victim].priority <= priority {
		return false
	}
	x := e.batch[victim]
	e.batch = slices.Delete(e.batch, victim, victim+1)
	e.cache.unpin(x.request.Prompt)
	if !x.preempted {
		x.preempted = true
		e.Preempted++
	}
	at := 0
	for at < len(e.waiting) && e.waiting[at].priority < x.priority {
		at++
	}
	e.waiting = slices.Insert(e.waiting, at, x)
	return true
}

// startStep admits waiting requests, runs one step and schedules its end.
func (e *Engine) startStep() {
	e.admit()
	if len(e.batch) == 0 || e.Down {
		e.stepping = false
		return
	}
	chunkLeft := e.config.PrefillChunk
	prefillTokens, memoryTokens, decoding := 0, 0, 0
	for _, x := range e.batch {
		memoryTokens += x.memoryTokens + x.request.sharedTokens()
		if x.prefillLeft > 0 {
			chunk := min(x.prefillLeft, chunkLeft)
			x.prefillLeft -= chunk
			chunkLeft -= chunk
			prefillTokens += chunk
			continue
		}
		decoding++
	}
	duration := time.Duration(prefillTokens) * e.config.PrefillPerToken
	if decoding > 0 {
		duration += e.config.StepTime + time.Duration(decoding)*e.config.StepPerRequest + time.Duration(memoryTokens)*e.config.StepPerToken
	}
	e.busy += duration.Seconds()
	e.held += duration.Seconds() * float64(e.pinned())
	e.sim.After(e.scale(duration), func() { e.finishStep() })
}

// finishStep delivers the tokens of a step and starts the next one.
func (e *Engine) finishStep() {
	if e.Down {
		e.stepping = false
		return
	}
	now := e.sim.Now()
	for _, x := range slices.Clone(e.batch) {
		if x.prefillLeft > 0 || x.removed {
			continue
		}
		x.generated++
		x.memoryTokens++
		if x.generated >= x.request.OutputTokens {
			e.remove(x)
			e.sim.requestEnded(x.request, e, true)
			continue
		}
		if !x.streaming || x.generated%e.config.TokensPerEvent == 0 {
			x.streaming = true
			e.sim.recordEvent(x.request, now)
		}
	}
	e.makeRoom()
	e.startStep()
}

// finishPlain ends a request at a plain engine.
func (e *Engine) finishPlain(x *execution) {
	if x.removed {
		return
	}
	e.remove(x)
	e.sim.requestEnded(x.request, e, true)
	e.wake()
}

// remove removes a request from the batch and the queue.
func (e *Engine) remove(x *execution) {
	x.removed = true
	if i := slices.Index(e.batch, x); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
		if !e.config.Plain {
			e.cache.unpin(x.request.Prompt)
		}
	}
	if i := slices.Index(e.waiting, x); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// Crash fails all waiting and running requests and empties the cache. The engine stays
// down until Restart.
func (e *Engine) Crash() {
	e.Down = true
	lost := append(slices.Clone(e.batch), e.waiting...)
	e.batch, e.waiting = nil, nil
	e.cache = newCache()
	for _, x := range lost {
		x.removed = true
		e.sim.requestEnded(x.request, e, false)
	}
}

// Restart brings a crashed engine back, with an empty cache.
func (e *Engine) Restart() { e.Down = false }
