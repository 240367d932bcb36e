// Package placement selects the engine of a pool for a request. It filters out the engines that may
// not take the request, ranks the others by the time that the caller would wait, and selects one. A
// returning chat stays where its prompt prefix is cached, as long as no engine carries more than a
// set multiple of the pool's mean load.
//
// The package is pure: the state of the pool is an argument, randomness comes from a seeded source,
// and no call blocks, starts a goroutine or reads a clock. A Strategy is not safe for concurrent
// use.
package placement

import "time"

// Engine is the state of an engine as the router knows it at the time of a decision.
type Engine struct {
	// ID identifies the engine; see rendezvous.ID.
	ID uint64
	// Incarnation changes whenever the engine starts with an empty cache.
	Incarnation uint64
	// Load is the weight of the admitted, unfinished requests.
	Load int64
	// Running is the number of those requests.
	Running int
	// MaxBatch is the engine's own limit of Running. Zero means that the engine has not reported it
	// yet; it gets no requests until it does.
	MaxBatch int
	// Leaving is set if any source reports that the engine is draining.
	Leaving bool
	// Loaded means that the engine has loaded the model, adapter and version of the pool.
	Loaded bool
	// Ejected is set by outlier detection.
	Ejected bool
	// Ramp is the share, above 0 and up to 1, of its normal load that a returning engine may take.
	// An engine at 0 gets no requests.
	Ramp float64
	// PrefillRate is the number of uncached prompt tokens that the engine prefills per second; 0
	// means the rate of the policy.
	PrefillRate float64
	// DrainRate is the number of weight units that the engine finishes per second over its whole
	// batch; 0 means the rate of the policy.
	DrainRate float64
}

// Pool is the set of engines that can serve a request at one site.
type Pool struct {
	// Bound is the multiple of the mean load up to which an engine may take requests. It must be
	// above 1; with a smaller one, only the least loaded engine may take any.
	Bound float64
	// Engines are all members, in any order.
	Engines []Engine
}

// Evidence is the estimate that an engine has cached a prefix of the request.
type Evidence struct {
	// Engine is the ID of the engine.
	Engine uint64
	// Incarnation is the incarnation that cached the prefix. Evidence of an earlier incarnation is
	// ignored, since its cache is lost.
	Incarnation uint64
	// CachedTokens is the length of the cached prefix in tokens.
	CachedTokens int
	// Confidence, 0 to 1, is the probability that the prefix is still cached.
	Confidence float64
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Chat is the affinity key; 0 means that the request belongs to no chat.
	Chat uint64
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int
	// EarlierTokens is the part of the prompt that earlier turns of the chat have sent, and that
	// some engine has probably cached; 0 for a new chat.
	EarlierTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// Evidence lists the engines that are believed to have cached a prefix. It should hold only a
	// few: the time of a decision grows with its length.
	Evidence []Evidence
}

// Decision is the result of a successful pick.
type Decision struct {
	// Index is the position of the engine in Pool.Engines.
	Index int
	// Weight is the load that the request adds to the engine.
	Weight int64
	// Cached is the expected number of cached prompt tokens.
	Cached int
	// Reason is why the engine was selected.
	Reason Reason
	// OverBound means that the request exceeds the load bound and was admitted because the engine is the
	// least loaded one.
	OverBound bool
	// Wait is the predicted time until the first token.
	Wait time.Duration
}

// Reason is why an engine was selected.
type Reason uint8

// Reasons of a decision.
const (
	// Preferred means the first engine in the chat's rendezvous order.
	Preferred Reason = iota
	// ByEvidence means an engine believed to have cached a prefix.
	ByEvidence
	// Overflow means another engine, because the preferred one and those with evidence were full,
	// would exceed the bound, or would have kept the caller waiting too long.
	Overflow
	// ByLoad means an engine selected by load, for a request without a chat or the first turn of
	// one.
	ByLoad

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [...]string{"preferred", "evidence", "overflow", "load"}

// String returns the label of the reason in metrics and logs.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Strategy selects engines for requests. Picker is the strategy used in production; the others are
// baselines for comparison.
type Strategy interface {
	// Pick selects an engine or returns a *RefusedError.
	Pick(pool *Pool, req *Request) (Decision, error)
}
