// Package queue orders the requests that wait at one router for one pool.
//
// Classes are served by strict priority, and client accounts within a class by weighted
// fair queueing. A waiting item is promoted by one class after each ageing interval, so
// that no class starves. An item that isn't expected to be dispatched by its deadline
// is rejected on arrival, or as soon as the prediction changes, instead of being held
// until the deadline.
//
// A Queue isn't safe for concurrent use and reads no clock: every method takes the time
// from its caller, and successive times must not decrease.
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
	// DefaultAgeAfter is how long an item waits in a class before it is promoted to the
	// next. A batch item competes with urgent ones after three intervals.
	DefaultAgeAfter = 10 * time.Second
	// DefaultWindow is the time constant, in busy time, over which the drain rate is
	// averaged.
	DefaultWindow = 10 * time.Second

	// agedShareFactor scales an account's share for items above their own class: enough
	// to prevent starvation, too little to crowd out the items that belong to that
	// class.
	agedShareFactor = 0.1
	// accountAlpha limits the items of one account to this multiple of the free
	// capacity. A single account can fill 4/5 of the queue, so that an account which
	// arrives during another's surge can still queue requests.
	accountAlpha = 4
	// expireMargin is the factor by which the predicted wait must exceed the remaining
	// time before a waiting item is expired. Without it each dip of the measured rate
	// would expire items that could be served a second later.
	expireMargin = 1.25

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the largest random addition to a suggested wait, as a share of it.
	// Without it all rejected callers would retry at the same moment.
	retryJitter = 0.5
)

// namedFillLimits holds, by named class, the share of Config.Limit from which the queue
// accepts no more items of the class, whatever the classes of the waiting items are.
// The rest is reserved for higher classes.
var namedFillLimits = []float64{Urgent: 1, High: 0.9, Normal: 0.8, Batch: 0.6}

// Config configures a Queue. Zero fields take the defaults; Rand, Rate and Reserve have
// none.
type Config struct {
	// Limit is the number of items that may wait.
	Limit int
	// AgeAfter is the ageing interval.
	AgeAfter time.Duration
	// Rand jitters the suggested retry times; nil means no jitter.
	Rand *rand.Rand
	// Classes is the number of classes; the default is that of the named ones.
	Classes int
	// Window is the time constant of the drain rate. The default suits requests that
	// take seconds.
	Window time.Duration
	// Rate is the drain rate, in weight per second, assumed for a backlog of which
	// nothing has completed yet. With zero, a new backlog predicts no wait.
	Rate float64
	// Reserve is the share of the service, from 0 to less than 1, that is reserved for
	// the second highest class with waiting items. With a Reserve of zero and a long
	// AgeAfter, a class isn't served at all while work of higher classes fills the
	// pool.
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
	// Share is the account's weight against other accounts; values that aren't positive
	// and finite count as 1.
	Share float64
	// Deadline is the latest useful time of dispatch; zero means none.
	Deadline time.Time
	// Value is opaque to the queue.
	Value any
}

