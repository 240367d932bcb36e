package model

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a virtual time.
type event struct {
	at time.Duration
	// seq orders events of the same time as they were scheduled.
	seq    int
	action func()
}

// eventQueue is a heap of scheduled events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// Clock is a virtual clock that runs scheduled events in the order of their times.
type Clock struct {
	now     time.Duration
	lastSeq int
	events  eventQueue
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules action for a time, or for now if that has passed.
func (c *Clock) At(at time.Duration, action func()) {
	c.lastSeq++
	heap.Push(&c.events, event{at: max(at, c.now), seq: c.lastSeq, action: action})
}

// After schedules action for d from now.
func (c *Clock) After(d time.Duration, action func()) { c.At(c.now+d, action) }

// Run runs the events up to and including until, and advances the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.action()
	}
	c.now = until
}
