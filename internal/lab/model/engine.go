package model

import (
	"slices"
	"time"
)

// EngineConfig describes a model engine. Times are of an engine at its usual pace.
type EngineConfig struct {
	// Slots is how many requests it executes at once, Queue how many may wait.
	Slots, Queue int
	// A step makes one token for each request in the batch. It takes Step, StepPerSlot
	// for each of them, and StepPerContext for each token that they have in memory.
	Step, StepPerSlot, StepPerContext time.Duration
	// PrefillPerToken is the time to read a token of a prompt. A step reads Chunk
	// tokens at most, and makes the others wait for them.
	PrefillPerToken time.Duration
	Chunk           int
	// Stride is how many tokens an event of a stream holds.
	Stride int
	// Memory is the room for tokens of running requests and cached parts.
	Memory int
	// FetchPerToken is the time to fetch a token of a prompt from another engine.
	FetchPerToken time.Duration
	// First is the time between a request's arrival and its first step.
	First time.Duration
	// Plain engines make no tokens: a request takes its own time in a place.
	Plain bool
}

// run is a request at an engine.
type run struct {
	r       *Request
	urgency int
	arrived time.Duration
	unread  int
	made    int
	holds   int
	started bool
	gone    bool
}

// Engine executes requests in a batch: the more there are, the longer each step takes,
// and prompts that are read hold up the tokens of all.
type Engine struct {
	ID     string
	Key    uint64
	config EngineConfig
	world  *World
	// Pace is how much longer everything takes than usual.
	Pace float64
	Down bool

	waiting  []*run
	batch    []*run
	cache    *cache
	linkFree time.Duration
	stepping bool
}

func newEngine(w *World, id string, key uint64, config EngineConfig) *Engine {
	return &Engine{ID: id, Key: key, config: config, world: w, Pace: 1, cache: newCache()}
}

// InFlight is how many requests are at the engine.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.batch) }

// arrive takes a request, or returns false if the queue is full.
func (e *Engine) arrive(r *Request, urgency int, fetchFrom *Engine) bool {
	if len(e.waiting) >= e.config.Queue {
		return false
	}
	now := e.world.Now()
	n := &run{r: r, urgency: urgency, arrived: now}
	ready := now + e.slowed(e.config.First)
	if tokens := e.fetchable(r, fetchFrom); tokens > 0 {
		e.linkFree = max(e.linkFree, now) + time.Duration(tokens)*e.config.FetchPerToken
		ready = max(ready, e.linkFree)
		e.world.At(ready, func() { e.cache.add(r.Prompt, now) })
	}
	r.run = n
	e.world.At(ready, func() { e.enqueue(n) })
	return true
}

// fetchable is how many tokens of the prompt the other engine has beyond this one.
func (e *Engine) fetchable(r *Request, from *Engine) int {
	if from == nil || from == e || from.Down {
		return 0
	}
	return max(0, from.cache.held(r.Prompt)-e.cache.held(r.Prompt))
}

func (e *Engine) slowed(d time.Duration) time.Duration { return time.Duration(e.Pace * float64(d)) }

func (e *Engine) enqueue(n *run) {
	if n.gone || e.Down {
		return
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].urgency > n.urgency {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, n)
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
	e.step()
}

// admit moves waiting requests into the batch, the most urgent first. One that is more
// urgent than a running one takes its place.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		n := e.waiting[0]
		if !e.makeRoom(n) {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(n)
	}
}

func (e *Engine) start(n *run) {
	if e.config.Plain {
		e.batch = append(e.batch, n)
		e.world.After(e.slowed(n.r.Work), func() { e.workDone(n) })
		return
	}
	held := e.cache.held(n.r.Prompt)
	n.unread = n.r.promptTokens() - held + n.made
	n.holds = n.r.Own + n.made
	e.cache.use(n.r.Prompt, e.world.Now())
	e.batch = append(e.batch, n)
}

// makeRoom says whether there is a place and memory for the request.
func (e *Engine) makeRoom(n *run) bool {
	if e.config.Plain {
		return len(e.batch) < e.config.Slots
	}
	for len(e.batch) >= e.config.Slots || e.pinned()+n.r.Own+n.made > e.config.Memory {
		if !e.preempt(n.urgency) {
			return false
		}
	}
	e.cache.shrink(e.config.Memory - e.pinned() - n.r.Own - n.made)
	return true
}

// pinned is the memory that does not yield.
func (e *Engine) pinned() int {
	total := 0
	for _, n := range e.batch {
		total += n.holds
	}
	return total + e.cache.inUse()
}

// preempt takes the newest of the least urgent requests out of the batch, if it is less
// urgent than the given one.
func (e *Engine) preempt(urgency int) bool {
	victim := -1
	for i, n := range e.batch {
		if victim < 0 || n.urgency >= e.batch[victim].urgency {
			victim = i
		}
	}
	if victim < 0 || e.batch[victim].urgency <= urgency {
		return false
	}
	n := e.batch[victim]
	e.batch = slices.Delete(e.batch, victim, victim+1)
	e.cache.release(n.r.Prompt)
	at := 0
	for at < len(e.waiting) && e.waiting[at].urgency < n.urgency {
		at++
	}
	e.waiting = slices.Insert(e.waiting, at, n)
	return true
}

// step runs one step and sets the next.
func (e *Engine) step() {
	e.admit()
	if len(e.batch) == 0 || e.Down {
		e.stepping = false
		return
	}
	read := e.config.Chunk
	tokens, context, making := 0, 0, 0
	for _, n := range e.batch {
		context += n.holds + n.r.sharedTokens()
		if n.unread > 0 {
			part := min(n.unread, read)
			n.unread -= part
			read -= part
			tokens += part
			continue
		}
		making++
	}
	took := time.Duration(tokens) * e.config.PrefillPerToken
	if making > 0 {
		took += e.config.Step + time.Duration(making)*e.config.StepPerSlot + time.Duration(context)*e.config.StepPerContext
	}
	e.world.After(e.slowed(took), func() { e.stepped() })
}

// stepped hands out the tokens of a step.
func (e *Engine) stepped() {
	if e.Down {
		e.stepping = false
		return
	}
	now := e.world.Now()
	for _, n := range slices.Clone(e.batch) {
		if n.unread > 0 || n.gone {
			continue
		}
		n.made++
		n.holds++
		if n.made >= n.r.Output {
			e.finish(n)
			e.world.finished(n.r, e, true)
			continue
		}
		if !n.started || n.made%e.config.Stride == 0 {
			n.started = true
			e.world.emitted(n.r, now)
		}
	}
	e.step()
}

// workDone ends a request at a plain engine.
func (e *Engine) workDone(n *run) {
	if n.gone {
		return
	}
	e.finish(n)
	e.world.finished(n.r, e, true)
	e.wake()
}

// finish takes a request out.
func (e *Engine) finish(n *run) {
	n.gone = true
	if i := slices.Index(e.batch, n); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
		if !e.config.Plain {
			e.cache.release(n.r.Prompt)
		}
	}
	if i := slices.Index(e.waiting, n); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// Crash loses all requests and the cache.
func (e *Engine) Crash() {
	e.Down = true
	lost := append(slices.Clone(e.batch), e.waiting...)
	e.batch, e.waiting = nil, nil
	e.cache = newCache()
	for _, n := range lost {
		n.gone = true
		e.world.finished(n.r, e, false)
	}
}

// Restart lets a crashed engine work again.
func (e *Engine) Restart() { e.Down = false }
