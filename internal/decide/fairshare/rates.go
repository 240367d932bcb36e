// Package fairshare determines which requests are within the fair share that their client account has
// of a service, while the service can't serve all requests.
//
// Load pattern: one account requests several times as much as usual, or accounts request unequal
// multiples of what there is for them. Without shares the urgent requests of one account go ahead of
// all less urgent ones of the others.
//
// Each router measures what the accounts request of it and adds what the others have measured. All
// divide the work that the whole fleet is granted, and mark the requests beyond the share of their
// account. Marked requests are served after all others, so that nothing is wasted if the division is
// wrong or outdated. A Service is not safe for concurrent use, and reads no clock.
package fairshare

import (
	"math"
	"time"
)

// Ranks is the number of ranks of urgency that are told apart within an account. The last one also
// stands for all less urgent requests.
const Ranks = 3

// Rank returns the rank of requests of a priority.
func Rank(priority int) int { return min(max(priority, 0), Ranks-1) }

const (
	// askedWindow is the time constant of the rates: short enough to show a surge within a few tenths
	// of a second, and as long as some requests of a small account.
	askedWindow = 300 * time.Millisecond
	// usualWindow is the time constant of the usual rate, in time with room.
	usualWindow = time.Minute
	// minUsualTime is the time with room before which no usual rate is known.
	minUsualTime = time.Second
)

// Rates are what some routers know of an account's requests to a service, in work per second. The
// rates of different routers add up.
type Rates struct {
	// Asked is the requested work by rank, and Granted the work that was sent to engines.
	Asked   [Ranks]float64
	Granted float64
	// Usual is the requested work while there is room for all; zero if it is not known.
	Usual float64
}

// Add returns the sum of the rates of two disjoint sets of routers.
func (r Rates) Add(o Rates) Rates {
	for rank := range r.Asked {
		r.Asked[rank] += o.Asked[rank]
	}
	r.Granted += o.Granted
	r.Usual += o.Usual
	return r
}

// TotalAsked returns the requested work of all ranks.
func (r Rates) TotalAsked() float64 { return sum(r.Asked) }

// Rounded returns the rates with about one and a half significant digits, which take half of the bytes.
func (r Rates) Rounded() Rates {
	for rank := range r.Asked {
		r.Asked[rank] = rounded(r.Asked[rank])
	}
	r.Granted, r.Usual = rounded(r.Granted), rounded(r.Usual)
	return r
}

const (
	// roundingSteps is the number of values between two powers of two that a rounded rate can take.
	roundingSteps = 16
	// minRate is the rate below which an account counts as idle, in work per second.
	minRate = 1.0 / 64
)

func rounded(rate float64) float64 {
	if rate < minRate {
		return 0
	}
	fraction, exponent := math.Frexp(rate)
	return math.Ldexp(math.Round(fraction*roundingSteps)/roundingSteps, exponent)
}

// changeShare is the relative change of a rate above which it is reported again.
const changeShare = 0.35

// Differ reports whether rates must be reported again after last was reported.
func (r Rates) Differ(last Rates) bool {
	scale := max(r.TotalAsked(), last.TotalAsked(), r.Usual, last.Usual)
	far := func(a, b float64) bool { return math.Abs(a-b) > changeShare*scale }
	for rank := range r.Asked {
		if far(r.Asked[rank], last.Asked[rank]) {
			return true
		}
	}
	return far(r.Granted, last.Granted) || far(r.Usual, last.Usual)
}

// meter measures the rates of one account at one router.
type meter struct {
	asked   [Ranks]float64
	granted float64
	at      time.Duration
	// usual is the requested work within usualWindow, as of usualAt on the clock of time with room.
	usual   float64
	usualAt time.Duration
}

// decay moves the rates to now.
func (m *meter) decay(now time.Duration) {
	if now <= m.at {
		return
	}
	keep := decayFactor(now-m.at, askedWindow)
	for rank := range m.asked {
		m.asked[rank] *= keep
	}
	m.granted *= keep
	m.at = now
}

func decayFactor(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

func (m *meter) ask(now time.Duration, rank int, work float64) {
	m.decay(now)
	m.asked[rank] += work / askedWindow.Seconds()
}

func (m *meter) grant(now time.Duration, work float64) {
	m.decay(now)
	m.granted += work / askedWindow.Seconds()
}

// countUsual counts work requested at a reading of the clock of time with room.
func (m *meter) countUsual(roomy time.Duration, work float64) {
	m.usual = m.usualAfter(roomy) + work
	m.usualAt = roomy
}

func (m *meter) usualAfter(roomy time.Duration) float64 {
	return m.usual * decayFactor(roomy-m.usualAt, usualWindow)
}

// rates returns the rates at now, after a time with room in total.
func (m *meter) rates(now, roomy time.Duration) Rates {
	m.decay(now)
	out := Rates{Asked: m.asked, Granted: m.granted}
	if roomy >= minUsualTime {
		out.Usual = m.usualAfter(roomy) / (usualWindow.Seconds() * (1 - decayFactor(roomy, usualWindow)))
	}
	return out
}
