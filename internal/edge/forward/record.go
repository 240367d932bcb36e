package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/rendezvous"
	"github.com/zeebo/errs"
)

// Errors within an exchange.
var (
	errCallerLeft    = errs.Class("caller left")
	errEngineRefused = errs.Class("engine refused")
)

// logAttempt writes why one send came to nothing.
func (x *exchange) logAttempt(e catalog.Engine, err error, waited time.Duration) {
	now := x.f.Clock()
	x.f.Log.Warn("attempt failed", "request", x.req.ID, "route", x.route.Name, "engine", e.ID,
		"address", e.Address, "attempt", x.sends, "waited", waited, "left", x.remaining(),
		"engines_age", x.snapshot.EnginesAge(now), "cause", err)
}

// log writes the outcome of a request that was not simply answered.
func (x *exchange) log(took time.Duration) {
	if x.outcome == "" || x.outcome == ReasonCallerLeft {
		return
	}
	now := x.f.Clock()
	route, version := "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.snapshot.Config != nil {
		version = x.snapshot.Config.Version
	}
	x.f.Log.Warn("request not served", "request", x.req.ID, "route", route, "reason", x.outcome,
		"status", x.status, "engine", x.engine, "sends", x.sends, "executed", x.executed, "took", took,
		"config", version, "config_age", x.snapshot.ConfigAge(now), "engines_age", x.snapshot.EnginesAge(now))
}

// pointOf maps a key evenly to 0 .. total-1.
func pointOf(key string, total int) int {
	if total <= 0 {
		return 0
	}
	return int(rendezvous.ID(key) % uint64(total))
}
