package node

import (
	"expvar"
	"net/http"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"github.com/labstack/echo/v4"
)

// vars are the counters and latencies of this process.
func (r *Router) vars() *expvar.Map {
	vars := r.forwarder.Stats().Vars()
	vars.Set("latency_ms", expvar.Func(func() any { return r.forwarder.Stats().Latencies() }))
	vars.Set("in_flight", expvar.Func(func() any { return r.forwarder.InFlight() }))
	vars.Set("engine_connections", expvar.Func(func() any { return r.forwarder.Conns.Dials() }))
	vars.Set("peer_calls", expvar.Func(func() any { return r.counters.Snapshot() }))
	vars.Set("routers", expvar.Func(func() any { return r.routers() }))
	vars.Set("engines", expvar.Func(func() any { return len(r.board.Snapshot().Engines.ByID) }))
	vars.Set("config_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().ConfigAge(bootclock.Now()).Milliseconds()
	}))
	vars.Set("engines_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().EnginesAge(bootclock.Now()).Milliseconds()
	}))
	return vars
}

// mountMetrics serves the counters and latencies.
func mountMetrics(e *echo.Echo, vars *expvar.Map) {
	e.GET("/metrics", func(c echo.Context) error {
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(vars.String()))
	})
}
