package crashmodel

import (
	"container/heap"
	"time"
)

// timeline runs events in the order of their times.
type timeline struct {
	now    time.Duration
	events events
	// scheduled counts the events.
	scheduled int
}

// after schedules an event.
func (t *timeline) after(d time.Duration, do func()) {
	t.scheduled++
	heap.Push(&t.events, event{at: t.now + d, order: t.scheduled, do: do})
}

// run runs the events up to a time.
func (t *timeline) run(length time.Duration) {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		if e.at > length {
			return
		}
		t.now = e.at
		e.do()
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap of events, those at the same time in the order of their creation.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
