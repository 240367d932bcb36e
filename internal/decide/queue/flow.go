package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// minSweepFlows is the number of flows below which a level isn't swept.
const minSweepFlows = 64

// flowKey identifies a flow. Items that aged into a class form a flow of their own,
// apart from those pushed into it: an account's urgent requests must not wait behind
// its aged batch work.
type flowKey struct {
	account     string
	nativeClass Class
}

// flow is the FIFO queue of one account and native class within a level.
type flow struct {
	key   flowKey
	share float64
	items *list.List // of *entry
	work  int64
	// startTag is the virtual start time of the first item or, while the flow is idle,
	// the virtual finish time of the last one served.
	startTag   float64
	activation uint64
	heapIndex  int // index in the heap, -1 while idle
}

// entry is an item and its positions in the lists.
type entry struct {
	item Item
	// level is the level of the effective class; entered is when the entry came into
	// it.
	level       *level
	entered     time.Time
	flow        *flow
	flowElement *list.Element
	ageElement  *list.Element
}

// level holds the items of one effective class and divides the service between its
// flows by start-time fair queueing: the flow with the smallest start tag is next, and
// serving weight w advances its tag by w divided by its share.
type level struct {
	class          Class
	virtualTime    float64
	flows          map[flowKey]*flow
	active         flowHeap
	byAge          *list.List // of *entry, in order of entry into the level
	work           int64
	activations    uint64
	sweepThreshold int
}

func newLevel(c Class) *level {
	return &level{class: c, flows: map[flowKey]*flow{}, byAge: list.New(), sweepThreshold: minSweepFlows}
}

// effectiveShare returns the share of the item's flow in this level.
func (l *level) effectiveShare(it *Item) float64 {
	if it.Class != l.class {
		return it.Share * agedShareFactor
	}
	return it.Share
}

// push appends e to its flow.
func (l *level) push(e *entry) {
	k := flowKey{account: e.item.Account, nativeClass: e.item.Class}
	f, ok := l.flows[k]
	if !ok {
		l.sweep()
		f = &flow{key: k, items: list.New(), heapIndex: -1}
		l.flows[k] = f
	}
	f.share = l.effectiveShare(&e.item)
	f.work += e.item.Weight
	l.work += e.item.Weight
	e.level = l
	e.flow = f
	e.flowElement = f.items.PushBack(e)
	e.ageElement = l.byAge.PushBack(e)
	if f.heapIndex < 0 {
		// An idle flow earns no credit: it starts at the current virtual time, or later
		// if it has already had more than its share.
		f.startTag = max(f.startTag, l.virtualTime)
		l.activations++
		f.activation = l.activations
		heap.Push(&l.active, f)
	}
}

// peek returns the entry to be served next, or nil if there is none.
func (l *level) peek() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].items.Front().Value.(*entry)
}

// serve removes e, which peek must have returned, and charges its flow.
func (l *level) serve(e *entry) {
	f := e.flow
	l.virtualTime = f.startTag
	f.startTag += float64(e.item.Weight) / f.share
	heap.Fix(&l.active, f.heapIndex)
	l.remove(e)
}

// remove takes e out without charging its flow.
func (l *level) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.flowElement)
	l.byAge.Remove(e.ageElement)
	f.work -= e.item.Weight
	l.work -= e.item.Weight
	if f.items.Len() > 0 {
		return
	}
	heap.Remove(&l.active, f.heapIndex)
	if len(l.active) == 0 {
		// The busy period is over; no flow is owed service.
		clear(l.flows)
		l.virtualTime = 0
	}
}

// sweep deletes idle flows that have had no more than their share. Without it every
// account ever seen would stay in memory for as long as the level isn't empty. The
// threshold doubles with the number of remaining flows, so that the cost per push is
// amortised constant.
func (l *level) sweep() {
	if len(l.flows) < l.sweepThreshold {
		return
	}
	for k, f := range l.flows {
		if f.heapIndex < 0 && f.startTag <= l.virtualTime {
			delete(l.flows, k)
		}
	}
	l.sweepThreshold = max(minSweepFlows, 2*len(l.flows))
}

// workAhead returns the work of this level that would be served before a new item of
// the given flow: the flow's own backlog, and the part of each other flow's backlog
// that fair queueing serves in the same time.
func (l *level) workAhead(k flowKey, share float64) float64 {
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

// cursor is the position in a flow during a walk.
type cursor struct {
	flow     *flow
	next     *list.Element
	startTag float64
}

// walk visits the entries in the order in which they would be served if nothing else
// arrived. An entry for which visit returns false isn't charged to its flow, so that
// the entries after it are visited earlier. walk doesn't change the level.
func (l *level) walk(visit func(*entry) bool) {
	h := make(cursorHeap, 0, len(l.active))
	for _, f := range l.active {
		h = append(h, cursor{flow: f, next: f.items.Front(), startTag: f.startTag})
	}
	heap.Init(&h)
	for len(h) > 0 {
		c := &h[0]
		e := c.next.Value.(*entry)
		c.next = c.next.Next()
		if visit(e) {
			c.startTag += float64(e.item.Weight) / c.flow.share
		}
		if c.next == nil {
			heap.Pop(&h)
			continue
		}
		heap.Fix(&h, 0)
	}
}

// flowHeap orders active flows by start tag; ties go to the flow that became active
// first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].activation < h[j].activation
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

// cursorHeap orders cursors as flowHeap orders flows.
type cursorHeap []cursor

func (h cursorHeap) Len() int { return len(h) }
func (h cursorHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].flow.activation < h[j].flow.activation
}
func (h cursorHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *cursorHeap) Push(x any)   { *h = append(*h, x.(cursor)) }
func (h *cursorHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
