package gate

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant with which past requests are discounted.
	throttleWindow = 500 * time.Millisecond
	// throttleFactor is the allowed ratio of slot requests to grants. It is above one, so that an
	// owner has a waiting request when the next slot becomes free.
	throttleFactor = 2
	// throttleSlack is the number of requests allowed in any case, so that a router whose requests
	// were all refused notices when slots are free again.
	throttleSlack = 3
)

// Throttle refuses requests without requesting a slot, based on the outcomes of earlier ones
// (client-side adaptive throttling). The zero value refuses none. It is not safe for concurrent
// use.
//
// Without a Throttle, at several times the engines' capacity, a router requests a slot for each
// request from up to three owners, and all of them refuse. These calls saturate the owners' links,
// grants reach the requesting routers late, and granted slots stay unused. A refusal by the
// Throttle costs no call.
type Throttle struct {
	requests, granted float64
	updatedAt         time.Duration
}

// ShouldRefuse reports whether to refuse a request without requesting a slot; random is a number
// from 0 to 1. The share to be refused consists of the recent requests in excess of throttleFactor
// times the grants plus throttleSlack.
func (t *Throttle) ShouldRefuse(now time.Duration, random float64) bool {
	t.decay(now)
	excess := t.requests - throttleFactor*t.granted - throttleSlack
	return random < excess/(t.requests+1)
}

// Note counts a request and whether it was granted a slot. A request refused because of
// ShouldRefuse counts as not granted.
func (t *Throttle) Note(now time.Duration, granted bool) {
	t.decay(now)
	t.requests++
	if granted {
		t.granted++
	}
}

func (t *Throttle) decay(now time.Duration) {
	if now <= t.updatedAt {
		return
	}
	keep := math.Exp(-(now - t.updatedAt).Seconds() / throttleWindow.Seconds())
	t.requests *= keep
	t.granted *= keep
	t.updatedAt = now
}