// missesDeadline reports whether a dispatch at t would be after the deadline.
func (it *Item) missesDeadline(t time.Time) bool {
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

// Queue holds the waiting items of one pool. It must be created with New.
type Queue struct {
	cfg            Config
	levels         []*level
	byID           map[string]*entry
	itemsByAccount map[string]int
	totalWork      int64
	drain          drainEstimator
	// overdue are items that Pop found past their deadline.
	overdue []*entry
	// reserveCredit is the weight of service that Config.Reserve has accumulated for
	// the second highest class and that hasn't been used yet.
	reserveCredit float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{cfg: cfg, byID: map[string]*entry{}, itemsByAccount: map[string]int{}, drain: newDrainEstimator(cfg)}
	for c := range cfg.Classes {
		q.levels = append(q.levels, newLevel(Class(c)))
	}
	return q
}

// Len returns the number of items in the queue, including overdue ones that Expire
// hasn't returned yet.
func (q *Queue) Len() int { return len(q.byID) }

// Work returns the total weight of the items that Len counts.
func (q *Queue) Work() int64 { return q.totalWork }

// Observe records that work of the given weight completed at the pool, which frees
// capacity for waiting items.
func (q *Queue) Observe(now time.Time, weight int64) {
	q.advance(now)
	q.drain.recordCompleted(weight)
}

// SetRate replaces Config.Rate. The new rate applies at once if the queue has neither a
// rate nor a measurement yet, and otherwise once it next discards its measurements.
func (q *Queue) SetRate(rate float64) { q.drain.setPriorRate(rate) }

// Push adds an item. It returns *DuplicateError, *FullError or *DeadlineError if the
// item isn't accepted.
func (q *Queue) Push(now time.Time, it Item) error {
	q.normalise(&it)
	q.advance(now)
	if _, ok := q.byID[it.ID]; ok {
		return &DuplicateError{ID: it.ID}
	}
	if scope, exceeded := q.exceededBound(&it); exceeded {
		return &FullError{Scope: scope, RetryAfter: q.retryAfter(q.drainTime(it.Class, q.workUpTo(it.Class)) / 2)}
	}
	wait := q.predictWait(&it)
	if it.missesDeadline(now.Add(wait)) {
		excess := now.Add(wait).Sub(it.Deadline)
		return &DeadlineError{PredictedWait: wait, RetryAfter: q.retryAfter(excess)}
	}
	q.enqueue(now, it)
	return nil
}

// PredictWait returns how long an item would wait if it were pushed now.
func (q *Queue) PredictWait(now time.Time, it Item) time.Duration {
	q.normalise(&it)
	q.advance(now)
	return q.predictWait(&it)
}

// Pop removes and returns the next item; ok is false if there is none. Items found past
// their deadline are skipped and returned by the next call of Expire.
func (q *Queue) Pop(now time.Time) (it Item, ok bool) {
	return q.PopIf(now, func(*Item) bool { return true })
}

// PopIf is Pop if the next item is suitable, and otherwise leaves it the next one.
func (q *Queue) PopIf(now time.Time, suitable func(*Item) bool) (it Item, ok bool) {
	q.advance(now)
	first, second := q.heads(now)
	if first == nil {
		return Item{}, false
	}
	credit := q.reserveCredit
	e := q.selectHead(first, second)
	if !suitable(&e.item) {
		q.reserveCredit = credit
		return Item{}, false
	}
	e.level.serve(e)
	q.drain.recordDispatched(e.level.class, e.item.Weight)
	q.untrack(e)
	return e.item, true
}

// heads returns the next item of the highest class that has any, and that of the next
// class below it that has any. It moves overdue items to q.overdue.
func (q *Queue) heads(now time.Time) (first, second *entry) {
	for _, l := range q.levels {
		e := l.peek()
		for ; e != nil && e.item.missesDeadline(now); e = l.peek() {
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

// selectHead returns the entry to be served: second once reserveCredit covers the
// weight of second, else first.
func (q *Queue) selectHead(first, second *entry) *entry {
	if second == nil || q.cfg.Reserve <= 0 {
		return first
	}
	if weight := float64(second.item.Weight); q.reserveCredit >= weight {
		q.reserveCredit -= weight
		return second
	}
	q.reserveCredit += q.cfg.Reserve / (1 - q.cfg.Reserve) * float64(first.item.Weight)
	return first
}

// Expire removes and returns every item whose deadline has passed or can't be met at
// the current drain rate. The caller should refuse each of them at once.
func (q *Queue) Expire(now time.Time) []Item {
	q.advance(now)
	expired := q.overdue
	q.overdue = nil
	expired = append(expired, q.removeUnmeetable(now)...)
	var items []Item
	for _, e := range expired {
		q.untrack(e)
		items = append(items, e.item)
	}
	return items
}

// Remove removes an item whose caller has disconnected; ok is false if it has already
// left the queue.
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
	q.untrack(e)
	return e.item, true
}

// enqueue adds an accepted item to its level.
func (q *Queue) enqueue(now time.Time, it Item) {
	if len(q.byID) == 0 {
		q.drain.beginBacklog(now)
	}
	e := &entry{item: it, entered: now}
	q.byID[it.ID] = e
	q.itemsByAccount[it.Account]++
	q.totalWork += it.Weight
	q.levels[it.Class].push(e)
}

// untrack removes an entry that is in no level any more from the index and the totals.
func (q *Queue) untrack(e *entry) {
	delete(q.byID, e.item.ID)
	q.totalWork -= e.item.Weight
	q.itemsByAccount[e.item.Account]--
	if q.itemsByAccount[e.item.Account] == 0 {
		delete(q.itemsByAccount, e.item.Account)
	}
}

// advance moves the drain estimate and the ageing to now.
func (q *Queue) advance(now time.Time) {
	q.drain.advance(now, len(q.byID) > 0)
	for c := 1; c < len(q.levels); c++ {
		q.promoteAged(now, q.levels[c], q.levels[c-1])
	}
}

// promoteAged moves items that have waited long enough in from to the level above.
// Entries are in order of entry, so only the front has to be checked.
func (q *Queue) promoteAged(now time.Time, from, to *level) {
	for front := from.byAge.Front(); front != nil; front = from.byAge.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.entered) < q.cfg.AgeAfter {
			return
		}
		from.remove(e)
		e.entered = now
		to.push(e)
	}
}

// exceededBound returns the limit on the number of items that the new item would
// exceed, if any.
func (q *Queue) exceededBound(it *Item) (Scope, bool) {
	n := len(q.byID)
	if n >= q.cfg.Limit {
		return ScopeQueue, true
	}
	if float64(n) >= math.Ceil(float64(q.cfg.Limit)*q.fillLimit(it.Class)) {
		return ScopeClass, true
	}
	if q.itemsByAccount[it.Account] >= accountAlpha*(q.cfg.Limit-n) {
		return ScopeAccount, true
	}
	return "", false
}

// fillLimit returns the share of Config.Limit from which the queue accepts no more
// items of the class. A queue with another number of classes has no such limits.
func (q *Queue) fillLimit(c Class) float64 {
	if len(q.levels) != namedClasses {
		return 1
	}
	return namedFillLimits[c]
}

// predictWait returns the expected wait of a new item. It leaves out items of higher
// classes that arrive later; Expire takes those into account once they have arrived.
func (q *Queue) predictWait(it *Item) time.Duration {
	ahead := float64(q.workAbove(it.Class))
	k := flowKey{account: it.Account, nativeClass: it.Class}
	ahead += q.levels[it.Class].workAhead(k, it.Share)
	return q.drainTime(it.Class, ahead)
}

// drainTime converts the work ahead of an item of a class into a wait.
func (q *Queue) drainTime(c Class, work float64) time.Duration {
	mean := 1.0
	if n := len(q.byID); n > 0 {
		mean = float64(q.totalWork) / float64(n)
	}
	return q.drain.drainTime(c, work, mean)
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

// removeUnmeetable removes from the levels, and returns, the entries whose deadline can't
// be met. It visits the entries in the order of service and counts only the weight of
// those that stay, since the removal of one entry may let later ones meet their
// deadlines.
func (q *Queue) removeUnmeetable(now time.Time) []*entry {
	var unmeetable []*entry
	var ahead float64
	for _, l := range q.levels {
		var inLevel []*entry
		l.walk(func(e *entry) bool {
			if q.canMeetDeadline(now, &e.item, ahead) {
				ahead += float64(e.item.Weight)
				return true
			}
			inLevel = append(inLevel, e)
			return false
		})
		for _, e := range inLevel {
			l.remove(e)
		}
		unmeetable = append(unmeetable, inLevel...)
	}
	return unmeetable
}

// canMeetDeadline reports whether the item can still be dispatched by its deadline,
// with ahead as the weight of the work that is served before.
func (q *Queue) canMeetDeadline(now time.Time, it *Item, ahead float64) bool {
	if it.missesDeadline(now) {
		return false
	}
	wait := time.Duration(float64(q.drainTime(it.Class, ahead)) / expireMargin)
	return !it.missesDeadline(now.Add(wait))
}

// retryAfter converts a wait into a suggested retry time, with jitter.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	d := min(max(wait, minRetryAfter), maxRetryAfter)
	if q.cfg.Rand != nil {
		d += time.Duration(q.cfg.Rand.Float64() * retryJitter * float64(d))
	}
	return d
}
