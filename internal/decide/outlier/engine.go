package outlier

import "time"

// engine is the state of one engine. It outlives the engine's membership by
// ForgetAfter, so that one which flaps is recognised when it is back.
type engine struct {
	member bool
	// since is when the engine joined, left, or last had a repeat forgotten.
	since time.Time
	// inARow counts stalls and failures since the last success.
	inARow int
	// excess averages the latency beyond the expected one, in seconds.
	excess average
	// failures averages 1 for each stall and failure and 0 for each success.
	failures average
	ejected  bool
	// repeat counts ejections, flaps the returns to the pool.
	repeat, flaps int
	// ramp starts when an ejection ends or the engine comes back.
	ramp Ramp
}

// feed takes one observation into the averages.
func (e *engine) feed(o Observation, smoothing float64) {
	excess := max(o.Latency-o.Expected, 0).Seconds()
	switch o.Kind {
	case Success:
		e.inARow = 0
		e.failures.add(0, smoothing)
	case FirstToken:
		e.excess.add(excess, smoothing)
	case Stall:
		e.inARow++
		e.failures.add(1, smoothing)
		e.excess.add(excess, smoothing)
	case Failure:
		e.inARow++
		e.failures.add(1, smoothing)
	}
}

// clear drops what was observed. An engine that returns is judged by its new
// behaviour; its old averages would eject it again at once.
func (e *engine) clear() {
	e.inARow = 0
	e.excess = average{}
	e.failures = average{}
}

// average is an exponentially weighted moving average that starts at its first
// sample.
type average struct {
	value   float64
	samples int
}

func (a *average) add(x, smoothing float64) {
	a.samples++
	if a.samples == 1 {
		a.value = x
		return
	}
	a.value += smoothing * (x - a.value)
}
