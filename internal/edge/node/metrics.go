package node

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/labstack/echo/v4"
)

// vars returns the counters and latencies of this process.
func (r *Router) vars() *expvar.Map {
	vars := r.forwarder.Stats().Vars()
	vars.Set("latency_ms", expvar.Func(func() any { return r.forwarder.Stats().Latencies() }))
	vars.Set("in_flight", expvar.Func(func() any { return r.forwarder.InFlight() }))
	vars.Set("request_memory", expvar.Func(func() any { return r.forwarder.Memory() }))
	vars.Set("caller_connections", expvar.Func(func() any { return r.callerLimit.Counts() }))
	vars.Set("engine_connections", expvar.Func(func() any { return r.forwarder.Conns.Dials() }))
	vars.Set("engine_connections_busy", expvar.Func(func() any { return r.forwarder.Conns.Busy() }))
	vars.Set("engine_connections_unsolicited", &r.unsolicitedConns)
	vars.Set("engine_paths", expvar.Func(func() any { return r.enginePaths() }))
	vars.Set("tunnel_bytes", expvar.Func(func() any {
		s := r.tunnelCounters.Snapshot()
		return map[string]int64{"in": s.In, "out": s.Out}
	}))
	vars.Set("tunnels", expvar.Func(func() any { return r.dialer.Relays.InUse() }))
	vars.Set("relayed", expvar.Func(func() any { return r.relay.Stats() }))
	vars.Set("peer_calls", expvar.Func(func() any { return r.peerCounters.Snapshot() }))
	vars.Set("routers", expvar.Func(func() any { return r.routerCount() }))
	vars.Set("engines", expvar.Func(func() any { return len(r.board.Snapshot().Engines.ByID) }))
	vars.Set("engines_doubtful", expvar.Func(func() any { return len(r.board.Snapshot().Engines.Doubtful) }))
	vars.Set("engines_revision", expvar.Func(func() any { return r.board.Snapshot().Engines.Upto }))
	vars.Set("store_era", expvar.Func(func() any { return r.board.Snapshot().Engines.Era.String() }))
	vars.Set("engine_lists_ignored", r.reader.IgnoredLists())
	vars.Set("config_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().ConfigAge(bootclock.Now()).Milliseconds()
	}))
	vars.Set("engines_age_ms", expvar.Func(func() any {
		return r.board.Snapshot().EnginesAge(bootclock.Now()).Milliseconds()
	}))
	vars.Set("engines_ended", &r.enginesEnded)
	vars.Set("quarantine", expvar.Func(func() any { return newSuspectMetrics(r.suspects) }))
	vars.Set("evacuated_sites", expvar.Func(func() any { return r.board.Snapshot().Evacuations.Sites() }))
	vars.Set("cold_engines", expvar.Func(func() any { return r.coldEngines() }))
	vars.Set("engines_paused", expvar.Func(func() any { return milliseconds(r.engines.Pauses()) }))
	vars.Set("engines_brittle", expvar.Func(func() any { return r.engines.BrittleEngines() }))
	vars.Set("account_shares", expvar.Func(func() any { return r.shares.List() }))
	vars.Set("stream_origins", expvar.Func(func() any { return r.origins.Stats() }))
	vars.Set("engines_in_doubt", expvar.Func(func() any { return r.doubts.Count() }))
	vars.Set("engine_versions", expvar.Func(func() any { return r.versionList() }))
	vars.Set("engines_leaving", expvar.Func(func() any { return r.leavingEngines() }))
	vars.Set("settings", expvar.Func(func() any { return r.settingsMetrics() }))
	vars.Set("fleet", expvar.Func(func() any { return newFleetMetrics(r.statuses.All()) }))
	return vars
}

// coldEngines returns for how long each cold engine will still be treated as cold, in milliseconds,
// by its ID.
func (r *Router) coldEngines() map[string]int64 {
	return milliseconds(r.engines.ColdRemaining(r.board.Snapshot()))
}

// milliseconds returns the durations in milliseconds, by the same keys.
func milliseconds(durations map[string]time.Duration) map[string]int64 {
	out := make(map[string]int64, len(durations))
	for key, d := range durations {
		out[key] = d.Milliseconds()
	}
	return out
}

// settingsMetrics describes the active settings. Problem stays until the file is corrected, and
// WaitForRestart until the restart.
type settingsMetrics struct {
	Digest         string   `json:"digest"`
	AgeMS          int64    `json:"age_ms"`
	Problem        string   `json:"problem"`
	WaitForRestart []string `json:"wait_for_restart"`
}

func (r *Router) settingsMetrics() settingsMetrics {
	active := r.active.Load()
	out := settingsMetrics{Digest: active.digest, AgeMS: (bootclock.Now() - active.since).Milliseconds(), WaitForRestart: active.pendingRestart}
	out.Problem = r.settingsProblem()
	return out
}

// fleetMetrics counts the routers whose status this router receives, by the settings and the
// configuration that they run. The first router of the fleet receives the status of all.
type fleetMetrics struct {
	Settings map[string]int `json:"settings"`
	Config   map[string]int `json:"config"`
	// OldestMS is the age of the oldest status, in milliseconds.
	OldestMS int64 `json:"oldest_ms"`
}

func newFleetMetrics(statuses []feed.Status) fleetMetrics {
	out := fleetMetrics{Settings: make(map[string]int), Config: make(map[string]int)}
	for _, s := range statuses {
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
