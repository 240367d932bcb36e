// Package outlier detects engines that respond to health probes but fail or delay streams. It
// compares each engine with its pool, ejects outliers for a limited time and lets them return in
// steps.
//
// The package is pure: observations and the time are arguments, and nothing runs in the background.
// A Detector serves one pool and is not safe for concurrent use. The times passed to it must not
// run backwards.
package outlier

import "time"

// Kind is the kind of an observation. There is no kind for probes: an engine with a grey failure
// responds to every probe, and counting those as successes would hide the failure.
type Kind uint8

const (
	// Success is a stream that completed.
	Success Kind = iota
	// FirstToken is the arrival of a first token, with its latency.
	FirstToken
	// Stall is a stream whose gap timer expired, with the time waited so far. It must be observed
	// when the timer fires: a stream that gets no further token never yields a latency.
	Stall
	// Failure is a stream or connection that broke because of the engine.
	Failure
)

// Observation is one event of a stream at an engine.
type Observation struct {
	// Engine is the engine's ID.
	Engine uint64
	// Time is when the event was observed.
	Time time.Time
	// Kind is what was observed.
	Kind Kind
	// Latency is the time waited, for FirstToken and Stall.
	Latency time.Duration
	// Expected is the part of Latency that placement predicted. Without it a long prompt, which
	// takes seconds of prefill, would look like a fault.
	Expected time.Duration
}

// Cause is the reason why an engine was ejected.
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

// Ejection describes the ejection of an engine.
type Ejection struct {
	Engine uint64
	Cause  Cause
	// Until is when the ejection ends and the engine starts to ramp up.
	Until time.Time
	// Count is the number of ejections, this one included, that are not forgotten.
	Count int
}

// Config holds the thresholds of a Detector. DefaultConfig sets all of them.
type Config struct {
	// MaxEjected is the share of the pool, 0 to 1, that may be ejected at once. At least one engine
	// may be ejected, and at least one always stays. When every engine fails, the fault is
	// elsewhere, and ejecting the pool would turn a degraded service into none.
	MaxEjected float64
	// Consecutive is the number of stalls and failures in a row that ejects an engine.
	Consecutive int
	// SlowFactor ejects an engine whose mean excess latency is above that many times the pool's
	// median, if it is also above SlowFloor.
	SlowFactor float64
	// SlowFloor is the mean excess latency up to which no engine counts as slow. It keeps engines
	// of a fast pool from being ejected over differences that no caller notices.
	SlowFloor time.Duration
	// FailureShare, 0 to 1, ejects an engine that fails a larger share of its streams, if that is
	// also above twice the pool's median share.
	FailureShare float64
	// MinSamples is the number of latencies that an engine must have to be compared by latency, and
	// of ended streams to be compared by failures.
	MinSamples int
	// MinPeers is the number of engines with MinSamples that are needed to compute a median.
	MinPeers int
	// Smoothing is the weight of a new sample in the moving averages.
	Smoothing float64
	// BaseEjection is the length of a first ejection. Each repetition doubles it, up to
	// MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// ForgetAfter is how long an engine must stay in service for one of its ejections and one of
	// its flaps to be forgotten, and how long an engine that left is remembered.
	ForgetAfter time.Duration
	// RampTime is how long a return takes, in RampSteps equal steps. Each further return of a
	// flapping engine doubles it, up to MaxEjection.
	RampTime  time.Duration
	RampSteps int
}

// Default thresholds.
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

// DefaultConfig returns the default thresholds, which suit most pools.
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
