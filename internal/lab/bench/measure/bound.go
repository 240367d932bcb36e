package measure

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Access is one turn of a chat, as executed by an engine.
type Access struct {
	// Chat identifies the chat.
	Chat string
	// Start is the time at which the caller sent the turn, End that at which it
	// received the response.
	Start, End time.Time
	// Prompt is the length of the prompt, Earlier the length of the part of the
	// prompt that consists of earlier turns, and After the length of prompt and
	// answer together, all in tokens.
	Prompt, Earlier, After int
	// Cached is the number of tokens that the engine found in its cache.
	Cached int
	// Returning reports whether the turn is not the chat's first.
	Returning bool
	// Broken reports whether the response was incomplete. Such a turn may have
	// filled a cache, but is not counted.
	Broken bool
}

// Capacity is the fleet's total cache capacity from a time on, in tokens.
type Capacity struct {
	At     time.Time
	Tokens int64
}

// Reuse returns the share of the returning turns' prompt tokens found in a cache.
func Reuse(trace []Access) float64 {
	var cached, prompt int64
	for _, a := range trace {
		if !a.Returning || a.Broken {
			continue
		}
		cached += int64(a.Cached)
		prompt += int64(a.Prompt)
	}
	return ratio(float64(cached), float64(prompt))
}

// ReuseBound replays a trace against a single pooled cache with knowledge of
// the future and returns the resulting reuse. It is an upper bound for every
// placement over engines with the same total cache capacity.
//
// The model differs from real caches as follows. Each difference only removes a
// restriction:
//   - Pooling: whatever a placement keeps on separate engines fits, without
//     duplicates, into one cache of their total capacity, and every turn finds
//     it there, whichever engine created it.
//   - Churn: an engine that stops loses its content; here only the capacity
//     shrinks, and the least useful tokens are evicted.
//   - Single tokens: real caches keep whole blocks, and a token is useful only
//     together with those before it. Here each token counts by itself, so the
//     items have unit size, for which evicting the item with the furthest next
//     use, or not admitting it, is optimal (Belady), also under a capacity
//     that changes over time.
//   - Time: a turn's tokens need no capacity between its start and its end, and
//     are inserted at the end, whether or not they were found.
//
// The bound requires that no two chats share messages, which workload.Text
// ensures. All tokens of a chat then have the same next use, the chat's next
// turn, and form one item here, of which the cache may hold a part.
func ReuseBound(trace []Access, capacity []Capacity) float64 {
	r := newReplay(trace, capacity)
	for _, ev := range r.events {
		r.step(ev)
	}
	return ratio(r.hits, r.prompt)
}

type eventKind int

const (
	// Ends precede starts of the same time, so that no hit is missed.
	eventEnd eventKind = iota
	eventCapacity
	eventStart
)

type event struct {
	at     time.Time
	kind   eventKind
	access *Access
	// next is when the chat's next turn starts.
	next   time.Time
	tokens int64
}

// resident is the part of a chat that is in the cache.
type resident struct {
	chat   string
	next   time.Time
	tokens int64
	index  int
}

type replay struct {
	events   []event
	capacity int64
	used     int64
	byChat   map[string]*resident
	byNext   nextUseHeap
	hits     float64
	prompt   float64
}

// neverUsed is the next use of an item that is not used again.
var neverUsed = time.Unix(math.MaxInt32, 0)

func newReplay(trace []Access, capacity []Capacity) *replay {
	r := &replay{byChat: make(map[string]*resident)}
	sorted := slices.Clone(trace)
	slices.SortFunc(sorted, func(a, b Access) int { return a.Start.Compare(b.Start) })
	next := make(map[string]time.Time)
	for i := range slices.Backward(sorted) {
		a := &sorted[i]
		use, again := next[a.Chat]
		if !again {
			use = neverUsed
		}
		r.events = append(r.events,
			event{at: a.Start, kind: eventStart, access: a},
			event{at: a.End, kind: eventEnd, access: a, next: use})
		next[a.Chat] = a.Start
	}
	for _, c := range capacity {
		r.events = append(r.events, event{at: c.At, kind: eventCapacity, tokens: c.Tokens})
	}
	slices.SortStableFunc(r.events, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.kind, b.kind))
	})
	return r
}

func (r *replay) step(ev event) {
	switch ev.kind {
	case eventCapacity:
		r.capacity = ev.tokens
		r.evict()
	case eventStart:
		r.lookUp(ev.access)
	case eventEnd:
		r.insert(ev)
	}
}

// lookUp counts the cached tokens of the turn's chat and removes them from the
// cache. insert adds them again when the turn ends.
func (r *replay) lookUp(a *Access) {
	var found int64
	if it := r.byChat[a.Chat]; it != nil {
		found = min(it.tokens, int64(a.Earlier))
		r.remove(it)
	}
	if a.Returning && !a.Broken {
		r.hits += float64(found)
		r.prompt += float64(a.Prompt)
	}
}

// insert adds the turn's tokens and evicts the least useful ones, which may be
// the new ones.
func (r *replay) insert(ev event) {
	if ev.next.Equal(neverUsed) {
		return
	}
	if old := r.byChat[ev.access.Chat]; old != nil {
		r.remove(old)
	}
	it := &resident{chat: ev.access.Chat, next: ev.next, tokens: int64(ev.access.After)}
	r.byChat[it.chat] = it
	heap.Push(&r.byNext, it)
	r.used += it.tokens
	r.evict()
}

func (r *replay) remove(it *resident) {
	heap.Remove(&r.byNext, it.index)
	delete(r.byChat, it.chat)
	r.used -= it.tokens
}

func (r *replay) evict() {
	for r.used > r.capacity && len(r.byNext) > 0 {
		last := r.byNext[0]
		over := r.used - r.capacity
		if over < last.tokens {
			last.tokens -= over
			r.used -= over
			return
		}
		r.remove(last)
	}
}

// nextUseHeap is a heap with the furthest next use on top.
type nextUseHeap []*resident

func (h nextUseHeap) Len() int           { return len(h) }
func (h nextUseHeap) Less(i, j int) bool { return h[i].next.After(h[j].next) }

func (h nextUseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *nextUseHeap) Push(x any) {
	it := x.(*resident)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *nextUseHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// SumCapacity converts capacity changes into the total capacity over time.
func SumCapacity(changes []Capacity) []Capacity {
	out := slices.Clone(changes)
	slices.SortStableFunc(out, func(a, b Capacity) int { return a.At.Compare(b.At) })
	for i := 1; i < len(out); i++ {
		out[i].Tokens += out[i-1].Tokens
	}
	return out
}
