package model

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at time.Duration
	// order keeps events of the same moment in the order in which they were set.
	order int
	do    func()
}

// agenda holds the events to come, the next one first.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return e
}

// Clock is virtual time: events are set for moments and run in their order.
type Clock struct {
	now    time.Duration
	order  int
	agenda agenda
}

// Now is the present moment.
func (c *Clock) Now() time.Duration { return c.now }

// At runs do at a moment, or now if that has passed.
func (c *Clock) At(at time.Duration, do func()) {
	c.order++
	heap.Push(&c.agenda, event{at: max(at, c.now), order: c.order, do: do})
}

// After runs do d from now.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.now+d, do) }

// Run runs the events up to a moment.
func (c *Clock) Run(until time.Duration) {
	for len(c.agenda) > 0 && c.agenda[0].at <= until {
		e := heap.Pop(&c.agenda).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
