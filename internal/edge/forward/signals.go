package forward

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// asksForPause reports whether the engine rejects requests and states for how long.
func (r Reply) asksForPause(status int) bool {
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	return rejected && r.RetryAfter != ""
}

// recordSignals records what an engine states about itself in the header of a response.
func (x *exchange) recordSignals(e catalog.Engine, status int, reply Reply) {
	x.reply = reply
	if reply.Leaving {
		x.f.stats.recordLeaving()
	}
	if reply.asksForPause(status) {
		x.f.stats.recordPause()
	}
}
