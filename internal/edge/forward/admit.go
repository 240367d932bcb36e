package forward

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

const (
	// configConfirmWait is how long a request waits for a missing or outdated configuration to be
	// confirmed. A router that was suspended or has just started gets the confirmation within 20 to
	// 100 ms; a refusal would cost the caller a pause and a second connection.
	configConfirmWait = 150 * time.Millisecond
	// startupWait is how long a request waits for the first configuration and the first engines of
	// a router that has just started; startupWaitShare limits the wait to a share of the caller's
	// timeout. 300 routers started together have both after 0.1 to 0.4 s. When requests were
	// refused instead, callers retried at routers that had no configuration either.
	startupWait      = time.Second
	startupWaitShare = 1.0 / 3
	// snapshotPollInterval is how often a waiting request reads the current snapshot.
	snapshotPollInterval = 5 * time.Millisecond
)

// authorize finds the route and the account in one snapshot. Before each send, checkBeforeSend
// checks again whether the configuration has become too old.
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

// admit authorizes the request with the newest configuration. When a router resumes after it was
// suspended, requests are waiting in its sockets, and its configuration was last confirmed before
// the suspension. Without a wait, it would refuse all of these requests although the store or
// another router confirms the configuration moments later. admit therefore waits for the
// confirmation, unless the store is known to be unreachable, in which case waiting would not help.
// A router that has just started waits for its first snapshot even if the store is unreachable,
// because another router may supply it.
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

// shouldWait reports whether the reason for the refusal may be resolved shortly.
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
