package engine

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// accept queues j, or returns why it is refused before executing.
func (e *Engine) accept(j *job) (protocol.Code, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if code, ok := e.mayAccept(j); !ok {
		e.ledger.books.Refused++
		return code, false
	}
	j.cached = e.cache.hit(j.prompt)
	j.prefill = j.promptTokens() - j.cached
	j.weight = int64(j.prefill + j.expectedTokens())
	e.jobs[j.id] = j
	e.queue[j.priority] = append(e.queue[j.priority], j)
	e.queued++
	e.ledger.change(1, j.weight)
	e.signal()
	return "", true
}

func (e *Engine) mayAccept(j *job) (protocol.Code, bool) {
	switch {
	case e.leaving:
		return protocol.CodeLeaving, false
	case !e.serves(j.req):
		return protocol.CodeModelNotLoaded, false
	case e.queued >= e.opts.MaxQueue:
		return protocol.CodeQueueFull, false
	default:
		return "", true
	}
}

func (e *Engine) serves(req wire.ChatRequest) bool {
	if e.model == "" {
		return true
	}
	hasAdapter := req.Adapter == "" || slices.Contains(e.adapters, req.Adapter)
	return req.Model == e.model && hasAdapter
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop steps the batch while there is work and sleeps otherwise.
func (e *Engine) loop() {
	for {
		wait, busy := e.nextStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.pause(wait) {
			return
		}
		e.step(wait)
	}
}

// nextStep fills the batch from the queue and returns the step's duration.
func (e *Engine) nextStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget()
	for len(e.batch) < e.opts.MaxBatch {
		j := e.pop()
		if j == nil {
			break
		}
		e.start(j)
	}
	return e.opts.StepTime * time.Duration(e.slowness()), len(e.batch) > 0
}

func (e *Engine) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.stop:
		return false
	}
}

// pop takes the oldest job of the most urgent class.
func (e *Engine) pop() *job {
	for p, q := range e.queue {
		if len(q) == 0 {
			continue
		}
		e.queue[p] = q[1:]
		e.queued--
		return q[0]
	}
	return nil
}

func (e *Engine) start(j *job) {
	j.state = jobRunning
	j.started = time.Now()
	e.batch = append(e.batch, j)
	books := &e.ledger.books
	books.Runs[j.id]++
	books.PromptTokens += int64(j.promptTokens())
	books.CachedTokens += int64(j.cached)
}

// step gives each sequence one chunk; sequences in their prefill share the
// step's prefill tokens, most urgent first.
func (e *Engine) step(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillBatch(d)
	running := e.batch[:0]
	for _, j := range e.batch {
		if j.prefill == 0 {
			e.decode(j)
		}
		if j.state == jobRunning {
			running = append(running, j)
		}
	}
	clear(e.batch[len(running):])
	e.batch = running
	e.checkDrained()
}

func (e *Engine) prefillBatch(d time.Duration) {
	// A step without duration has no prefill limit.
	unlimited := e.opts.PrefillPerMS <= 0 || d <= 0
	perStep := d.Seconds() * 1000 * float64(e.opts.PrefillPerMS) / float64(e.slowness())
	budget := max(1, int(perStep))
	for p := range priorityNames {
		for _, j := range e.batch {
			if j.priority != p || j.prefill == 0 {
				continue
			}
			n := j.prefill
			if !unlimited {
				n = min(n, budget)
			}
			budget -= n
			j.prefill -= n
			if j.prefill == 0 {
				e.cache.store(j.prompt)
			}
		}
	}
}

func (e *Engine) decode(j *job) {
	if j.produced < j.total {
		j.produced++
		e.ledger.books.OutputTokens++
	}
	if j.produced == j.total {
		e.end(j, jobFinished)
		e.ledger.books.Finished[j.id]++
		e.cache.store(j.answered())
	}
	j.wake()
}

// end takes j out of the load. The caller takes it out of batch or queue.
func (e *Engine) end(j *job, state jobState) {
	j.state = state
	j.ended = time.Now()
	e.ended = append(e.ended, j)
	e.ledger.change(-1, -j.weight)
}

// forget drops ended jobs that nobody may resume any more.
func (e *Engine) forget() {
	limit := time.Now().Add(-e.opts.KeepStreams)
	for len(e.ended) > 0 && e.ended[0].ended.Before(limit) {
		j := e.ended[0]
		e.ended = e.ended[1:]
		if e.jobs[j.id] == j {
			delete(e.jobs, j.id)
		}
	}
}

// cancel gives up the job id and reports whether it was known.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok {
		return false
	}
	if !j.unfinished() {
		return true
	}
	if i := slices.Index(e.queue[j.priority], j); i >= 0 {
		e.queue[j.priority] = slices.Delete(e.queue[j.priority], i, i+1)
		e.queued--
	}
	if i := slices.Index(e.batch, j); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
	}
	e.ledger.books.Canceled++
	e.end(j, jobCanceled)
	j.wake()
	e.checkDrained()
	return true
}

// addLoad counts the requests that were unfinished at the given time.
func (e *Engine) addLoad(st *wire.EngineStatus, at time.Time) {
	for _, jobs := range append(e.queue[:len(e.queue):len(e.queue)], e.batch, e.ended) {
		for _, j := range jobs {
			j.addTo(st, at)
		}
	}
	slices.Sort(st.RequestIDs)
}

// addTo counts j if it was unfinished at the given time.
func (j *job) addTo(st *wire.EngineStatus, at time.Time) {
	over := !j.unfinished() && !j.ended.After(at)
	if over || j.accepted.After(at) {
		return
	}
	st.RequestIDs = append(st.RequestIDs, j.id)
	st.Weight += j.weight
	if j.started.IsZero() || j.started.After(at) {
		st.Queued++
		return
	}
	st.Running++
}
