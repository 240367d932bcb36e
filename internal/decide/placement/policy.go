package placement

import "time"

// Spread says how a request without a chat is spread over the engines.
type Spread uint8

const (
	// PowerOfTwo takes the better of two random admissible engines. Routers
	// that share the same late load report would all choose the same least
	// loaded engine and overrun it; two random ones keep them apart.
	PowerOfTwo Spread = iota
	// LeastWait takes the admissible engine with the shortest predicted wait.
	// Short checks then fill the batch of the engine that is lightest by weight.
	LeastWait
)

// Policy holds the knobs of a Picker. DefaultPolicy gives each a value.
type Policy struct {
	// OutputWeight is the weight of one output token; an uncached prompt
	// token weighs 1.
	OutputWeight float64
	// KeepWait is how much longer than at the best engine a request may wait
	// in order to go to an engine that holds its prefix. The time saved by the
	// prefix is counted already; this is the worth of not caching it twice. The
	// load bound, not this wait, is what keeps engines even: predicted waits are
	// no better than DrainRate.
	KeepWait time.Duration
	// HomeWait is how much longer than at the best engine a chat without
	// evidence may wait in order to follow its rendezvous order.
	HomeWait time.Duration
	// HomeTrust, 0 to 1, is the probability that a returning chat without
	// evidence is cached at the engine that its rendezvous order names. The
	// prefill it would save is added to HomeWait.
	HomeTrust float64
	// PrefillRate and DrainRate stand in for engines that report none, in
	// tokens and weight units per second.
	PrefillRate, DrainRate float64
	// Spread is how requests without a chat are placed.
	Spread Spread
}

// Defaults of the policy.
const (
	// DefaultOutputWeight agrees with wire.EngineStatus.Weight, so that the
	// bound can be checked against the engines' own count.
	DefaultOutputWeight = 1
	DefaultKeepWait     = time.Minute
	DefaultHomeWait     = 500 * time.Millisecond
	DefaultHomeTrust    = 0.5
	// DefaultPrefillRate and DefaultDrainRate fit a batch of 50 sequences at
	// 5 ms a step.
	DefaultPrefillRate = 10_000
	DefaultDrainRate   = 10_000
)

// DefaultPolicy returns the policy that suits most pools.
func DefaultPolicy() Policy {
	return Policy{
		OutputWeight: DefaultOutputWeight,
		KeepWait:     DefaultKeepWait,
		HomeWait:     DefaultHomeWait,
		HomeTrust:    DefaultHomeTrust,
		PrefillRate:  DefaultPrefillRate,
		DrainRate:    DefaultDrainRate,
	}
}
