package gate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against values that no engine can mean.
func TestParseEngineLoad(t *testing.T) {
	for _, tc := range []struct {
		text   string
		load   EngineLoad
		stated bool
		bad    bool
	}{
		{"", EngineLoad{}, false, false}, {"3,1,8", EngineLoad{3, 1, 8}, true, false}, {" 3, 1 ,8,250", EngineLoad{3, 1, 8}, true, false},
		{"3,1", EngineLoad{}, false, true}, {"3,-1,8", EngineLoad{}, false, true}, {"a,1,8", EngineLoad{}, false, true},
		{"3,1,99999999999", EngineLoad{}, false, true}, {"3,1,0", EngineLoad{Running: 3, Waiting: 1}, false, false},
	} {
		load, stated, err := ParseEngineLoad(tc.text)
		require.Equal(t, tc.bad, ErrEngineLoad.Has(err), tc.text)
		require.Equal(t, tc.stated, stated, tc.text)
		if !tc.bad {
			require.Equal(t, tc.load, load, tc.text)
		}
	}
}

// shortRequests simulates an engine with six slots behind its gate, and short requests that take a while to
// it and back.
type shortRequests struct {
	rng     *rand.Rand
	gate    *Gate
	fill    *Fill
	way     time.Duration
	now     time.Duration
	events  eventHeap
	running int
	waiting []string
	busy    time.Duration
	waited  time.Duration
	served  int
	arrived map[string]time.Duration
}

type simEvent struct {
	at     time.Duration
	action func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	simSlots  = 6
	simPlaces = simSlots + 3
	simWork   = 30 * time.Millisecond
)

func (s *shortRequests) after(d time.Duration, action func()) {
	heap.Push(&s.events, simEvent{s.now + d, action})
}

func (s *shortRequests) run(perSecond float64, duration time.Duration) {
	for i := 0; s.now < duration; i++ {
		next := s.now + time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second))
		for len(s.events) > 0 && s.events[0].at <= next {
			e := heap.Pop(&s.events).(simEvent)
			s.now = e.at
			e.action()
		}
		s.now = next
		req := newRequest(fmt.Sprint(i), s.now, 90*time.Millisecond)
		req.Hold = simWork
		if decision, _ := s.gate.Acquire(at(s.now), req); decision.Granted {
			s.send(req.ID)
		}
	}
}

func (s *shortRequests) send(id string) {
	s.after(s.way/2, func() {
		s.arrived[id] = s.now
		s.waiting = append(s.waiting, id)
		s.start()
	})
}

func (s *shortRequests) start() {
	for s.running < simSlots && len(s.waiting) > 0 {
		id := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.waited += s.now - s.arrived[id]
		s.served++
		work := time.Duration(float64(simWork) * math.Exp(0.5*s.rng.NormFloat64()-0.125))
		s.busy += work
		s.after(work, func() { s.end(id) })
	}
}

func (s *shortRequests) end(id string) {
	s.running--
	s.start()
	load := EngineLoad{Running: s.running, Waiting: len(s.waiting), Slots: simSlots}
	s.after(s.way/2, func() {
		if s.fill != nil {
			s.fill.Observe(load, s.gate.Waiting() > 0)
			s.gate.SetSlots(s.fill.Limit(simPlaces, 2*simPlaces))
		}
		s.gate.Release(at(s.now), id)
		for _, d := range s.gate.Settle(at(s.now)) {
			if d.Granted {
				s.send(d.ID)
			}
		}
	})
}

// busyShare returns the busy share of the slots and the mean wait at the engine, at a load relative to what
// the engine can serve.
func busyShare(load float64, way time.Duration, fill *Fill) (busy float64, meanWait time.Duration) {
	const duration = 20 * time.Second
	s := &shortRequests{rng: rand.New(rand.NewPCG(1, 2)), gate: newGate(simPlaces), fill: fill, way: way, arrived: map[string]time.Duration{}}
	s.run(load*simSlots/simWork.Seconds(), duration)
	return s.busy.Seconds() / (simSlots * duration.Seconds()), s.waited / time.Duration(s.served)
}

// Guards against slots that stand idle beside refusals: requests that run for 30 ms hold their permits on
// their way too. Required is 0.90 of what the engine can give, at 2, 4, 8 and 14 times as many requests.
func TestShortRequestsKeepSlotsBusy(t *testing.T) {
	for _, load := range []float64{2, 4, 8, 14} {
		for _, way := range []time.Duration{4 * time.Millisecond, 25 * time.Millisecond, 45 * time.Millisecond} {
			busy, wait := busyShare(load, way, &Fill{})
			require.Greater(t, busy, 0.9, "%.0f times, %s", load, way)
			require.Less(t, wait, 40*time.Millisecond, "%.0f times, %s: requests wait at the engine", load, way)
		}
		before, _ := busyShare(load, 45*time.Millisecond, nil)
		require.Less(t, before, 0.7, "without statements")
	}
}

// Guards against a limit that grows while nobody waits, or that stays high once requests wait at the engine.
func TestFillFollowsStatements(t *testing.T) {
	var f Fill
	for range 100 {
		f.Observe(EngineLoad{Running: 1, Slots: 6}, false)
	}
	require.Equal(t, 9, f.Limit(9, 18), "nobody waits")
	for range 100 {
		f.Observe(EngineLoad{Running: 1, Slots: 6}, true)
	}
	require.Equal(t, 15, f.Limit(9, 18))
	require.Equal(t, 12, f.Limit(9, 12))
	require.Equal(t, 9, f.Limit(9, 0), "the sender states no bound")
	for range 100 {
		f.Observe(EngineLoad{Running: 6, Waiting: 4, Slots: 6}, true)
	}
	require.Equal(t, 9, f.Limit(9, 18))
}
