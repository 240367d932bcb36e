// Package brittle limits the requests at an engine that falls over if it has to reject many of them
// within a second. It reads no clock; times are arguments.
//
// The load pattern: engines state a tolerance, let fewer requests wait than before without saying how
// many, and one that falls leaves its load to the others, which are the next to fall. Requests are
// therefore admitted only as far as the engine has shown room, and each rejection counts for the
// whole fleet, at the router that owns the engine's gate.
package brittle

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxTolerance bounds a stated tolerance, in rejections a second.
	maxTolerance = 1 << 20
	// window is the period over which rejections are counted.
	window = time.Second
	// growAfter is the time without a rejection after which one more request is admitted.
	growAfter = time.Second
	// probeTolerance is the least tolerance at which more requests are admitted than the engine has
	// slots: finding out whether they may wait costs a rejection.
	probeTolerance = 2
	// maxExtra is the number of requests beyond its slots that are admitted to an engine at most.
	maxExtra = 3
	// toleranceShare is the share of the tolerance after which no requests are admitted until the
	// rejections are over. Routers send some before they know of the others' rejections.
	toleranceShare = 0.5
)

// Tolerance is the number of rejections a second that an engine bears.
type Tolerance int

// ParseTolerance reads a stated tolerance. ok is false if nothing is stated. A value that is no number
// states that the engine is brittle and not how much, so that it tolerates nothing.
func ParseTolerance(text string) (t Tolerance, ok bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, true
	}
	return Tolerance(min(n, maxTolerance)), true
}

// Room estimates how many requests may be at an engine at once. The zero value is ready to use. It is
// not safe for concurrent use.
type Room struct {
	limit     int
	changedAt time.Duration
	rejected  []time.Duration
}

// Limit returns how many requests may be at an engine with so many slots and this tolerance at now.
func (r *Room) Limit(slots int, t Tolerance, now time.Duration) int {
	slots = max(slots, 1)
	if r.limit == 0 {
		r.limit, r.changedAt = slots, now
	}
	if r.recent(now) > int(toleranceShare*float64(t)) {
		return 0
	}
	most := slots
	if t >= probeTolerance {
		most += maxExtra
	}
	if r.limit < most && now-r.changedAt >= growAfter {
		r.limit++
		r.changedAt = now
	}
	return min(r.limit, most)
}

// Reject records that the engine has rejected a request while others were at it.
func (r *Room) Reject(others int, now time.Duration) {
	r.rejected = append(r.rejected, now)
	r.limit = max(1, min(r.limit, others))
	r.changedAt = now
}

// recent returns the number of rejections within the window.
func (r *Room) recent(now time.Duration) int {
	for len(r.rejected) > 0 && now-r.rejected[0] > window {
		r.rejected = r.rejected[1:]
	}
	return len(r.rejected)
}
