// Package outlier finds engines that are alive and still fail their callers:
// they answer probes, and starve or delay the streams. It compares each engine
// with its pool, ejects the outliers for a while and lets them return in steps.
//
// The package is pure: observations and the time are arguments, and nothing
// runs on its own. A Detector serves one pool and isn't safe for concurrent
// use. The times given to it must not go backwards.
package outlier

import "time"

// Kind says what was observed of a stream. There is no kind for probes: an
// engine with a grey failure answers every probe, and counting those as
// successes would hide it.
type Kind uint8

const (
	// Success is a stream that ended whole.
	Success Kind = iota
	// FirstToken is the arrival of a first token, with its latency.
	FirstToken
	// Stall is a stream whose gap timer ran out, with the time waited so far.
	// It has to be fed when the timer fires: a starved stream never yields a
	// latency of its own.
	Stall
	// Failure is a stream or connection that broke through the engine's fault.
	Failure
)

// Observation is one thing seen of an engine.
type Observation struct {
	// Engine is the engine's ID.
	Engine uint64
	// Time is when it was seen.
	Time time.Time
	// Kind says what was seen.
	Kind Kind
	// Latency is the time waited, for FirstToken and Stall.
	Latency time.Duration
	// Expected is the part of Latency that placement predicted. Without it a
	// long prompt, which takes seconds of prefill, would look like a fault.
	Expected time.Duration
}

// Cause says why an engine was ejected.
type Cause uint8

const (
	// Consecutive means too many stalls and failures without a success between.
	Consecutive Cause = iota + 1
	// Slow means that the mean excess latency is far above the pool's median.
	Slow
	// Failing means that too large a share of the streams stalls or fails.
	Failing
)

// String returns the label of the cause in metrics and logs.
func (c Cause) String() string {
	switch c {
	case Consecutive:
		return "consecutive"
	case Slow:
		return "slow"
	case Failing:
		return "failing"
	}
	return "none"
}

// Ejection reports that an engine was taken out.
type Ejection struct {
	Engine uint64
	Cause  Cause
	// Until is when the engine starts to return.
	Until time.Time
	// Repeat counts the ejections, this one included, that aren't forgotten.
	Repeat int
}

// Config holds the thresholds of a Detector. DefaultConfig gives each a value.
type Config struct {
	// MaxEjected is the share of the pool, 0 to 1, that may be ejected at once.
	// At least one engine may be, and at least one never is. When everything
	// fails, the fault is elsewhere, and ejecting the pool would turn a
	// degraded service into none.
	MaxEjected float64
	// Consecutive is how many stalls and failures in a row eject an engine.
	Consecutive int
	// SlowFactor ejects an engine whose mean excess latency is that many times
	// the pool's median, and above SlowFloor.
	SlowFactor float64
	// SlowFloor keeps engines of a fast pool from being ejected over
	// differences that no caller notices.
	SlowFloor time.Duration
	// FailureShare, 0 to 1, ejects an engine that fails a larger share of its
	// streams, if that is also twice the pool's median share.
	FailureShare float64
	// MinSamples is how many latencies, or ends of streams, an engine must have
	// to be compared by them.
	MinSamples int
	// MinPeers is how many such engines the pool must have for a median.
	MinPeers int
	// Smoothing is the share of a new sample in the moving averages.
	Smoothing float64
	// BaseEjection is the length of a first ejection; each repetition doubles
	// it up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// ForgetAfter is how long an engine must stay in service for one of its
	// ejections or flaps to be forgotten.
	ForgetAfter time.Duration
	// RampTime is how long a return takes, in RampSteps equal steps. Each further
	// return of a flapping engine doubles it up to MaxEjection.
	RampTime  time.Duration
	RampSteps int
}

// Defaults of the thresholds.
const (
	DefaultMaxEjected   = 0.3
	DefaultConsecutive  = 5
	DefaultSlowFactor   = 3
	DefaultSlowFloor    = 200 * time.Millisecond
	DefaultFailureShare = 0.3
	DefaultMinSamples   = 20
	DefaultMinPeers     = 3
	DefaultSmoothing    = 0.1
	DefaultBaseEjection = 10 * time.Second
	DefaultMaxEjection  = 5 * time.Minute
	DefaultForgetAfter  = 10 * time.Minute
	DefaultRampTime     = 30 * time.Second
	DefaultRampSteps    = 5
)

// DefaultConfig returns thresholds that suit most pools.
func DefaultConfig() Config {
	return Config{
		MaxEjected:   DefaultMaxEjected,
		Consecutive:  DefaultConsecutive,
		SlowFactor:   DefaultSlowFactor,
		SlowFloor:    DefaultSlowFloor,
		FailureShare: DefaultFailureShare,
		MinSamples:   DefaultMinSamples,
		MinPeers:     DefaultMinPeers,
		Smoothing:    DefaultSmoothing,
		BaseEjection: DefaultBaseEjection,
		MaxEjection:  DefaultMaxEjection,
		ForgetAfter:  DefaultForgetAfter,
		RampTime:     DefaultRampTime,
		RampSteps:    DefaultRampSteps,
	}
}
