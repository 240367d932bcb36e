package node

import (
	"expvar"
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/labstack/echo/v4"
)

// vars are the counters and latencies of this process.
func (r *Router) vars() *expvar.Map {
	vars := r.forwarder.Stats().Vars()
	vars.Set("latency_ms", expvar.Func(func() any { return r.forwarder.Stats().Latencies() }))
	vars.Set("in_flight", expvar.Func(func() any { return r.forwarder.InFlight() }))
	vars.Set("caller_connections", expvar.Func(func() any { return r.callers.Counts() }))
	vars.Set("engine_connections", expvar.Func(func() any { return r.forwarder.Conns.Dials() }))
	vars.Set("peer_calls", expvar.Func(func() any { return r.counters.Snapshot() }))
	vars.Set("routers", expvar.Func(func() any { return r.routers() }))
	vars.Set("engines", expvar.Func(func() any { return len(r.board.Snapshot().Engines.ByID) }))
	vars.Set("engines_doubtful", expvar.Func(func() any { return len(r.board.Snapshot().Engines.Doubtful) }))
	vars.Set("engines_revision", expvar.Func(func() any { return r.board.Snapshot().Engines.Upto }))
	vars.Set("config_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().ConfigAge(bootclock.Now()).Milliseconds()
	}))
	vars.Set("engines_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().EnginesAge(bootclock.Now()).Milliseconds()
	}))
	vars.Set("evacuated_sites", expvar.Func(func() any { return r.board.Snapshot().Evacuations.Sites() }))
	vars.Set("cold_engines", expvar.Func(func() any { return r.coldVars() }))
	vars.Set("settings", expvar.Func(func() any { return r.settingsVars() }))
	vars.Set("fleet", expvar.Func(func() any { return fleetVarsOf(r.statuses.All()) }))
	return vars
}

// coldVars is how long each cold engine is taken to be cold, in milliseconds, by its ID.
func (r *Router) coldVars() map[string]int64 {
	out := make(map[string]int64)
	for id, left := range r.engines.Cold(r.board.Snapshot()) {
		out[id] = left.Milliseconds()
	}
	return out
}

// settingsVars is what operators are told of the settings. Problem stays until the file is mended,
// and WaitForRestart until the restart.
type settingsVars struct {
	Digest         string   `json:"digest"`
	AgeMS          int64    `json:"age_ms"`
	Problem        string   `json:"problem"`
	WaitForRestart []string `json:"wait_for_restart"`
}

func (r *Router) settingsVars() settingsVars {
	in := r.inForce.Load()
	out := settingsVars{Digest: in.digest, AgeMS: (bootclock.Now() - in.since).Milliseconds(), WaitForRestart: in.waiting}
	out.Problem = r.settingsProblem()
	return out
}

// fleetVars counts the routers that this one hears of, which are all at the first router of the
// fleet, by what they run.
type fleetVars struct {
	Settings map[string]int `json:"settings"`
	Config   map[string]int `json:"config"`
	// OldestMS is the age of the oldest word.
	OldestMS int64 `json:"oldest_ms"`
}

func fleetVarsOf(list []feed.Status) fleetVars {
	out := fleetVars{Settings: make(map[string]int), Config: make(map[string]int)}
	for _, s := range list {
		out.Settings[s.Settings]++
		out.Config[strconv.FormatUint(s.Config, 10)]++
		out.OldestMS = max(out.OldestMS, s.Age.Milliseconds())
	}
	return out
}

// mountMetrics serves the counters and latencies.
func mountMetrics(e *echo.Echo, vars *expvar.Map) {
	e.GET("/metrics", func(c echo.Context) error {
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(vars.String()))
	})
}
