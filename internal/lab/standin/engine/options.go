// Package engine is a stand-in for a language model engine: continuous
// batching, prefix cache, priorities, resumable streams, cache events, load
// reports, orders and faults. It records its own stats, so that tests check the
// router against the executions of the engine and not against the router's
// state.
package engine

import "time"

// Options configures an Engine.
type Options struct {
	// Name and Incarnation are the engine's identity; 0 means incarnation 1.
	Name        string
	Incarnation uint64
	// Model is the loaded model; empty accepts any model and adapter.
	Model    string
	Version  string
	Adapters []string
	// MaxBatch and MaxQueue are the maximum numbers of running and queued requests.
	MaxBatch int
	MaxQueue int
	// StepTime is the duration of one step, which produces one chunk for each
	// sequence that has completed its prefill. 0 steps without delay.
	StepTime time.Duration
	// PrefillPerMS is the number of uncached prompt tokens per millisecond that
	// the engine prefills, over the whole batch. 0 means no limit.
	PrefillPerMS int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int64
	// KVBytesPerToken is the size of a token in an exported cache, in bytes.
	KVBytesPerToken int
	// EventDelay is the delay until cache events become visible, EventLog the
	// number of events kept, and EventLoss the share that is lost without an
	// error.
	EventDelay time.Duration
	EventLog   int
	EventLoss  float64
	// ReportLag is the age of the load in a status report.
	ReportLag time.Duration
	// KeepStreams is how long an ended stream can still be resumed.
	KeepStreams time.Duration
	// Bucket is the resolution of the load in the stats.
	Bucket time.Duration
	// Seed seeds the loss of events.
	Seed uint64
}

// Defaults returns the options of a typical engine.
func Defaults(name, model string) Options {
	return Options{
		Name:            name,
		Incarnation:     1,
		Model:           model,
		Version:         "1",
		MaxBatch:        50,
		MaxQueue:        200,
		StepTime:        8 * time.Millisecond,
		PrefillPerMS:    20,
		CacheTokens:     2_000_000,
		KVBytesPerToken: 1,
		EventDelay:      200 * time.Millisecond,
		EventLog:        4096,
		ReportLag:       100 * time.Millisecond,
		KeepStreams:     30 * time.Second,
		Bucket:          100 * time.Millisecond,
	}
}

// withDefaults replaces zero values that an engine cannot work with.
func (o Options) withDefaults() Options {
	d := Defaults(o.Name, o.Model)
	setDefault(&o.Incarnation, d.Incarnation)
	setDefault(&o.MaxBatch, d.MaxBatch)
	setDefault(&o.MaxQueue, d.MaxQueue)
	setDefault(&o.CacheTokens, d.CacheTokens)
	setDefault(&o.EventLog, d.EventLog)
	setDefault(&o.KeepStreams, d.KeepStreams)
	setDefault(&o.Bucket, d.Bucket)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
