package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/decide/room"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
)

// Choice is the engine selected for a request.
type Choice struct {
	Engine catalog.Engine
	// FetchFrom is the address of an engine from whose cache the selected one should fetch the
	// missing parts of the prompt, or empty. Fetching takes less time and load than processing the
	// prompt again.
	FetchFrom string

	// permit is the granted permit, or nil if none was requested.
	permit *flow.Permit
	// isolate is the isolation key of the request.
	isolate uint64
	// startedAt is the reading of the boot clock when the request was counted at the engine, and hold
	// whether it still is.
	startedAt time.Duration
	hold      *hold
	// brittle is set if the permit is for a brittle engine.
	brittle bool
	// returning is set if the request is one of the first after a pause of the engine.
	returning *backoff.Return[string]
}

// hold is what a request occupies at its engine. The mutex of the Balancer guards it.
type hold struct {
	released bool
	// abandoned is set if the engine may go on with the request after its end here.
	abandoned bool
}

// Query describes a request for which an engine is selected.
type Query struct {
	// Shared holds the IDs of the prompt parts that other requests may have too, in order. It is
	// empty for requests without a prompt.
	Shared []string
	// Need is the memory that the request needs at an engine, as far as it is known.
	Need room.Need
	// Version is the only version of the engines' software at which the request may be executed, as it
	// resumes a stream; empty for any.
	Version string
	// Resumable is set for requests that begin a stream that can be resumed, which needs another engine
	// of the same version.
	Resumable bool
	// Excluded holds the IDs of engines that are not selected.
	Excluded map[string]bool
	// Unadmitted means that no gate limits the request: it goes only to an engine that has room also if
	// it is brittle.
	Unadmitted bool
	// Isolate is a hash of the request's content if the request may crash its engine, and zero
	// otherwise; see choose.PickIsolated.
	Isolate uint64
}
