package forward

import (
	"net/http"
	"sync"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/decide/room"
)

// outputLengths learns the lengths of outputs by route. It is safe for concurrent use.
type outputLengths struct {
	mu      sync.Mutex
	byRoute map[string]*room.Outputs
}

func newOutputLengths() *outputLengths {
	return &outputLengths{byRoute: make(map[string]*room.Outputs)}
}

// expect returns the expected length of an output, in tokens; see room.Outputs.
func (l *outputLengths) expect(route string, hint, most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(route).Expect(hint, most)
}

// record adds a complete output, of which the router has seen events.
func (l *outputLengths) record(route string, hint, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(route).Observe(hint, events)
}

// of returns what is known of a route. The caller holds the mutex.
func (l *outputLengths) of(route string) *room.Outputs {
	return valueOf(l.byRoute, route)
}

// need returns the memory that the request needs at an engine. It is unknown if the caller states no
// lengths, or the request has no prompt.
func (x *exchange) need() room.Need {
	if !x.route.Prompted || x.req.PromptTokens == 0 {
		return room.Need{}
	}
	need := room.Need{
		Own: x.req.ownTokens(), Output: x.f.outputs.expect(x.route.Name, x.req.LengthHint, x.req.OutputTokens), Most: x.req.OutputTokens,
	}
	for _, part := range x.req.Prompt[:max(len(x.req.Prompt)-1, 0)] {
		need.Parts = append(need.Parts, room.Part{ID: rendezvous.ID(part.ID), Tokens: part.Tokens})
	}
	return need
}

// recordOutput records the length of a stream that one engine has generated from its begin to its end.
func (x *exchange) recordOutput(events int) {
	if x.route.Prompted && !x.stream.resumes && !x.resumed {
		x.f.outputs.record(x.route.Name, x.req.LengthHint, events)
	}
}

// checkSize refuses a prompt that is larger than the memory of the engines of each service of its route.
func (x *exchange) checkSize() *Refusal {
	if !x.route.Prompted {
		return nil
	}
	for _, service := range x.services() {
		s := x.snapshot.Config.Service(service)
		if s == nil || s.CacheTokens == 0 || x.req.PromptTokens <= s.CacheTokens {
			return nil
		}
	}
	return rejected(http.StatusRequestEntityTooLarge, ReasonPromptTooLarge)
}
