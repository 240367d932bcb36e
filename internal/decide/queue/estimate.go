package queue

import (
	"math"
	"time"
)

const (
	// idleResetWindows is the number of windows that the queue may stay empty before
	// the last measured rate is discarded as no longer valid for the next backlog.
	idleResetWindows = 6
	// warmupShare is a share of a window. While nothing has completed and the decayed
	// busy time is less than that, no wait is predicted. A backlog reaches it after
	// about one window.
	warmupShare = 0.6
	// priorShare is the initial weight of a configured rate: it counts like a rate that
	// was measured for this share of a window. The configured and the measured rate have
	// equal weight after about a quarter of a window.
	priorShare = 0.3
	// minRateShare is the minimum share of the drain rate that a class is assumed to
	// get. It keeps a prediction finite when higher classes have used the whole rate
	// and Config.Reserve is zero.
	minRateShare = 0.01
	// maxPredictedWait caps a predicted wait, so that sums of times don't overflow.
	maxPredictedWait = time.Hour
)

// drainEstimator measures the drain rate, in weight per second, as an exponentially
// decayed average.
//
// Only time with a backlog counts, and only work that completed during it. An average
// over all time would fall whenever demand is low: the first burst after an idle night
// would then be rejected as too late although every engine is free.
type drainEstimator struct {
	window    time.Duration
	priorRate float64
	// minShare is the minimum share of the drain rate that each class is assumed to get.
	minShare    float64
	lastUpdate  time.Time
	busy        bool
	completed   float64
	busySeconds float64
	// dispatched is the decayed weight of the dispatched work by class. The part of the
	// drain rate that higher classes use isn't available to lower ones.
	dispatched []float64
}

func newDrainEstimator(cfg Config) drainEstimator {
	e := drainEstimator{window: cfg.Window, priorRate: cfg.Rate, minShare: math.Max(cfg.Reserve, minRateShare), dispatched: make([]float64, cfg.Classes)}
	e.reset()
	return e
}

func (e *drainEstimator) setPriorRate(rate float64) {
	e.priorRate = rate
	if e.busySeconds == 0 {
		e.reset()
	}
}

// reset discards the measurements and starts again from priorRate, if there is one.
func (e *drainEstimator) reset() {
	e.completed, e.busySeconds = 0, 0
	clear(e.dispatched)
	if e.priorRate > 0 {
		e.busySeconds = priorShare * e.window.Seconds()
		e.completed = e.priorRate * e.busySeconds
	}
}

// advance moves the estimate to now. backlogged reports whether the queue held items
// since the previous call.
func (e *drainEstimator) advance(now time.Time, backlogged bool) {
	dt := now.Sub(e.lastUpdate)
	if e.lastUpdate.IsZero() {
		dt = 0
	}
	if !backlogged {
		if dt > idleResetWindows*e.window {
			e.reset()
		}
		e.busy = false
		return
	}
	if !e.busy {
		// The backlog began with the push that preceded this call.
		e.busy = true
		e.lastUpdate = now
		return
	}
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt.Seconds() / e.window.Seconds())
	e.completed *= decay
	for c := range e.dispatched {
		e.dispatched[c] *= decay
	}
	e.busySeconds = e.busySeconds*decay + e.window.Seconds()*(1-decay)
	e.lastUpdate = now
}

// beginBacklog marks the start of a backlog.
func (e *drainEstimator) beginBacklog(now time.Time) {
	e.busy = true
	e.lastUpdate = now
}

// recordCompleted counts completed work of the given weight.
func (e *drainEstimator) recordCompleted(weight int64) {
	if e.busy {
		e.completed += float64(weight)
	}
}

// recordDispatched counts dispatched work of a class.
func (e *drainEstimator) recordDispatched(c Class, weight int64) {
	if e.busy {
		e.dispatched[c] += float64(weight)
	}
}

// drainTime predicts how long work of the given weight, ahead of an item of class c,
// takes to drain. mean is the mean weight of an item: at least that much counts as
// completed, so that a backlog with few completions isn't taken for one that never
// drains.
//
// For a backlog that has only just begun it predicts no wait, unless a rate was
// configured. Requests take seconds, so at first none completes; with a drain rate
// measured in that time, the queue would reject work that could start once the first
// requests of a full batch complete.
func (e *drainEstimator) drainTime(c Class, work, mean float64) time.Duration {
	if e.busySeconds <= 0 || work <= 0 {
		return 0
	}
	if e.completed <= 0 && e.busySeconds < warmupShare*e.window.Seconds() {
		return 0
	}
	seconds := work / (e.availableWork(c, mean) / e.busySeconds)
	if seconds >= maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// availableWork returns the completed weight less the weight dispatched from classes
// higher than c, and at least minShare of the completed weight.
func (e *drainEstimator) availableWork(c Class, mean float64) float64 {
	total := math.Max(e.completed, mean)
	available := total
	for _, work := range e.dispatched[:c] {
		available -= work
	}
	return math.Max(available, e.minShare*total)
}
