// Package forward forwards requests from callers to engines: it finds the route and the account,
// selects an engine, sends the request and relays the response.
package forward

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/zeebo/errs"
)

// ErrRequest means that a caller's request is incomplete or contradictory.
var ErrRequest = errs.Class("request")

// Part is a part of a prompt. Prompts can share parts, and engines cache them.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the fields of a caller's request that the router uses. Everything else is forwarded
// unchanged.
type Request struct {
	// ID identifies this request. Each attempt of a caller has its own.
	ID string
	// Key is the API key, or empty.
	Key string
	// Timeout is how long the caller waits; zero if not stated.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order.
	Prompt []Part
	// PromptTokens is the length of the prompt, and OutputTokens the maximum length of the
	// response; zero if not stated.
	PromptTokens, OutputTokens int
	// LengthHint is the length of the response that the caller expects, in tokens; zero if not stated.
	LengthHint int
	// LastEvent is the ID of the event after which the caller resumes a stream, or empty. Resumes is
	// then the ID of the request that brought the stream's first event, if the caller names it.
	LastEvent, Resumes string
}

// SharedParts returns the IDs of the prompt parts that other requests may have too, in order: all
// parts but the last, which is specific to this request or its session, or the only part if there
// is just one.
func (r *Request) SharedParts() []string {
	shared := r.Prompt
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	ids := make([]string, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
}

// SuspectParts returns the IDs of the prompt parts, in order, that may crash engines whatever else the
// request holds: all but the last, which belongs to this request or its session.
func (r *Request) SuspectParts() []string {
	if len(r.Prompt) < 2 {
		return nil
	}
	return r.SharedParts()
}

// RetryKey returns a key that is the same for all attempts at the request, or zero if there is
// none. Attempts have different IDs, but the last part of the prompt is specific to the request or
// its session.
func (r *Request) RetryKey() uint64 {
	if len(r.Prompt) < 2 {
		return 0
	}
	return rendezvous.ID(r.Prompt[len(r.Prompt)-1].ID)
}

// outputTokenCost is the work for an output token in units of prompt tokens, on current engines
// with a full batch.
const outputTokenCost = 10

// ownTokens returns the length of the prompt without the parts that engines may have cached for others.
func (r *Request) ownTokens() int {
	own := r.PromptTokens
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, 0)] {
		own -= part.Tokens
	}
	return max(own, 0)
}

// Cost returns the work of an engine for the request, in prompt tokens. Shared parts cost nothing
// because they are in the engine's cache.
func (r *Request) Cost() int64 {
	return int64(r.ownTokens() + outputTokenCost*r.OutputTokens)
}

// EngineRequestInfo is what the router adds to the caller's headers for an engine.
type EngineRequestInfo struct {
	Engine catalog.Engine
	// Account is the name of the client account; empty on public routes.
	Account string
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Urgency is the request's rank at the engine; 0 is the most urgent.
	Urgency int
	// LastEvent is the ID of the event after which to resume the stream, or empty.
	LastEvent string
	// FetchFrom is the address of an engine whose cache holds the prompt, or empty.
	FetchFrom string
}

// Reply is the routing information in the header of an engine's response.
type Reply struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Sealed responses carry the engine's proof that it generated them.
	Sealed bool
	// NotExecuted means that the engine guarantees that it did not execute the request.
	NotExecuted bool
	// WrongEngine means that the address belongs to a different engine.
	WrongEngine bool
	// Encoded means that the body has a content encoding and is not what the engine generated.
	Encoded bool
	// Leaving means that the engine announces that it will stop.
	Leaving bool
	// RetryAfter is the value of the Retry-After header as received, or empty.
	RetryAfter string
	// Brittle is how many rejections a second the engine bears, as received; empty if it does not state
	// that it is brittle.
	Brittle string
	// Load is what the engine states about its load, as received, or empty; see gate.ParseEngineLoad.
	Load string
}

// Codec translates between HTTP messages and their meaning. The platform provides it.
type Codec interface {
	// Decode reads a caller's request. Errors: ErrRequest.
	Decode(r *http.Request) (Request, error)
	// EngineHeader returns the header to send to an engine. It contains the caller's header without
	// the fields that concern only the caller's connection and those that only the router may set.
	EngineHeader(caller http.Header, r *Request, s EngineRequestInfo) http.Header
	// Reply reads the header of an engine's response.
	Reply(status int, h http.Header) Reply
	// StartRequest returns the request by which an engine states when it was started.
	StartRequest(e catalog.Engine) (method, target string, header http.Header)
	// StartOf reads the reply: the start as in the engine's entry. Errors: ErrRequest.
	StartOf(status int, body []byte) (born int64, err error)
	// CallerHeader writes the header of an engine's response to the caller's response.
	CallerHeader(dst http.Header, engine http.Header)
	// Refusal writes the header of a response that the router generates.
	Refusal(dst http.Header, requestID string)
}
