package outlier

import "time"

// engine is the state of one engine. It is kept for ForgetAfter after the engine leaves the pool,
// so that a flapping engine is recognised when it rejoins.
type engine struct {
	member bool
	// since is when the engine joined, left or ended an ejection, or when expire last forgot one of
	// its ejections and flaps.
	since time.Time
	// consecutive counts the stalls and failures since the last success.
	consecutive int
	// excess averages the latency beyond the expected one, in seconds.
	excess average
	// failureShare averages 1 for each stall and failure and 0 for each success.
	failureShare average
	ejected      bool
	// ejections is the number of ejections, and flaps that of returns to the pool, that expire has
	// not forgotten yet.
	ejections, flaps int
	// ramp starts when an ejection ends or the engine rejoins the pool.
	ramp Ramp
}

// observe adds one observation to the averages.
func (e *engine) observe(o Observation, smoothing float64) {
	excess := max(o.Latency-o.Expected, 0).Seconds()
	switch o.Kind {
	case Success:
		e.consecutive = 0
		e.failureShare.add(0, smoothing)
	case FirstToken:
		e.excess.add(excess, smoothing)
	case Stall:
		e.consecutive++
		e.failureShare.add(1, smoothing)
		e.excess.add(excess, smoothing)
	case Failure:
		e.consecutive++
		e.failureShare.add(1, smoothing)
	}
}

// reset discards all observations. With its old averages, a returning engine would be ejected again
// at once.
func (e *engine) reset() {
	e.consecutive = 0
	e.excess = average{}
	e.failureShare = average{}
}

// average is an exponentially weighted moving average that starts at its first sample.
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
