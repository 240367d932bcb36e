package gate

import "time"

// Pace bounds how often requests may be sent to an engine that bears few, such as one that has
// just started. The zero value does not bound.
type Pace struct {
	// PerSecond is how many requests a second may be granted, evenly spaced.
	PerSecond float64
	// Burst is how many may be granted at once after a pause; less than 1 counts as 1.
	Burst int
	// For is how long the pace holds.
	For time.Duration
}

// window is the span in which the operators count requests to a cold engine.
const window = time.Second

// jitterShare is the part of the window by which the ways of two requests to an engine may
// differ: grants of a longer span can arrive within one window.
const jitterShare = 0.2

// ownersAtOnce is how many routers may take themselves for the owner of the same gate, while they
// disagree on who is there. Each keeps to its part of the bound.
const ownersAtOnce = 2

// PaceFor returns the pace of one owner that keeps all owners together within most requests in any
// window, of which slack may come at once.
func PaceFor(most, slack float64, lasts time.Duration) Pace {
	burst := max(int(slack/ownersAtOnce), 1)
	steady := max(most/ownersAtOnce-float64(burst), 0)
	return Pace{PerSecond: steady / ((1 + jitterShare) * window.Seconds()), Burst: burst, For: lasts}
}

// pacer spaces grants by a Pace: the generic cell rate algorithm.
type pacer struct {
	interval  time.Duration
	tolerance time.Duration
	until     time.Time
	// next is when the next grant is due if all come evenly spaced.
	next time.Time
}

// set puts a pace in force from now on. A pace that holds already is prolonged, never cut short:
// askers hear at different times how long an engine bears few requests.
func (p *pacer) set(now time.Time, pace Pace) {
	if pace.PerSecond <= 0 || pace.For <= 0 {
		return
	}
	p.interval = time.Duration(float64(time.Second) / pace.PerSecond)
	p.tolerance = time.Duration(max(pace.Burst, 1)-1) * p.interval
	if until := now.Add(pace.For); until.After(p.until) {
		p.until = until
	}
}

func (p *pacer) holds(now time.Time) bool { return now.Before(p.until) }

// allows says whether a grant may be given at now.
func (p *pacer) allows(now time.Time) bool {
	return !p.holds(now) || !now.Add(p.tolerance).Before(p.next)
}

// granted notes a grant.
func (p *pacer) granted(now time.Time) {
	if !p.holds(now) {
		return
	}
	if now.After(p.next) {
		p.next = now
	}
	p.next = p.next.Add(p.interval)
}

// perSecond is how many grants a second the pace allows, and false if none holds.
func (p *pacer) perSecond(now time.Time) (float64, bool) {
	if !p.holds(now) {
		return 0, false
	}
	return 1 / p.interval.Seconds(), true
}
