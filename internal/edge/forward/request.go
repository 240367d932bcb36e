// Package forward carries a request from its caller to an engine and the
// engine's answer back: route, account, placement, engine, relay.
package forward

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/zeebo/errs"
)

// ErrRequest means that a caller's request lacks something, or contradicts
// itself.
var ErrRequest = errs.Class("request")

// Part is a part of a prompt. Prompts share parts, and engines cache them.
type Part struct {
	ID     string
	Tokens int
}

// Request is a caller's request as far as the router looks at it. Everything
// else is passed on as it came.
type Request struct {
	// ID names this request; each attempt of a caller has its own.
	ID string
	// Key is the API key, or empty.
	Key string
	// Timeout is how long the caller waits; zero if it doesn't say.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order.
	Prompt []Part
	// PromptTokens is the length of the prompt and OutputTokens the longest answer that
	// the caller takes; zero if it doesn't say.
	PromptTokens, OutputTokens int
	// LastEvent is the id after which the caller wants a stream to go on.
	LastEvent string
}

// SharedParts are the IDs of the parts of the prompt that other requests may have
// too, in order; the last part of several is the request's or its session's own.
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

// Subject is the same for all attempts at the request, and zero if that can't be told: an
// attempt has an ID of its own, but the last part of its prompt is the request's or its
// session's own.
func (r *Request) RetryKey() uint64 {
	if len(r.Prompt) < 2 {
		return 0
	}
	return rendezvous.ID(r.Prompt[len(r.Prompt)-1].ID)
}

// outputCost is how much work a token of the answer is, in tokens of a prompt: with a full
// batch, of engines of today's kind.
const outputTokenCost = 10

// Work is how much an engine has to do for the request, in tokens of a prompt: what others
// share is in its cache.
func (r *Request) Cost() int64 {
	own := r.PromptTokens
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, 0)] {
		own -= part.Tokens
	}
	return int64(max(own, 0) + outputTokenCost*r.OutputTokens)
}

// Sending is what the router tells an engine beside the caller's own headers.
type Sending struct {
	Engine catalog.Engine
	// Account is the caller's client account; empty on public routes.
	Account string
	// Remaining is the time that is left for an answer.
	Remaining time.Duration
	// Urgency ranks the request at the engine, 0 first.
	Urgency int
	// LastEvent is the id after which a stream goes on, or empty.
	LastEvent string
	// FetchFrom is the address of an engine whose cache holds the prompt, or
	// empty.
	FetchFrom string
}

// Reply is what an engine says in the header of its answer.
type Reply struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Sealed answers bear the engine's proof that the answer is its own.
	Sealed bool
	// NotExecuted is the engine's promise that it did not execute the request.
	NotExecuted bool
	// WrongEngine means that another engine has the address.
	WrongEngine bool
	// Encoded bodies are not what the engine made.
	Encoded bool
}

// Codec translates between HTTP messages and what they mean. It is given by
// the platform.
type Codec interface {
	// Decode reads a caller's request. Errors: ErrRequest.
	Decode(r *http.Request) (Request, error)
	// EngineHeader returns the header to send to an engine: the caller's
	// own, without what concerns only its connection and what only the router
	// may set.
	EngineHeader(caller http.Header, r *Request, s Sending) http.Header
	// Reply reads the header of an engine's answer.
	Reply(status int, h http.Header) Reply
	// CallerHeader writes the header of an engine's answer for the caller.
	CallerHeader(dst http.Header, engine http.Header)
	// Refusal writes the header of an answer of the router's own.
	Refusal(dst http.Header, requestID string)
}
