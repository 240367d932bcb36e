// Package placement decides which engine of a pool takes a request. It
// filters the engines that may take it, scores them by the time the caller
// would wait, and picks one, keeping a returning chat where its prompt prefix
// is cached as long as no engine carries more than a set multiple of the
// pool's mean load.
//
// The package is pure: the state of the pool is an argument, randomness comes
// from a seeded source, and no call blocks, starts a goroutine or reads a
// clock. A Strategy isn't safe for concurrent use.
package placement

import "time"

// Engine is what a router knows of one engine at the moment of a decision.
type Engine struct {
	// ID identifies the engine; see rendezvous.ID.
	ID uint64
	// Incarnation changes whenever the engine starts with an empty cache.
	Incarnation uint64
	// Load is the weight of the admitted, unfinished requests.
	Load int64
	// Running is the number of those requests.
	Running int
	// MaxBatch is the engine's own limit on Running. Zero means that the
	// engine hasn't reported it, and that it gets no work until it does.
	MaxBatch int
	// Leaving is set when any witness has said that the engine is leaving.
	Leaving bool
	// Loaded says that model, adapter and version of the pool are in place.
	Loaded bool
	// Ejected is set by outlier detection.
	Ejected bool
	// Ramp is the share, above 0 and up to 1, of its normal load that a
	// returning engine may take. An engine at 0 gets no work.
	Ramp float64
	// PrefillRate is uncached prompt tokens per second; 0 takes the policy's.
	PrefillRate float64
	// DrainRate is the weight units that the engine finishes per second over
	// its whole batch; 0 takes the policy's.
	DrainRate float64
}

// Pool is the set of engines that can serve a request at one site.
type Pool struct {
	// Bound is c: an engine is admitted work up to c times the mean load. It
	// must be above 1; a smaller one admits nothing but lumps.
	Bound float64
	// Engines are all members, in any order.
	Engines []Engine
}

// Evidence says that an engine is believed to hold a prefix of the request.
type Evidence struct {
	// Engine is the ID of the engine.
	Engine uint64
	// Incarnation is the one that cached the prefix. Evidence of an earlier
	// incarnation is void, since the cache went with it.
	Incarnation uint64
	// CachedTokens is the length of the cached prefix in tokens.
	CachedTokens int
	// Confidence, 0 to 1, is the probability that the prefix is still there.
	Confidence float64
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Chat is the affinity key; 0 means that the request belongs to no chat.
	Chat uint64
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// EarlierTokens is the part of the prompt that earlier turns of the chat
	// have sent, and that some engine has probably cached; 0 for a new chat.
	EarlierTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Evidence lists the engines believed to hold a prefix. Keep it to a
	// handful: the time of a decision grows with its length.
	Evidence []Evidence
}

// Decision is the outcome of a successful pick.
type Decision struct {
	// Index is the position of the engine in Pool.Engines.
	Index int
	// Weight is the load that the request adds to the engine.
	Weight int64
	// Cached is the expected number of prompt tokens found in the cache.
	Cached int
	// Reason says why the engine was chosen.
	Reason Reason
	// Lump says that the request goes beyond the load bound and was admitted
	// because the engine is the least loaded one.
	Lump bool
	// Wait is the predicted time until the first token.
	Wait time.Duration
}

// Reason says why an engine was chosen.
type Reason uint8

// The reasons of a decision.
const (
	// Preferred is the first engine in the chat's rendezvous order.
	Preferred Reason = iota
	// ByEvidence is an engine believed to hold a prefix.
	ByEvidence
	// Overflow is another engine, taken because those two had no room, were
	// beyond the bound, or would have kept the caller waiting too long.
	Overflow
	// ByLoad is an engine chosen by load for a request without a chat.
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

// Strategy decides where requests go. Picker is the one in production; the
// others are baselines to measure it against.
type Strategy interface {
	// Pick chooses an engine or returns a *RefusedError.
	Pick(pool *Pool, req *Request) (Decision, error)
}
