// Package backoff decides how long an engine that rejects requests with a Retry-After header gets
// none, and how requests return to it. It reads no clock: times are arguments.
//
// A pause is between one router and one start of an engine. Other routers keep sending: the engine
// has asked only the one that it rejected, and may still have capacity for the others.
//
// Load pattern: an overloaded engine rejects many routers within milliseconds and states the same
// time to each. Without a spread all of them would return at once, each with every request that
// prefers this engine, and it would be overloaded again.
package backoff

import "time"

const (
	// spreadPerRouter is the time by which the fleet's first requests to an engine after a pause are
	// apart on average: each router delays its return by a random time of up to spreadPerRouter for
	// each router of the fleet.
	spreadPerRouter = 5 * time.Millisecond
	// maxSpread bounds that delay, in which the engine gets less than it could serve.
	maxSpread = 1500 * time.Millisecond
	// firstAllowed is the number of requests that may wait for the engine's response when a router
	// returns to it. Each response doubles it.
	firstAllowed = 1
	// fullyReturned is the number at which the return is complete.
	fullyReturned = 8
)

// Backoff is the pause of one engine and the return of requests to it afterwards. The zero value is
// an engine that gets requests without restrictions.
type Backoff struct {
	// until is the end of the pause that the engine asked for, and resumeAt the time at which this
	// router returns.
	until, resumeAt time.Duration
	// allowed is how many requests may wait for a response, and waiting how many do. allowed is zero
	// unless there was a pause from which the return is not complete.
	allowed, waiting int
}

// Reject records a rejection at now that asks for a pause. Of several pauses the one that ends last
// counts. routers is the number of routers in the fleet and random a number from 0 to 1. It reports
// whether the end of the pause has changed.
func (b *Backoff) Reject(now, pause time.Duration, routers int, random float64) bool {
	if pause <= 0 {
		return false
	}
	b.allowed = firstAllowed
	if now+pause <= b.until {
		return false
	}
	b.until = now + pause
	spread := min(time.Duration(routers)*spreadPerRouter, maxSpread)
	b.resumeAt = b.until + time.Duration(random*float64(spread))
	return true
}

// Admits reports whether a request may be sent at now.
func (b *Backoff) Admits(now time.Duration) bool {
	return b.allowed == 0 || now >= b.resumeAt && b.waiting < b.allowed
}

// Paused reports whether the router sends the engine nothing at now.
func (b *Backoff) Paused(now time.Duration) bool { return b.allowed > 0 && now < b.resumeAt }

// Start records that a request is sent, and reports whether it is counted: then End must be called
// once.
func (b *Backoff) Start() bool {
	if b.allowed == 0 {
		return false
	}
	b.waiting++
	return true
}

// End records the end of the wait for the response to a counted request at now. accepted means that
// the engine has accepted the request. Requests that were sent before a pause say nothing about the
// time after it.
func (b *Backoff) End(accepted bool, now time.Duration) {
	if b.waiting > 0 {
		b.waiting--
	}
	if !accepted || b.allowed == 0 || now < b.resumeAt {
		return
	}
	b.allowed *= 2
	if b.allowed >= fullyReturned {
		*b = Backoff{}
	}
}

// ResumeAt returns the time at which this router returns, or zero if there was no pause from which
// the return is not complete.
func (b *Backoff) ResumeAt() time.Duration {
	if b.allowed == 0 {
		return 0
	}
	return b.resumeAt
}

const (
	// urgencyGap is how much earlier the callers of one urgency return than those of the next one.
	urgencyGap = 50 * time.Millisecond
	// callerSpread is the time over which the callers of one urgency return.
	callerSpread = 250 * time.Millisecond
)

// RetryAfter returns after how long a caller should retry that was refused because all engines are
// paused: not before the first of them is used again, which is in wait, urgent callers first and not
// all at once. urgency is the rank of the request, 0 for the most urgent; random is a number from 0
// to 1.
func RetryAfter(wait time.Duration, urgency int, random float64) time.Duration {
	return max(wait, 0) + time.Duration(urgency)*urgencyGap + time.Duration(random*float64(callerSpread))
}
