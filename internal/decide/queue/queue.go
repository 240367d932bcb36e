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
	// DefaultWindow is the time constant, in busy time, over which the drain rate is
	// averaged.
	DefaultWindow = 10 * time.Second

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

// namedRoom is the share of the queue that items of a named class and of those
// below it may fill. The rest is kept for more pressing ones.
var namedRoom = []float64{Urgent: 1, High: 0.9, Normal: 0.8, Batch: 0.6}

// Config sets up a Queue. Zero fields take the defaults.
type Config struct {
	// Limit is the number of items that may wait.
	Limit int
	// AgeAfter is the ageing interval.
	AgeAfter time.Duration
	// Rand jitters Retry-After suggestions; nil means no jitter.
	Rand *rand.Rand
	// Classes is how many classes there are; the default are the named ones.
	Classes int
	// Window is the time constant of the drain rate; the default suits requests of
	// seconds.
	Window time.Duration
	// Rate is the drain rate, in weight per second, that a backlog is taken to have
	// before any of it has been seen to finish; zero means that nothing is known, and
	// that a new backlog predicts no wait.
	Rate float64
	// Reserve is the part of the service, 0 to 1, that goes to the class below the
	// most pressing one that waits. Without it a class is not served at all while
	// more pressing work fills the pool, unless AgeAfter is short.
	Reserve float64
}

func (c Config) withDefaults() Config {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	if c.AgeAfter <= 0 {
		c.AgeAfter = DefaultAgeAfter
	}
	if c.Classes <= 0 {
		c.Classes = namedClasses
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	return c
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
func (q *Queue) normalise(it *Item) {
	it.Weight = max(it.Weight, 1)
	if !(it.Share > 0) || math.IsInf(it.Share, 0) {
		it.Share = 1
	}
	it.Class = min(it.Class, Class(len(q.levels)-1))
}

// Queue holds the waiting items of one pool. Use New.
type Queue struct {
	cfg      Config
	levels   []*level
	byID     map[string]*entry
	accounts map[string]int
	work     int64
	est      estimate
	// overdue are items that Pop met after their deadline.
	overdue []*entry
	// credit is the weight that the reserve owes to less pressing classes.
	credit float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{cfg: cfg, byID: map[string]*entry{}, accounts: map[string]int{}, est: newEstimate(cfg)}
	for c := range cfg.Classes {
		q.levels = append(q.levels, newLevel(Class(c)))
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

// SetRate replaces Config.Rate. It counts for the next backlog of which nothing is known.
func (q *Queue) SetRate(rate float64) { q.est.setPrior(rate) }

// Push adds an item. It fails with *DuplicateError, *FullError or
// *DeadlineError; the item is then not in the queue.
func (q *Queue) Push(now time.Time, it Item) error {
	q.normalise(&it)
	q.advance(now)
	if _, ok := q.byID[it.ID]; ok {
		return &DuplicateError{ID: it.ID}
	}
	if scope, full := q.full(&it); full {
		return &FullError{Scope: scope, RetryAfter: q.retryAfter(q.wait(it.Class, q.workUpTo(it.Class)) / 2)}
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
	q.normalise(&it)
	q.advance(now)
	return q.predict(&it)
}

// Pop removes and returns the next item; ok is false if there is none. Items
// found past their deadline are skipped and returned by the next Expire.
func (q *Queue) Pop(now time.Time) (it Item, ok bool) {
	q.advance(now)
	first, second := q.fronts(now)
	if first == nil {
		return Item{}, false
	}
	e := q.turn(first, second)
	e.level.serve(e)
	q.est.take(e.level.class, e.item.Weight)
	q.forget(e)
	return e.item, true
}

// fronts returns the next item of the most pressing class with any, and that of the
// next class below it. Overdue items are put aside.
func (q *Queue) fronts(now time.Time) (first, second *entry) {
	for _, l := range q.levels {
		e := l.next()
		for ; e != nil && e.item.late(now); e = l.next() {
			l.remove(e)
			q.overdue = append(q.overdue, e)
		}
		switch {
		case e == nil:
		case first == nil:
			first = e
		default:
			return first, e
		}
	}
	return first, nil
}

// turn returns which of the two is served: the second one when the reserve has saved up
// its weight.
func (q *Queue) turn(first, second *entry) *entry {
	if second == nil || q.cfg.Reserve <= 0 {
		return first
	}
	if weight := float64(second.item.Weight); q.credit >= weight {
		q.credit -= weight
		return second
	}
	q.credit += q.cfg.Reserve / (1 - q.cfg.Reserve) * float64(first.item.Weight)
	return first
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
		e.level.remove(e)
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
	for c := 1; c < len(q.levels); c++ {
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
	if float64(n) >= math.Ceil(float64(q.cfg.Limit)*q.room(it.Class)) {
		return ScopeClass, true
	}
	if q.accounts[it.Account] >= accountAlpha*(q.cfg.Limit-n) {
		return ScopeAccount, true
	}
	return "", false
}

// room is the share of the queue that a class and those below it may fill.
func (q *Queue) room(c Class) float64 {
	if len(q.levels) != namedClasses {
		return 1
	}
	return namedRoom[c]
}

// predict returns the wait that a new item faces. It leaves out what may yet
// arrive in higher classes; Expire corrects that as it comes.
func (q *Queue) predict(it *Item) time.Duration {
	ahead := float64(q.workAbove(it.Class))
	k := flowKey{account: it.Account, native: it.Class}
	ahead += q.levels[it.Class].ahead(k, it.Share)
	return q.wait(it.Class, ahead)
}

// wait converts work ahead of an item of a class into a time.
func (q *Queue) wait(c Class, work float64) time.Duration {
	mean := 1.0
	if n := len(q.byID); n > 0 {
		mean = float64(q.work) / float64(n)
	}
	return q.est.wait(c, work, mean)
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
	wait := time.Duration(float64(q.wait(it.Class, ahead)) / expireMargin)
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
