package admission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// waiter is a request in a lane's queue.
type waiter struct {
	ctx    context.Context
	req    *Request
	since  time.Time
	until  time.Time
	result chan outcome
}

type outcome struct {
	grant *Grant
	err   error
}

const (
	// retryTick is how often waiting requests are tried without any event,
	// for room that appears at another owner's engine unseen.
	retryTick = 100 * time.Millisecond
	// minRetryAfter is the least wait suggested to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

// wait queues the request until it is granted, refused or its caller is gone.
func (l *lane) wait(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	w := &waiter{ctx: ctx, req: req, since: now, until: now.Add(l.a.opts.MaxWait), result: make(chan outcome, 1)}
	if !req.Deadline.IsZero() && req.Deadline.Before(w.until) {
		w.until = req.Deadline
	}
	if err := l.push(now, w); err != nil {
		l.a.Metrics.QueueRefused.Add(1)
		return nil, queueRefusal(err)
	}
	l.a.Metrics.Queued.Add(1)
	l.wake()
	select {
	case out := <-w.result:
		return out.grant, out.err
	case <-ctx.Done():
		l.forget(w)
		return nil, apierr.New(apierr.CodeDeadline, http.StatusRequestTimeout, "caller is gone").WithCause(ctx.Err())
	case <-l.a.ctx.Done():
		l.forget(w)
		return nil, apierr.New(apierr.CodeLeaving, http.StatusServiceUnavailable, "router is stopping").
			WithRetryAfter(minRetryAfter)
	}
}

func (l *lane) push(now time.Time, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting() >= l.pool.QueueLimit {
		return &queue.FullError{Scope: queue.ScopeQueue, RetryAfter: time.Second}
	}
	return l.queue.Push(now, queue.Item{
		ID:       w.req.ID,
		Account:  w.req.Account.Name,
		Class:    w.req.Class,
		Weight:   l.a.opts.Policy.Weight(&w.req.Place, 0),
		Share:    w.req.Account.Weight,
		Deadline: w.until,
		Value:    w,
	})
}

// waiting counts the requests that wait here; the caller holds l.mu.
func (l *lane) waiting() int {
	n := l.queue.Len()
	if l.head != nil {
		n++
	}
	return n
}

func queueRefusal(err error) *apierr.Error {
	var full *queue.FullError
	if errors.As(err, &full) {
		return apierr.New(apierr.CodeQueueFull, http.StatusServiceUnavailable, "too many requests are waiting").
			WithRetryAfter(max(full.RetryAfter, minRetryAfter)).WithCause(err)
	}
	var late *queue.DeadlineError
	if errors.As(err, &late) {
		return apierr.New(apierr.CodeDeadline, http.StatusServiceUnavailable, "the deadline can't be met").
			WithRetryAfter(max(late.RetryAfter, minRetryAfter)).WithCause(err)
	}
	return apierr.New(apierr.CodeQueueFull, http.StatusServiceUnavailable, "the request can't wait here").
		WithRetryAfter(time.Second).WithCause(err)
}

// forget takes a waiter out whose caller is gone. Where the grant was faster,
// it is given back: a permit that nobody uses would hold room for ever.
func (l *lane) forget(w *waiter) {
	l.mu.Lock()
	l.queue.Remove(w.req.ID)
	if l.head == w {
		l.head = nil
	}
	l.mu.Unlock()
	select {
	case out := <-w.result:
		if out.grant != nil {
			out.grant.Release()
		}
	default:
	}
}

// run dispatches waiting requests whenever something may have changed.
func (l *lane) run() {
	defer l.a.wg.Done()
	tick := time.NewTimer(retryTick)
	defer tick.Stop()
	for {
		select {
		case <-l.a.ctx.Done():
			return
		case <-l.woken:
		case <-tick.C:
		}
		if l.dispatch() {
			tick.Reset(retryTick)
		}
	}
}

// dispatch places waiting requests in order until there is no more room. It
// reports whether any are left.
func (l *lane) dispatch() (left bool) {
	for {
		w := l.next()
		if w == nil {
			return false
		}
		now := time.Now()
		g, err := l.place(w.ctx, now, w.req)
		if err == nil {
			g.Waited = now.Sub(w.since)
			l.a.Metrics.Granted.Add(1)
			l.deliver(w, outcome{grant: g})
			continue
		}
		if !errors.Is(err, placement.ErrFull) {
			l.deliver(w, outcome{err: noEngine(err)})
			continue
		}
		l.putBack(w)
		return true
	}
}

// next takes the request whose turn it is. Those that can no longer be served
// in time are refused now, not when their deadline comes.
func (l *lane) next() *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, it := range l.queue.Expire(now) {
		l.refuseLate(now, it.Value.(*waiter))
	}
	for {
		w := l.head
		l.head = nil
		if w == nil {
			it, ok := l.queue.Pop(now)
			if !ok {
				return nil
			}
			w = it.Value.(*waiter)
		}
		if w.ctx.Err() != nil {
			continue
		}
		if now.After(w.until) {
			l.refuseLate(now, w)
			continue
		}
		return w
	}
}

func (l *lane) refuseLate(now time.Time, w *waiter) {
	l.a.Metrics.Expired.Add(1)
	wait := l.queue.PredictWait(now, queue.Item{Class: w.req.Class, Account: w.req.Account.Name, Weight: 1})
	w.result <- outcome{err: queueRefusal(&queue.DeadlineError{PredictedWait: wait, RetryAfter: wait})}
}

func (l *lane) putBack(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head = w
}

// deliver hands the outcome over. A caller that left in the meantime does not
// read it any more, so its grant is given back here.
func (l *lane) deliver(w *waiter, out outcome) {
	w.result <- out
	if w.ctx.Err() == nil {
		return
	}
	l.forget(w)
}

// finished notes that work of this router ended at an engine. The queue
// estimates waits from it. The owner of another router's engine tells the new
// load only with its next digest; until then the last one is corrected here, or
// a chat's next turn would find its own engine busy with its last one.
func (l *lane) finished(h held) {
	l.mu.Lock()
	l.queue.Observe(time.Now(), h.weight)
	if k, ok := l.loads[h.engine]; ok {
		k.Weight = max(0, k.Weight-h.weight)
		k.Count = max(0, k.Count-1)
		l.loads[h.engine] = k
	}
	l.mu.Unlock()
	l.wake()
}
