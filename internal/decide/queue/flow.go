package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// minSweep is the number of flows below which idle ones are not looked for.
const minSweep = 64

// flowKey names a flow. Items that aged into a class stay apart from those
// that were pushed into it: an account's own urgent requests must not wait
// behind its aged batch work.
type flowKey struct {
	account string
	native  Class
}

// flow is the FIFO of one account and native class within a level.
type flow struct {
	key   flowKey
	share float64
	items *list.List // of *entry
	work  int64
	// tag is the virtual start time of the first item, or, while the flow is
	// idle, the virtual finish time of the last one served.
	tag   float64
	order uint64
	index int // position in the heap, -1 while idle
}

// entry is an item together with its places in the lists.
type entry struct {
	item Item
	// level is that of the effective class, and entered the time of entry into it.
	level   *level
	entered time.Time
	flow    *flow
	inFlow  *list.Element
	inAge   *list.Element
}

// level holds the items of one effective class and shares the service between
// its flows by start-time fair queueing: the flow with the smallest start tag
// is next, and serving weight w moves its tag on by w divided by its share.
type level struct {
	class   Class
	virtual float64
	flows   map[flowKey]*flow
	active  flowHeap
	ages    *list.List // of *entry, by time of entry into the level
	work    int64
	orders  uint64
	sweepAt int
}

func newLevel(c Class) *level {
	return &level{class: c, flows: map[flowKey]*flow{}, ages: list.New(), sweepAt: minSweep}
}

// shareOf returns the share of a flow of native class c in this level.
func (l *level) shareOf(it *Item) float64 {
	if it.Class != l.class {
		return it.Share * agedShare
	}
	return it.Share
}

// push appends e to its flow.
func (l *level) push(e *entry) {
	k := flowKey{account: e.item.Account, native: e.item.Class}
	f, ok := l.flows[k]
	if !ok {
		l.sweep()
		f = &flow{key: k, items: list.New(), index: -1}
		l.flows[k] = f
	}
	f.share = l.shareOf(&e.item)
	f.work += e.item.Weight
	l.work += e.item.Weight
	e.level = l
	e.flow = f
	e.inFlow = f.items.PushBack(e)
	e.inAge = l.ages.PushBack(e)
	if f.index < 0 {
		// A flow that was idle gains no credit for it: it starts at the
		// present virtual time, or later if it is still ahead of its share.
		f.tag = max(f.tag, l.virtual)
		l.orders++
		f.order = l.orders
		heap.Push(&l.active, f)
	}
}

// next returns the entry to be served next, nil if there is none.
func (l *level) next() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].items.Front().Value.(*entry)
}

// serve removes e, which next has returned, and charges its flow.
func (l *level) serve(e *entry) {
	f := e.flow
	l.virtual = f.tag
	f.tag += float64(e.item.Weight) / f.share
	heap.Fix(&l.active, f.index)
	l.remove(e)
}

// remove takes e out without charging its flow.
func (l *level) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.inFlow)
	l.ages.Remove(e.inAge)
	f.work -= e.item.Weight
	l.work -= e.item.Weight
	if f.items.Len() > 0 {
		return
	}
	heap.Remove(&l.active, f.index)
	if len(l.active) == 0 {
		// The busy period is over; nobody is owed anything.
		clear(l.flows)
		l.virtual = 0
	}
}

// sweep forgets idle flows that are no longer ahead of their share. Without it
// every account ever seen would stay in memory while the level is never empty.
// The threshold doubles with what is left, so that the cost per push is
// constant on average.
func (l *level) sweep() {
	if len(l.flows) < l.sweepAt {
		return
	}
	for k, f := range l.flows {
		if f.index < 0 && f.tag <= l.virtual {
			delete(l.flows, k)
		}
	}
	l.sweepAt = max(minSweep, 2*len(l.flows))
}

// ahead returns the work of this level that would be served before a new item
// of the given flow: the flow's own backlog, and of each other flow what fair
// sharing gives it in the same time.
func (l *level) ahead(k flowKey, share float64) float64 {
	var own float64
	if f, ok := l.flows[k]; ok {
		own = float64(f.work)
	}
	sum := own
	for _, f := range l.active {
		if f.key == k {
			continue
		}
		sum += min(float64(f.work), own*f.share/share)
	}
	return sum
}

// cursor is a flow's place during a walk.
type cursor struct {
	flow *flow
	next *list.Element
	tag  float64
}

// walk visits the entries in the order in which they would be served if
// nothing else arrived. An entry for which visit returns false is left out,
// and what follows it moves up. The level itself stays as it is.
func (l *level) walk(visit func(*entry) bool) {
	h := make(cursorHeap, 0, len(l.active))
	for _, f := range l.active {
		h = append(h, cursor{flow: f, next: f.items.Front(), tag: f.tag})
	}
	heap.Init(&h)
	for len(h) > 0 {
		c := &h[0]
		e := c.next.Value.(*entry)
		c.next = c.next.Next()
		if visit(e) {
			c.tag += float64(e.item.Weight) / c.flow.share
		}
		if c.next == nil {
			heap.Pop(&h)
			continue
		}
		heap.Fix(&h, 0)
	}
}

// flowHeap orders active flows by start tag; ties go to the one that became
// active first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// cursorHeap orders cursors as flowHeap orders flows.
type cursorHeap []cursor

func (h cursorHeap) Len() int { return len(h) }
func (h cursorHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].flow.order < h[j].flow.order
}
func (h cursorHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *cursorHeap) Push(x any)   { *h = append(*h, x.(cursor)) }
func (h *cursorHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
