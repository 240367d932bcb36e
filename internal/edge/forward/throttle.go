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
	byKey  map[throttleKey]*gate.Throttle
}

// refuses says whether a request is to be refused without asking.
func (t *throttles) shouldRefuse(key throttleKey, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := t.throttle(key).Refuses(now, t.random())
	if refused {
		t.throttle(key).Note(now, false)
	}
	return refused
}

// note adds whether a request that asked has a place.
func (t *throttles) record(key throttleKey, granted bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttle(key).Note(now, granted)
}

// get returns the state of a key. The caller holds the mutex.
func (t *throttles) throttle(key throttleKey) *gate.Throttle {
	state := t.byKey[key]
	if state == nil {
		state = &gate.Throttle{}
		t.byKey[key] = state
	}
	return state
}
