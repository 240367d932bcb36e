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

// waiter is a request in a scheduler's queue.
type waiter struct {
	ctx      context.Context
	req      *Request
	queuedAt time.Time
	deadline time.Time
	result   chan outcome
}

type outcome struct {
	grant *Grant
	err   error
}

const (
	// retryInterval is how often waiting requests are retried even if nothing
	// wakes the scheduler: this router isn't notified at once when capacity
	// becomes free at an engine of another owner.
	retryInterval = 100 * time.Millisecond
	// minRetryAfter is the smallest Retry-After value sent with a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// wait queues the request until it is granted or refused, its caller
// disconnects or the router stops.
func (s *scheduler) wait(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	w := &waiter{ctx: ctx, req: req, queuedAt: now, deadline: now.Add(s.a.opts.MaxWait), result: make(chan outcome, 1)}
	if !req.Deadline.IsZero() && req.Deadline.Before(w.deadline) {
		w.deadline = req.Deadline
	}
	if err := s.enqueue(now, w); err != nil {
		s.a.Metrics.QueueRefused.Add(1)
		return nil, queueError(err)
	}
	s.a.Metrics.Queued.Add(1)
	s.wake()
	select {
	case out := <-w.result:
		return out.grant, out.err
	case <-ctx.Done():
		s.removeWaiter(w)
		return nil, apierr.New(apierr.CodeDeadlineUnreachable, http.StatusRequestTimeout, "caller is gone").WithCause(ctx.Err())
	case <-s.a.ctx.Done():
		s.removeWaiter(w)
		return nil, apierr.New(apierr.CodeDraining, http.StatusServiceUnavailable, "router is stopping").
			WithRetryAfter(minRetryAfter)
	}
}

func (s *scheduler) enqueue(now time.Time, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting() >= s.pool.QueueLimit {
		return &queue.FullError{Scope: queue.ScopeQueue, RetryAfter: time.Second}
	}
	return s.queue.Push(now, queue.Item{
		ID:       w.req.ID,
		Account:  w.req.Account.Name,
		Class:    w.req.Class,
		Weight:   s.a.opts.Policy.Weight(&w.req.Place, 0),
		Share:    w.req.Account.Weight,
		Deadline: w.deadline,
		Value:    w,
	})
}

// waiting returns the number of requests that wait at this router; the caller
// holds s.mu.
func (s *scheduler) waiting() int {
	n := s.queue.Len()
	if s.head != nil {
		n++
	}
	return n
}

func queueError(err error) *apierr.Error {
	var fullErr *queue.FullError
	if errors.As(err, &fullErr) {
		return apierr.New(apierr.CodeQueueFull, http.StatusServiceUnavailable, "too many requests are waiting").
			WithRetryAfter(max(fullErr.RetryAfter, minRetryAfter)).WithCause(err)
	}
	var deadlineErr *queue.DeadlineError
	if errors.As(err, &deadlineErr) {
		return apierr.New(apierr.CodeDeadlineUnreachable, http.StatusServiceUnavailable, "the deadline can't be met").
			WithRetryAfter(max(deadlineErr.RetryAfter, minRetryAfter)).WithCause(err)
	}
	return apierr.New(apierr.CodeQueueFull, http.StatusServiceUnavailable, "the request can't wait here").
		WithRetryAfter(time.Second).WithCause(err)
}

// removeWaiter removes a waiter whose caller has disconnected. If its request
// has been granted meanwhile, the grant is released: an unused permit would
// occupy capacity forever.
func (s *scheduler) removeWaiter(w *waiter) {
	s.mu.Lock()
	s.queue.Remove(w.req.ID)
	if s.head == w {
		s.head = nil
	}
	s.mu.Unlock()
	select {
	case out := <-w.result:
		if out.grant != nil {
			out.grant.Release()
		}
	default:
	}
}

// run dispatches waiting requests whenever capacity may have become free.
func (s *scheduler) run() {
	defer s.a.wg.Done()
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.a.ctx.Done():
			return
		case <-s.wakeup:
		case <-timer.C:
		}
		if s.dispatch() {
			timer.Reset(retryInterval)
		}
	}
}

// dispatch places waiting requests in order until all engines are full. It
// reports whether any remain.
func (s *scheduler) dispatch() (remaining bool) {
	for {
		w := s.nextWaiter()
		if w == nil {
			return false
		}
		now := time.Now()
		g, err := s.place(w.ctx, now, w.req)
		if err == nil {
			g.Waited = now.Sub(w.queuedAt)
			s.a.Metrics.Granted.Add(1)
			s.deliver(w, outcome{grant: g})
			continue
		}
		if !errors.Is(err, placement.ErrFull) {
			s.deliver(w, outcome{err: s.a.noEngineError(now, s.a.opts.Board.Snapshot(), w.req, err)})
			continue
		}
		s.returnToHead(w)
		return true
	}
}

// nextWaiter returns the next request to place, or nil. It refuses requests
// that can no longer be served in time, without waiting for their deadline.
func (s *scheduler) nextWaiter() *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, it := range s.queue.Expire(now) {
		s.refuseExpired(now, it.Value.(*waiter))
	}
	for {
		w := s.head
		s.head = nil
		if w == nil {
			it, ok := s.queue.Pop(now)
			if !ok {
				return nil
			}
			w = it.Value.(*waiter)
		}
		if w.ctx.Err() != nil {
			continue
		}
		if now.After(w.deadline) {
			s.refuseExpired(now, w)
			continue
		}
		return w
	}
}

func (s *scheduler) refuseExpired(now time.Time, w *waiter) {
	s.a.Metrics.Expired.Add(1)
	wait := s.queue.PredictWait(now, queue.Item{Class: w.req.Class, Account: w.req.Account.Name, Weight: 1})
	w.result <- outcome{err: queueError(&queue.DeadlineError{PredictedWait: wait, RetryAfter: wait})}
}

func (s *scheduler) returnToHead(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = w
}

// deliver sends the outcome to the waiter. If its caller has disconnected
// meanwhile, nobody reads the outcome, so the grant is released here.
func (s *scheduler) deliver(w *waiter, out outcome) {
	w.result <- out
	if w.ctx.Err() == nil {
		return
	}
	s.removeWaiter(w)
}

// recordFinished records that a request of this router has finished at an
// engine. The queue estimates waits from the weights of finished requests. The
// owner reports the new load only with its next digest; until then the last
// known load is corrected here. Otherwise a chat's next turn would find its
// engine still busy with the previous one.
func (s *scheduler) recordFinished(h heldPermit) {
	s.mu.Lock()
	s.queue.Observe(time.Now(), h.weight)
	if k, ok := s.loads[h.engine]; ok {
		k.Weight = max(0, k.Weight-h.weight)
		k.Count = max(0, k.Count-1)
		s.loads[h.engine] = k
	}
	s.mu.Unlock()
	s.wake()
}
