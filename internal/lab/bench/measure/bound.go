package measure

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Access is one turn of a chat as an engine served it.
type Access struct {
	// Chat identifies the chat.
	Chat string
	// Start is when the caller sent the turn, End when it had the answer.
	Start, End time.Time
	// Prompt is the length of the prompt, Earlier the part of it that the turn
	// before left behind, and After the length with the answer, all in tokens.
	Prompt, Earlier, After int
	// Cached is what the engine found in its cache, in tokens.
	Cached int
	// Returning says that it isn't the chat's first turn.
	Returning bool
	// Broken says that no whole answer came: the turn may have filled a cache,
	// and is not counted.
	Broken bool
}

// Capacity is the fleet's cache from a time on, in tokens.
type Capacity struct {
	At     time.Time
	Tokens int64
}

// Reuse is the share of the returning turns' prompt tokens found in a cache.
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

// ReuseBound replays a trace against one pooled cache that knows the future
// and returns the reuse that it reaches: an upper bound for every placement
// over engines with the same total cache.
//
// It is an upper bound because each step only takes a restriction away:
//   - one pool: whatever a placement keeps on separate engines fits, without
//     copies, into one cache of their summed capacity, and in the pool every
//     turn finds it, wherever it was made;
//   - churn: an engine that goes takes its content along; here only the
//     capacity shrinks, and the least useful tokens go;
//   - single tokens: real caches keep whole blocks, and a token counts only
//     together with those before it; here each token counts by itself, so the
//     items have unit size, for which evicting the one with the furthest next
//     use, or not admitting it, is optimal (Belady), also under a capacity
//     that changes with time;
//   - time: a turn's tokens need no room between its start and its end, and
//     are offered to the cache at the end, whether or not they were found.
//
// It relies on no two chats sharing messages, which workload.Text ensures:
// all tokens of a chat then have the same next use, the chat's next turn, and
// are one item here, of which the cache may hold a part.
func ReuseBound(trace []Access, capacity []Capacity) float64 {
	r := newReplay(trace, capacity)
	for _, ev := range r.events {
		r.step(ev)
	}
	return ratio(r.hits, r.prompt)
}

type eventKind int

const (
	// Ends come before starts of the same time, so that no hit is missed.
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
	byNext   furthest
	hits     float64
	prompt   float64
}

// never is the next use of what isn't used again.
var never = time.Unix(math.MaxInt32, 0)

func newReplay(trace []Access, capacity []Capacity) *replay {
	r := &replay{byChat: make(map[string]*resident)}
	sorted := slices.Clone(trace)
	slices.SortFunc(sorted, func(a, b Access) int { return a.Start.Compare(b.Start) })
	next := make(map[string]time.Time)
	for i := range slices.Backward(sorted) {
		a := &sorted[i]
		use, again := next[a.Chat]
		if !again {
			use = never
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
		r.shrink()
	case eventStart:
		r.lookUp(ev.access)
	case eventEnd:
		r.offer(ev)
	}
}

// lookUp counts what the cache holds and takes it out until the turn's end.
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

// offer puts the turn's tokens in and evicts the least useful ones, which may
// be the new ones themselves.
func (r *replay) offer(ev event) {
	if ev.next.Equal(never) {
		return
	}
	if old := r.byChat[ev.access.Chat]; old != nil {
		r.remove(old)
	}
	it := &resident{chat: ev.access.Chat, next: ev.next, tokens: int64(ev.access.After)}
	r.byChat[it.chat] = it
	heap.Push(&r.byNext, it)
	r.used += it.tokens
	r.shrink()
}

func (r *replay) remove(it *resident) {
	heap.Remove(&r.byNext, it.index)
	delete(r.byChat, it.chat)
	r.used -= it.tokens
}

func (r *replay) shrink() {
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

// furthest is a heap with the furthest next use on top.
type furthest []*resident

func (h furthest) Len() int           { return len(h) }
func (h furthest) Less(i, j int) bool { return h[i].next.After(h[j].next) }

func (h furthest) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *furthest) Push(x any) {
	it := x.(*resident)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *furthest) Pop() any {
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

// SumCapacity turns changes of the capacity into the capacity over time.
func SumCapacity(changes []Capacity) []Capacity {
	out := slices.Clone(changes)
	slices.SortStableFunc(out, func(a, b Capacity) int { return a.At.Compare(b.At) })
	for i := 1; i < len(out); i++ {
		out[i].Tokens += out[i-1].Tokens
	}
	return out
}
