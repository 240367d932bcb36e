// Package engine is a stand-in for a language model engine: continuous
// batching, prefix cache, priorities, resumable streams, cache events, load
// reports, orders and faults. It keeps books of its own, so that tests judge
// the router by what the engine saw and not by what the router believes.
package engine

import "time"

// Options are the settings of an Engine.
type Options struct {
	// Name and Incarnation are the engine's identity; 0 means incarnation 1.
	Name        string
	Incarnation uint64
	// Model is the loaded model; empty accepts any model and adapter.
	Model    string
	Version  string
	Adapters []string
	// MaxBatch and MaxQueue bound running and waiting requests.
	MaxBatch int
	MaxQueue int
	// StepTime is the duration of one step, which gives each sequence that is
	// past its prefill one chunk. 0 steps without waiting.
	StepTime time.Duration
	// PrefillPerMS is how many uncached prompt tokens the engine takes in per
	// millisecond, over the whole batch. 0 is without limit.
	PrefillPerMS int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int64
	// KVBytesPerToken is the size of an exported token, in bytes.
	KVBytesPerToken int
	// EventDelay is how late cache events become visible, EventLog how many
	// are kept, EventLoss the share that is lost without trace.
	EventDelay time.Duration
	EventLog   int
	EventLoss  float64
	// ReportLag is the age of the load figures in a status report.
	ReportLag time.Duration
	// KeepStreams is how long a finished stream can still be resumed.
	KeepStreams time.Duration
	// Bucket is the resolution of the load in the books.
	Bucket time.Duration
	// Seed drives the loss of events.
	Seed uint64
}

// Defaults returns the settings of a middling engine.
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

// withFloors replaces the settings that an engine can't work without.
func (o Options) withFloors() Options {
	d := Defaults(o.Name, o.Model)
	floor(&o.Incarnation, d.Incarnation)
	floor(&o.MaxBatch, d.MaxBatch)
	floor(&o.MaxQueue, d.MaxQueue)
	floor(&o.CacheTokens, d.CacheTokens)
	floor(&o.EventLog, d.EventLog)
	floor(&o.KeepStreams, d.KeepStreams)
	floor(&o.Bucket, d.Bucket)
	return o
}

func floor[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
