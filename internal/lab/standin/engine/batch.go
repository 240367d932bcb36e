package engine

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// accept queues j, or returns the reason for which it is refused before
// execution.
func (e *Engine) accept(j *job) (protocol.Code, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if code, ok := e.canAccept(j); !ok {
		e.recorder.stats.Refused++
		return code, false
	}
	j.cached = e.cache.lookup(j.prompt)
	j.prefill = j.promptTokens() - j.cached
	j.weight = int64(j.prefill + j.expectedTokens())
	e.jobs[j.id] = j
	e.queue[j.priority] = append(e.queue[j.priority], j)
	e.queued++
	e.recorder.adjust(1, j.weight)
	e.wakeLoop()
	return "", true
}

func (e *Engine) canAccept(j *job) (protocol.Code, bool) {
	switch {
	case e.draining:
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

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop executes steps while there is work and waits otherwise.
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
		if !e.sleep(wait) {
			return
		}
		e.step(wait)
	}
}

// nextStep fills the batch from the queue. It returns the duration of the next
// step and whether the batch has jobs.
func (e *Engine) nextStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireJobs()
	for len(e.batch) < e.opts.MaxBatch {
		j := e.pop()
		if j == nil {
			break
		}
		e.start(j)
	}
	return e.opts.StepTime * time.Duration(e.slowdown()), len(e.batch) > 0
}

func (e *Engine) sleep(d time.Duration) bool {
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

// pop removes the oldest job of the highest priority from the queue, or
// returns nil.
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
	stats := &e.recorder.stats
	stats.Runs[j.id]++
	stats.PromptTokens += int64(j.promptTokens())
	stats.CachedTokens += int64(j.cached)
}

// step produces one chunk per sequence. Sequences in prefill share the step's
// prefill tokens by priority.
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
	// A step of zero duration has no prefill limit.
	unlimited := e.opts.PrefillPerMS <= 0 || d <= 0
	perStep := d.Seconds() * 1000 * float64(e.opts.PrefillPerMS) / float64(e.slowdown())
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
		e.recorder.stats.OutputTokens++
	}
	if j.produced == j.total {
		e.end(j, jobFinished)
		e.recorder.stats.Finished[j.id]++
		e.cache.store(j.promptWithAnswer())
	}
	j.notify()
}

// end removes j from the load. The caller removes it from the batch or queue.
func (e *Engine) end(j *job, state jobState) {
	j.state = state
	j.ended = time.Now()
	e.ended = append(e.ended, j)
	e.recorder.adjust(-1, -j.weight)
}

// expireJobs removes ended jobs whose streams can no longer be resumed.
func (e *Engine) expireJobs() {
	limit := time.Now().Add(-e.opts.KeepStreams)
	for len(e.ended) > 0 && e.ended[0].ended.Before(limit) {
		j := e.ended[0]
		e.ended = e.ended[1:]
		if e.jobs[j.id] == j {
			delete(e.jobs, j.id)
		}
	}
}

// cancel aborts the job with the id and reports whether the id was known.
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
	e.recorder.stats.Canceled++
	e.end(j, jobCanceled)
	j.notify()
	e.checkDrained()
	return true
}

// addLoad adds the requests that were unfinished at the given time to st.
func (e *Engine) addLoad(st *wire.EngineStatus, at time.Time) {
	for _, jobs := range append(e.queue[:len(e.queue):len(e.queue)], e.batch, e.ended) {
		for _, j := range jobs {
			j.addTo(st, at)
		}
	}
	slices.Sort(st.RequestIDs)
}

// addTo adds j to st if it was unfinished at the given time.
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
