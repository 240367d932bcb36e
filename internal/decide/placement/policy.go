package placement

import "time"

// Spread is the rule by which requests without a chat, and the first turns of chats, are spread
// over the engines.
type Spread uint8

const (
	// PowerOfTwo selects the better of two random admissible engines. Routers that act on the same
	// late load report would otherwise all select the same least loaded engine and overload it.
	PowerOfTwo Spread = iota
	// LeastWait selects the admissible engine with the shortest predicted wait. Many small requests
	// then fill the batch of the engine with the least weight.
	LeastWait
)

// Policy holds the parameters of a Picker. DefaultPolicy sets all of them.
type Policy struct {
	// OutputWeight is the weight of one output token; an uncached prompt token weighs 1.
	OutputWeight float64
	// EvidenceWait is how much longer than at the best engine a request may wait in order to go to
	// an engine that has cached its prefix. The predicted wait already includes the time that the
	// prefix saves; EvidenceWait is what it is worth not to cache the prefix a second time. Engines
	// are balanced by the load bound rather than by this wait, since predicted waits are only as
	// accurate as DrainRate.
	EvidenceWait time.Duration
	// PreferredWait is how much longer than at the best engine a chat without evidence may wait in
	// order to follow its rendezvous order.
	PreferredWait time.Duration
	// PreferredConfidence, 0 to 1, is the probability that a returning chat without evidence is
	// cached at the first engine of its rendezvous order. The prefill time that it would save is
	// added to PreferredWait.
	PreferredConfidence float64
	// PrefillRate and DrainRate, in tokens and weight units per second, are used for engines that
	// report none.
	PrefillRate, DrainRate float64
	// Spread is the rule for requests without a chat and for the first turns of chats.
	Spread Spread
}

// Defaults of the policy.
const (
	// DefaultOutputWeight agrees with wire.EngineStatus.Weight, so that the bound can be checked
	// against the engines' own count.
	DefaultOutputWeight        = 1
	DefaultEvidenceWait        = time.Minute
	DefaultPreferredWait       = 500 * time.Millisecond
	DefaultPreferredConfidence = 0.5
	// DefaultPrefillRate and DefaultDrainRate fit a batch of 50 sequences at 5 ms per step.
	DefaultPrefillRate = 10_000
	DefaultDrainRate   = 10_000
)

// DefaultPolicy returns the default policy, which suits most pools.
func DefaultPolicy() Policy {
	return Policy{
		OutputWeight:        DefaultOutputWeight,
		EvidenceWait:        DefaultEvidenceWait,
		PreferredWait:       DefaultPreferredWait,
		PreferredConfidence: DefaultPreferredConfidence,
		PrefillRate:         DefaultPrefillRate,
		DrainRate:           DefaultDrainRate,
	}
}
