package queue

import (
	"math"
	"time"
)

const (
	// staleWindows is for how many windows the queue may be empty before the last rate
	// says nothing about the next backlog.
	staleWindows = 6
	// trustShare is the part of a window, in averaged busy time, for which a backlog
	// that has seen nothing finish predicts nothing. It is reached after one window.
	trustShare = 0.6
	// priorShare is the part of a window for which a rate that is given counts like one
	// that was seen. A third of a window later the two weigh the same.
	priorShare = 0.3
	// leastShare bounds from below the part of the drain that is left for a class by
	// more pressing ones, so that a prediction stays finite where they took all of it
	// and nothing is reserved.
	leastShare = 0.01
	// maxPrediction caps a predicted wait, so that sums of times stay finite.
	maxPrediction = time.Hour
)

// estimate is an exponentially decayed drain rate in weight per second.
//
// Only time with a backlog counts, and only work that finished during it. An
// average over all time would fall whenever demand is low; the first burst
// after a quiet night would then look hopeless and be refused although every
// engine is free.
type estimate struct {
	window time.Duration
	prior  float64
	// least is the part of the drain that is left for each class at least.
	least   float64
	last    time.Time
	busy    bool
	work    float64
	seconds float64
	// taken is the weight of what was dispatched of each class. What more pressing
	// classes take of the drain is not there for the others.
	taken []float64
}

func newEstimate(cfg Config) estimate {
	e := estimate{window: cfg.Window, prior: cfg.Rate, least: math.Max(cfg.Reserve, leastShare), taken: make([]float64, cfg.Classes)}
	e.reset()
	return e
}

func (e *estimate) setPrior(rate float64) {
	e.prior = rate
	if e.seconds == 0 {
		e.reset()
	}
}

// reset forgets what was seen.
func (e *estimate) reset() {
	e.work, e.seconds = 0, 0
	clear(e.taken)
	if e.prior > 0 {
		e.seconds = priorShare * e.window.Seconds()
		e.work = e.prior * e.seconds
	}
}

// advance moves the estimate to now; backlogged says what has been true of
// the queue since the previous call.
func (e *estimate) advance(now time.Time, backlogged bool) {
	dt := now.Sub(e.last)
	if e.last.IsZero() {
		dt = 0
	}
	if !backlogged {
		if dt > staleWindows*e.window {
			e.reset()
		}
		e.busy = false
		return
	}
	if !e.busy {
		// The backlog began with the push that preceded this call.
		e.busy = true
		e.last = now
		return
	}
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt.Seconds() / e.window.Seconds())
	e.work *= decay
	for c := range e.taken {
		e.taken[c] *= decay
	}
	e.seconds = e.seconds*decay + e.window.Seconds()*(1-decay)
	e.last = now
}

// begin marks the start of a backlog.
func (e *estimate) begin(now time.Time) {
	e.busy = true
	e.last = now
}

// observe counts finished work of the given weight.
func (e *estimate) observe(weight int64) {
	if e.busy {
		e.work += float64(weight)
	}
}

// take counts dispatched work of a class.
func (e *estimate) take(c Class, weight int64) {
	if e.busy {
		e.taken[c] += float64(weight)
	}
}

// wait predicts how long work of the given weight, ahead of an item of a class, takes to
// drain. At least the mean weight of an item counts as seen, so that a backlog which has
// seen little finish is not taken for one that never drains.
//
// A backlog that has only just begun says nothing, unless a rate was given. Requests take
// seconds, so at first none finishes; taken for a drain rate, that would refuse work which
// a full batch is about to make room for.
func (e *estimate) wait(c Class, work, mean float64) time.Duration {
	if e.seconds <= 0 || work <= 0 {
		return 0
	}
	if e.work <= 0 && e.seconds < trustShare*e.window.Seconds() {
		return 0
	}
	seconds := work / (e.left(c, mean) / e.seconds)
	if seconds >= maxPrediction.Seconds() {
		return maxPrediction
	}
	return time.Duration(seconds * float64(time.Second))
}

// left is the weight that was seen to finish, less what more pressing classes took of it.
func (e *estimate) left(c Class, mean float64) float64 {
	all := math.Max(e.work, mean)
	rest := all
	for _, taken := range e.taken[:c] {
		rest -= taken
	}
	return math.Max(rest, e.least*all)
}
