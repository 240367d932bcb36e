package queue

import (
	"math"
	"time"
)

const (
	// estimateWindow is the time constant, in busy time, over which the drain
	// rate is averaged.
	estimateWindow = 10 * time.Second
	// estimateStale is how long the queue may be empty before the last rate
	// says nothing about the next backlog.
	estimateStale = time.Minute
	// estimateTrust is for how long, in averaged busy time, a backlog that has
	// seen nothing finish predicts nothing. It is reached after ten seconds.
	estimateTrust = 6 * time.Second
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
	last    time.Time
	busy    bool
	work    float64
	seconds float64
}

// advance moves the estimate to now; backlogged says what has been true of
// the queue since the previous call.
func (e *estimate) advance(now time.Time, backlogged bool) {
	dt := now.Sub(e.last)
	if e.last.IsZero() {
		dt = 0
	}
	if !backlogged {
		if dt > estimateStale {
			e.work = 0
			e.seconds = 0
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
	decay := math.Exp(-dt.Seconds() / estimateWindow.Seconds())
	e.work *= decay
	e.seconds = e.seconds*decay + estimateWindow.Seconds()*(1-decay)
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

// wait predicts how long work of the given weight takes to drain. The mean
// weight of an item is added to what was seen, so that a backlog which has
// seen little finish is not taken for one that never drains.
//
// A backlog that has only just begun says nothing. Requests take seconds, so
// at first none finishes; taken for a drain rate, that would refuse work which
// a full batch is about to make room for.
func (e *estimate) wait(work, mean float64) time.Duration {
	if e.seconds <= 0 || work <= 0 {
		return 0
	}
	if e.work <= 0 && e.seconds < estimateTrust.Seconds() {
		return 0
	}
	rate := (e.work + mean) / e.seconds
	seconds := work / rate
	if seconds >= maxPrediction.Seconds() {
		return maxPrediction
	}
	return time.Duration(seconds * float64(time.Second))
}
