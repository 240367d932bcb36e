package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
)

// throttleKey names requests that have the same prospects of a place.
type throttleKey struct {
	service string
	urgency int
	late    bool
}

// throttles decide which requests ask for places. It is safe for concurrent use.
type throttles struct {
	mu     sync.Mutex
	random func() float64
	of     map[throttleKey]*gate.Throttle
}

// refuses says whether a request is to be refused without asking.
func (t *throttles) refuses(key throttleKey, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := t.get(key).Refuses(now, t.random())
	if refused {
		t.get(key).Note(now, false)
	}
	return refused
}

// note adds whether a request that asked has a place.
func (t *throttles) note(key throttleKey, granted bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(key).Note(now, granted)
}

// get returns the state of a key. The caller holds the mutex.
func (t *throttles) get(key throttleKey) *gate.Throttle {
	state := t.of[key]
	if state == nil {
		state = &gate.Throttle{}
		t.of[key] = state
	}
	return state
}
