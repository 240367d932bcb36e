package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
)

// throttleKey identifies requests with the same chance of getting a permit.
type throttleKey struct {
	service string
	urgency int
	late    bool
	// beyond is set for requests beyond the share of account, which is empty otherwise.
	beyond  bool
	account string
}

// throttles decides for which requests a permit is requested. It is safe for concurrent use.
type throttles struct {
	mu     sync.Mutex
	random func() float64
	byKey  map[throttleKey]*gate.Throttle
}

// shouldRefuse reports whether a request is refused without requesting a permit, and records the
// refusal.
func (t *throttles) shouldRefuse(key throttleKey, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := t.throttle(key).ShouldRefuse(now, t.random())
	if refused {
		t.throttle(key).Note(now, false)
	}
	return refused
}

// record records whether a request got a permit.
func (t *throttles) record(key throttleKey, granted bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttle(key).Note(now, granted)
}

// throttle returns the throttle of a key. The caller holds the mutex.
func (t *throttles) throttle(key throttleKey) *gate.Throttle {
	return valueOf(t.byKey, key)
}
