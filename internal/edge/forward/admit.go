package forward

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

const (
	// catchUpWait is how long a request waits for a configuration that is too old,
	// or missing, to be confirmed. A router that was suspended, or has just started,
	// has the answer of its source within 20 to 100 ms; a refusal costs the caller a
	// pause and a second connection.
	configConfirmWait = 150 * time.Millisecond
	// firstWait is how long a request waits for the first configuration and the first
	// engines of a router that has just started, and firstShare the part of the caller's
	// time that it may wait at most. Three hundred routers that start together have them
	// after 0.1 to 0.4 s; refused, callers came back to routers that knew as little.
	startupWait      = time.Second
	startupWaitShare = 1.0 / 3
	// catchUpPoll is how often the configuration is looked at meanwhile.
	snapshotPollInterval = 5 * time.Millisecond
)

// admitOnce finds the route and the account by one snapshot. Whether the
// configuration has grown too old meanwhile is checked again before each send; see
// mayGoOn.
func (x *exchange) authorize(s *catalog.Snapshot) *Refusal {
	if s.Config == nil || s.Engines.Upto == 0 {
		return notExecuted(ReasonNoConfig, retrySoon)
	}
	age := s.ConfigAge(x.f.Clock())
	x.route = s.Config.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		if age > x.f.FreshFor() {
			return notExecuted(ReasonStaleConfig, retryStoreLost)
		}
		return rejected(http.StatusNotFound, ReasonNoRoute)
	}
	if !s.Config.NeedsKey(x.route) {
		return nil
	}
	if age > x.f.KeyLease() {
		return notExecuted(ReasonStaleConfig, retryStoreLost)
	}
	x.account = s.Config.Account(x.req.Key)
	if x.account == nil {
		if age > x.f.FreshFor() {
			return notExecuted(ReasonStaleConfig, retryStoreLost)
		}
		return rejected(http.StatusUnauthorized, ReasonUnknownKey)
	}
	return nil
}

// admit admits the request by the newest configuration. A router that wakes up finds
// requests in its sockets and a configuration as old as its sleep; it would refuse all
// of them although its source answers a moment later. So it waits for that moment,
// unless the store is known to be lost: then waiting would not help. A router that has just
// started waits for its first knowledge all the same, which another router may have.
func (x *exchange) admit() *Refusal {
	for {
		x.snapshot = x.f.Snapshot()
		refusal := x.authorize(x.snapshot)
		if !x.shouldWait(refusal) {
			return refusal
		}
		if !pause.For(x.r.Context(), snapshotPollInterval) {
			return refusal
		}
	}
}

// mayCatchUp says whether the refusal may soon be needless.
func (x *exchange) shouldWait(refusal *Refusal) bool {
	if refusal == nil {
		return false
	}
	waited := x.f.Clock() - x.started
	switch refusal.Reason {
	case ReasonNoConfig:
		limit := startupWait
		if x.req.Timeout > 0 {
			limit = min(limit, time.Duration(startupWaitShare*float64(x.req.Timeout)))
		}
		return waited < limit
	case ReasonStaleConfig:
		return waited < configConfirmWait && !x.f.StoreLost()
	}
	return false
}
