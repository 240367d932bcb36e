package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"github.com/labstack/echo/v4"
)

// PathEngines lists for operators the engines to which this router sends no new requests, or only few.
const PathEngines = "/engines"

// EngineState is why an engine gets no new requests, or only few.
type EngineState string

// The states of an engine. If several apply, the first one of this order is listed.
const (
	// EngineDraining is the state of the engine's entry in the store.
	EngineDraining EngineState = "draining"
	// EngineLeaving means that the engine has announced in a response that it will stop.
	EngineLeaving EngineState = "leaving"
	// EngineEvacuated means that an operator has evacuated the engine's site.
	EngineEvacuated EngineState = "evacuated"
	// EnginePaused means that the engine has asked the router for a pause.
	EnginePaused EngineState = "paused"
	EngineCold   EngineState = "cold"
)

// EngineStatus describes an engine that gets no new requests, or only few.
type EngineStatus struct {
	Engine  string      `json:"engine"`
	Service string      `json:"service"`
	Site    string      `json:"site"`
	State   EngineState `json:"state"`
	// ForMS is for how many more milliseconds the state holds; zero if it has no end.
	ForMS int64 `json:"for_ms,omitempty"`
}

// EngineList is the reply of PathEngines.
type EngineList struct {
	Router string `json:"router"`
	// Known is the number of engines that the router knows.
	Known   int            `json:"known"`
	Engines []EngineStatus `json:"engines"`
	// Versions are the versions of the engines' software, also of those that have served lately. Routers
	// of earlier releases list none.
	Versions []VersionStatus `json:"versions"`
}

// VersionStatus describes a version of the engines' software of a service.
type VersionStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Engines is the number of engines that run it, and Taking of those that take new requests.
	Engines int `json:"engines"`
	Taking  int `json:"taking"`
	forward.VersionCounts
}

// versionList returns the versions in the order of service and version.
func (r *Router) versionList() []VersionStatus {
	type key struct{ service, version string }
	s := r.board.Snapshot()
	byKey := make(map[key]*VersionStatus)
	status := func(service, version string) *VersionStatus {
		k := key{service, version}
		if byKey[k] == nil {
			byKey[k] = &VersionStatus{Service: service, Version: version, VersionCounts: r.forwarder.Stats().Version(service, version)}
		}
		return byKey[k]
	}
	history, _ := r.origins.History()
	for service, versions := range history {
		for _, version := range versions {
			status(service, version)
		}
	}
	for _, e := range s.Engines.ByID {
		v := status(e.Service, e.Version)
		v.Engines++
		if s.TakesRequests(e) {
			v.Taking++
		}
	}
	out := make([]VersionStatus, 0, len(byKey))
	for _, v := range byKey {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b VersionStatus) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	return out
}

// engineList returns the engines that get no new requests from this router, or only few.
func (r *Router) engineList() EngineList {
	s := r.board.Snapshot()
	paused, cold := r.engines.Pauses(), r.engines.ColdRemaining(s)
	out := EngineList{Router: r.self.Name, Known: len(s.Engines.ByID), Engines: []EngineStatus{}, Versions: r.versionList()}
	for id, e := range s.Engines.ByID {
		if state, left := engineState(s, e, paused[id], cold[id]); state != "" {
			out.Engines = append(out.Engines, EngineStatus{Engine: id, Service: e.Service, Site: e.Site, State: state, ForMS: left.Milliseconds()})
		}
	}
	slices.SortFunc(out.Engines, func(a, b EngineStatus) int { return strings.Compare(a.Engine, b.Engine) })
	return out
}

// engineState returns the state of an engine, or an empty string for one that gets requests, and for
// how long it holds.
func engineState(s *catalog.Snapshot, e catalog.Engine, paused, cold time.Duration) (EngineState, time.Duration) {
	switch {
	case e.Draining:
		return EngineDraining, 0
	case s.Leaving.Has(e):
		return EngineLeaving, 0
	case s.Evacuations.Active(e.Site):
		return EngineEvacuated, 0
	case paused > 0:
		return EnginePaused, paused
	case cold > 0:
		return EngineCold, cold
	}
	return "", 0
}

func (r *Router) mountEngines(e *echo.Echo) {
	e.GET(PathEngines, func(c echo.Context) error { return c.JSON(http.StatusOK, r.engineList()) })
}

// unsolicitedInterval is how often idle connections are searched for bytes that belong to no request.
const unsolicitedInterval = time.Second

// closeUnsolicited closes idle connections on which engines send bytes that belong to no request.
func (r *Router) closeUnsolicited(ctx context.Context) {
	for pause.For(ctx, unsolicitedInterval) {
		if n := r.forwarder.Conns.CloseUnsolicited(); n > 0 {
			r.unsolicitedConns.Add(int64(n))
			r.log.Warn("idle connections to engines closed", "connections", n, "cause", "bytes that belong to no request")
		}
	}
}
