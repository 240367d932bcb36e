package forward

import (
	"context"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/crash"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
)

// trackSuspicion begins to follow the request as a possible cause of the end of engines.
func (x *exchange) trackSuspicion() {
	c := quarantine.Content{Account: x.accountName(), Method: x.r.Method, Host: x.r.Host, Target: x.requestTarget(), Body: x.body}
	x.tracker = suspects.NewTracker(x.f.Suspects, c, x.route.Name, x.req.SuspectParts)
}

// reportCut reports that the connection to the engine broke, unless the router itself closed it. It
// does so also if the caller has left: a non-idempotent request continues at its engine.
func (x *exchange) reportCut(ctx context.Context, e catalog.Engine, err error) {
	if ctx.Err() != nil || errCallerLeft.Has(err) || !engineconn.IsCut(err) {
		return
	}
	x.f.stats.recordCut()
	x.tracker.RecordCut(quarantine.EngineStart{ID: e.ID, Born: e.Born})
	// An engine that was slow to respond may have ended after the attempt there timed out.
	for _, ended := range append(x.timedOutAt, e) {
		request, completed := x.tracker.Suspect()
		c := quarantine.Cut{Request: request, Content: x.tracker.ContentHash(), Answered: x.answeredFor(), Exposure: x.f.Clock() - x.sentAt}
		for _, p := range x.tracker.Parts(ended.Service) {
			c.Parts = append(c.Parts, quarantine.CutPart{Part: p})
		}
		x.f.Cut(ended, crash.Cut{RequestID: x.req.ID, Cut: c, Completed: completed})
	}
	x.timedOutAt = nil
}

// beginAnswer records that the engine of the last send has begun to answer.
func (x *exchange) beginAnswer() {
	if x.answeredAt == 0 {
		x.answeredAt = x.f.Clock()
	}
}

// answeredFor returns the time since the engine of the last send began to answer, or zero if it has not.
func (x *exchange) answeredFor() time.Duration {
	if x.answeredAt == 0 {
		return 0
	}
	return x.f.Clock() - x.answeredAt
}

// checkSuspicion returns the refusal of a request that must not be sent to an engine, or nil. The
// status of a request that is quarantined, or whose prompt has a part that is, is one after which
// callers do not retry: it is refused for longer than any of them waits.
func (x *exchange) checkSuspicion() *Refusal {
	status := x.tracker.Status()
	if status.Quarantined {
		return rejected(http.StatusBadRequest, ReasonQuarantined)
	}
	if x.refusedPart() != (quarantine.Part{}) {
		return rejected(http.StatusBadRequest, ReasonPartQuarantined)
	}
	if left := status.HeldUntil - x.f.Clock(); left > 0 {
		return notExecuted(ReasonHeld, left)
	}
	return nil
}
