package gate

import (
	"math"
	"time"
)

// Pace bounds the rate of requests to an engine that can serve only few, such as one that has just
// started. The zero value sets no bound.
type Pace struct {
	// PerSecond is the number of requests granted per second, evenly spaced.
	PerSecond float64
	// Burst is the number of requests that may be granted at once after a pause; values below 1
	// count as 1.
	Burst int
	// For is how long the bound applies.
	For time.Duration
}

// rateWindow is the window in which operators count the requests to a cold engine.
const rateWindow = time.Second

// deliveryJitterShare is the share of the window by which the delivery times of two requests to an
// engine may differ. Requests granted over a span longer than the window by this share can
// therefore reach the engine within one window.
const deliveryJitterShare = 0.2

// maxConcurrentOwners is how many routers may regard themselves as the owner of one gate while they
// disagree about the members of the fleet. Each grants only its share of the bound.
const maxConcurrentOwners = 2

// PaceFor returns the pace for one owner, such that in any window the engine receives at most
// maxPerWindow requests granted by all owners together, slack of which may arrive at once. A bound of
// less than one request for each owner is kept on average only.
func PaceFor(maxPerWindow, slack float64, duration time.Duration) Pace {
	share := maxPerWindow / maxConcurrentOwners
	// One request of the share is left for the steady rate: a rate of zero means no bound.
	burst := max(min(int(slack/maxConcurrentOwners), int(math.Ceil(share))-1), 1)
	steady := share - float64(burst)
	if steady <= 0 {
		steady = min(share, 1)
	}
	return Pace{PerSecond: steady / ((1 + deliveryJitterShare) * rateWindow.Seconds()), Burst: burst, For: duration}
}

// pacer spaces grants according to a Pace, with the generic cell rate algorithm (GCRA).
type pacer struct {
	interval    time.Duration
	tolerance   time.Duration
	activeUntil time.Time
	// nextDue is when the next grant is due if all are evenly spaced.
	nextDue time.Time
}

// set applies a pace from now on. It may prolong the time for which a pace is active but never
// shortens it, since routers learn at different times how long an engine is cold.
func (p *pacer) set(now time.Time, pace Pace) {
	if pace.PerSecond <= 0 || pace.For <= 0 {
		return
	}
	p.interval = time.Duration(float64(time.Second) / pace.PerSecond)
	p.tolerance = time.Duration(max(pace.Burst, 1)-1) * p.interval
	if until := now.Add(pace.For); until.After(p.activeUntil) {
		p.activeUntil = until
	}
}

func (p *pacer) active(now time.Time) bool { return now.Before(p.activeUntil) }

// allows reports whether a request may be granted at now.
func (p *pacer) allows(now time.Time) bool {
	return !p.active(now) || !now.Add(p.tolerance).Before(p.nextDue)
}

// recordGrant counts a grant at now.
func (p *pacer) recordGrant(now time.Time) {
	if !p.active(now) {
		return
	}
	if now.After(p.nextDue) {
		p.nextDue = now
	}
	p.nextDue = p.nextDue.Add(p.interval)
}

// perSecond returns the rate of grants that the pace allows, and false if no pace is active.
func (p *pacer) perSecond(now time.Time) (float64, bool) {
	if !p.active(now) {
		return 0, false
	}
	return 1 / p.interval.Seconds(), true
}
