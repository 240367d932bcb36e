// Package queue orders the requests that wait at one router for one pool.
//
// Classes are served strictly by priority, client accounts within a class by
// weighted fair queueing. An item that waits rises one class after each
// ageing interval, so that no class is starved. An item that cannot be
// dispatched by its deadline is refused when it arrives, or as soon as that
// becomes clear, and never held until the deadline.
//
// A Queue is not safe for concurrent use, and it reads no clock: every method
// takes the time from its caller, which must not let it run backwards.
package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultLimit is the number of items that may wait.
	DefaultLimit = 1000
	// DefaultAgeAfter is how long an item waits in a class before it rises to
	// the next. A batch item competes with urgent ones after three intervals.
	DefaultAgeAfter = 10 * time.Second

	// agedShare scales an account's share for items above their own class:
	// enough not to starve, too little to crowd out those who belong there.
	agedShare = 0.1
	// accountAlpha bounds what one account may hold to this multiple of the
	// free room. Alone it can take 4/5 of the queue, so that an account which
	// arrives during another's surge still finds room.
	accountAlpha = 4
	// expireMargin is by how much the predicted wait must exceed the time left
	// before a waiting item is given up. Without it each dip of the measured
	// rate would throw out items that the next second could serve.
	expireMargin = 1.25

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the random part added to a suggested wait, as a share of
	// it; refused callers would otherwise come back in the same instant.
	retryJitter = 0.5
)

// classRoom is the share of the queue that items of a class and of those below
// it may fill. The rest is kept for more pressing ones.
var classRoom = [classCount]float64{Urgent: 1, High: 0.9, Normal: 0.8, Batch: 0.6}

// Config sets up a Queue. Zero fields take the defaults.
type Config struct {
	// Limit is the number of items that may wait.
	Limit int
	// AgeAfter is the ageing interval.
	AgeAfter time.Duration
	// Rand jitters Retry-After suggestions; nil means no jitter.
	Rand *rand.Rand
}

// Item is a waiting request.
type Item struct {
	// ID is unique among waiting items.
	ID      string
	Account string
	Class   Class
	// Weight is the work in the pool's unit of load; less than 1 counts as 1.
	Weight int64
	// Share is the account's weight against other accounts; values that are
	// not positive and finite count as 1.
	Share float64
	// Deadline is the latest useful moment of dispatch; zero means none.
	Deadline time.Time
	// Value is the caller's own; the queue does not look at it.
	Value any
}

// late reports whether dispatch at t would miss the deadline.
func (it *Item) late(t time.Time) bool {
	return !it.Deadline.IsZero() && t.After(it.Deadline)
}

// normalise replaces values that would break the arithmetic.
func (it *Item) normalise() {
	it.Weight = max(it.Weight, 1)
	if !(it.Share > 0) || math.IsInf(it.Share, 0) {
		it.Share = 1
	}
	if !it.Class.Valid() {
		it.Class = Batch
	}
}

// Queue holds the waiting items of one pool. Use New.
type Queue struct {
	cfg      Config
	levels   [classCount]*level
	byID     map[string]*entry
	accounts map[string]int
	work     int64
	est      estimate
	// overdue are items that Pop met after their deadline.
	overdue []*entry
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Limit <= 0 {
		cfg.Limit = DefaultLimit
	}
	if cfg.AgeAfter <= 0 {
		cfg.AgeAfter = DefaultAgeAfter
	}
	q := &Queue{cfg: cfg, byID: map[string]*entry{}, accounts: map[string]int{}}
	for c := range q.levels {
		q.levels[c] = newLevel(Class(c))
	}
	return q
}

// Len returns the number of items that have not left the queue.
func (q *Queue) Len() int { return len(q.byID) }

// Work returns the summed weight of the items that have not left the queue.
func (q *Queue) Work() int64 { return q.work }

// Observe tells the queue that work of the given weight finished at the pool,
// which is what makes room for waiting items.
func (q *Queue) Observe(now time.Time, weight int64) {
	q.advance(now)
	q.est.observe(weight)
}

// Push adds an item. It fails with *DuplicateError, *FullError or
// *DeadlineError; the item is then not in the queue.
func (q *Queue) Push(now time.Time, it Item) error {
	it.normalise()
	q.advance(now)
	if _, ok := q.byID[it.ID]; ok {
		return &DuplicateError{ID: it.ID}
	}
	if scope, full := q.full(&it); full {
		return &FullError{Scope: scope, RetryAfter: q.retryAfter(q.wait(q.workUpTo(it.Class)) / 2)}
	}
	wait := q.predict(&it)
	if it.late(now.Add(wait)) {
		excess := now.Add(wait).Sub(it.Deadline)
		return &DeadlineError{PredictedWait: wait, RetryAfter: q.retryAfter(excess)}
	}
	q.add(now, it)
	return nil
}

// PredictWait returns how long an item would wait if it were pushed now.
func (q *Queue) PredictWait(now time.Time, it Item) time.Duration {
	it.normalise()
	q.advance(now)
	return q.predict(&it)
}

// Pop removes and returns the next item; ok is false if there is none. Items
// found past their deadline are skipped and returned by the next Expire.
func (q *Queue) Pop(now time.Time) (it Item, ok bool) {
	q.advance(now)
	for _, l := range q.levels {
		for e := l.next(); e != nil; e = l.next() {
			if e.item.late(now) {
				l.remove(e)
				q.overdue = append(q.overdue, e)
				continue
			}
			l.serve(e)
			q.forget(e)
			return e.item, true
		}
	}
	return Item{}, false
}

// Expire removes and returns every item whose deadline has passed or, by the
// present drain rate, cannot be met any more. Each is to be refused at once.
func (q *Queue) Expire(now time.Time) []Item {
	q.advance(now)
	lost := q.overdue
	q.overdue = nil
	lost = append(lost, q.hopeless(now)...)
	var items []Item
	for _, e := range lost {
		q.forget(e)
		items = append(items, e.item)
	}
	return items
}

// Remove takes an item out whose caller has gone; ok is false if it has
// already left the queue.
func (q *Queue) Remove(id string) (it Item, ok bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	if i := slices.Index(q.overdue, e); i >= 0 {
		q.overdue = slices.Delete(q.overdue, i, i+1)
	} else {
		q.levels[e.level].remove(e)
	}
	q.forget(e)
	return e.item, true
}

// add puts an accepted item into its level.
func (q *Queue) add(now time.Time, it Item) {
	if len(q.byID) == 0 {
		q.est.begin(now)
	}
	e := &entry{item: it, entered: now}
	q.byID[it.ID] = e
	q.accounts[it.Account]++
	q.work += it.Weight
	q.levels[it.Class].push(e)
}

// forget ends the account of an entry that is in no level any more.
func (q *Queue) forget(e *entry) {
	delete(q.byID, e.item.ID)
	q.work -= e.item.Weight
	q.accounts[e.item.Account]--
	if q.accounts[e.item.Account] == 0 {
		delete(q.accounts, e.item.Account)
	}
}

// advance moves the drain estimate and the ageing to now.
func (q *Queue) advance(now time.Time) {
	q.est.advance(now, len(q.byID) > 0)
	for c := 1; c < classCount; c++ {
		q.age(now, q.levels[c], q.levels[c-1])
	}
}

// age moves items that have waited long enough in from to the level above.
// Entries sit in the order of entry, so only the front has to be looked at.
func (q *Queue) age(now time.Time, from, to *level) {
	for front := from.ages.Front(); front != nil; front = from.ages.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.entered) < q.cfg.AgeAfter {
			return
		}
		from.remove(e)
		e.entered = now
		to.push(e)
	}
}

// full reports whether a bound on the number of items keeps it out.
func (q *Queue) full(it *Item) (Scope, bool) {
	n := len(q.byID)
	if n >= q.cfg.Limit {
		return ScopeQueue, true
	}
	room := math.Ceil(float64(q.cfg.Limit) * classRoom[it.Class])
	if float64(n) >= room {
		return ScopeClass, true
	}
	if q.accounts[it.Account] >= accountAlpha*(q.cfg.Limit-n) {
		return ScopeAccount, true
	}
	return "", false
}

// predict returns the wait that a new item faces. It leaves out what may yet
// arrive in higher classes; Expire corrects that as it comes.
func (q *Queue) predict(it *Item) time.Duration {
	ahead := float64(q.workAbove(it.Class))
	k := flowKey{account: it.Account, native: it.Class}
	ahead += q.levels[it.Class].ahead(k, it.Share)
	return q.wait(ahead)
}

// wait converts work ahead into a time.
func (q *Queue) wait(work float64) time.Duration {
	mean := 1.0
	if n := len(q.byID); n > 0 {
		mean = float64(q.work) / float64(n)
	}
	return q.est.wait(work, mean)
}

// workAbove returns the waiting work in the classes above c.
func (q *Queue) workAbove(c Class) int64 {
	var sum int64
	for _, l := range q.levels[:c] {
		sum += l.work
	}
	return sum
}

// workUpTo returns the waiting work in c and the classes above it.
func (q *Queue) workUpTo(c Class) float64 {
	return float64(q.workAbove(c) + q.levels[c].work)
}

// hopeless removes from the levels, and returns, the entries whose deadline is
// out of reach. It goes through the queue in the order of service and counts
// only entries that stay, so that giving one up can save those behind it.
func (q *Queue) hopeless(now time.Time) []*entry {
	var lost []*entry
	var ahead float64
	for _, l := range q.levels {
		var here []*entry
		l.walk(func(e *entry) bool {
			if q.reachable(now, &e.item, ahead) {
				ahead += float64(e.item.Weight)
				return true
			}
			here = append(here, e)
			return false
		})
		for _, e := range here {
			l.remove(e)
		}
		lost = append(lost, here...)
	}
	return lost
}

// reachable reports whether it can still be dispatched in time behind the
// given work.
func (q *Queue) reachable(now time.Time, it *Item, ahead float64) bool {
	if it.late(now) {
		return false
	}
	wait := time.Duration(float64(q.wait(ahead)) / expireMargin)
	return !it.late(now.Add(wait))
}

// retryAfter turns a wait into a suggestion with jitter.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	d := min(max(wait, minRetryAfter), maxRetryAfter)
	if q.cfg.Rand != nil {
		d += time.Duration(q.cfg.Rand.Float64() * retryJitter * float64(d))
	}
	return d
}
