package traffic

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
)

// SuspectSet holds the requests that engines were executing when they ended. *suspects.Set
// implements it.
type SuspectSet interface {
	suspects.Source
	// Now returns the time on the clock of the set.
	Now() time.Duration
	RecordEnd(quarantine.End, []quarantine.Cut)
}

// noSuspects is the SuspectSet of a Server without Options.Suspects.
type noSuspects struct{ suspects.None }

// Now implements SuspectSet.
func (noSuspects) Now() time.Duration { return 0 }

// RecordEnd implements SuspectSet.
func (noSuspects) RecordEnd(quarantine.End, []quarantine.Cut) {}

// quarantineRetryAfter is suggested for a request in quarantine, which lasts minutes.
const quarantineRetryAfter = 10 * time.Minute

// suspicionError returns the refusal of a request that must not be sent to an engine, or nil.
// scope is the model, or the service, for which parts of prompts are known.
func (s *Server) suspicionError(t *suspects.Tracker, scope string) *apierr.Error {
	if t.Restriction(scope).Refused != (quarantine.Part{}) {
		return apierr.New(apierr.CodePartQuarantined, http.StatusUnprocessableEntity, "several engines have ended while they answered requests with one of these messages").
			WithRetryAfter(quarantineRetryAfter)
	}
	status := t.Status()
	if status.Quarantined {
		return apierr.New(apierr.CodeQuarantined, http.StatusUnprocessableEntity, "several engines have ended while they executed this request").
			WithRetryAfter(quarantineRetryAfter)
	}
	if left := status.HeldUntil - s.Suspects.Now(); left > 0 {
		return apierr.New(apierr.CodeHeld, http.StatusServiceUnavailable, "engines have ended while they executed this request; its cause is being determined").
			WithRetryAfter(left)
	}
	return nil
}

// reportCut records that the connection to an upstream broke, and finds out in the background
// whether the upstream has ended. sentAt is when the request was sent, on the clock of the suspects, and
// scope as for suspicionError.
func (s *Server) reportCut(t *suspects.Tracker, scope string, sentAt time.Duration, call upstream.Call, err error) {
	if !engineconn.IsCut(err) {
		return
	}
	engine := call.Name + "#" + strconv.FormatUint(call.Incarnation, 10)
	t.RecordCut(quarantine.EngineStart{ID: engine})
	request, completed := t.Suspect()
	c := quarantine.Cut{Request: request, Content: t.ContentHash(), Exposure: s.Suspects.Now() - sentAt}
	for _, p := range t.Parts(scope) {
		c.Parts = append(c.Parts, quarantine.CutPart{Part: p})
	}
	end := quarantine.End{Engine: engine, At: s.Suspects.Now()}
	go s.investigate(end, c, completed, call)
}

// upstreamProbePauses are the pauses before each check whether an upstream still runs.
var upstreamProbePauses = []time.Duration{
	20 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

const (
	// upstreamProbeTimeout bounds one check.
	upstreamProbeTimeout = 300 * time.Millisecond
	// endProbes is the number of checks whose connection the upstream's VM refuses or breaks before
	// the upstream counts as ended.
	endProbes = 2
)

// investigate determines whether an upstream has ended. A broken connection alone proves nothing: the
// network may have reset it.
func (s *Server) investigate(end quarantine.End, cut quarantine.Cut, completed *atomic.Bool, call upstream.Call) {
	refused := 0
	for _, wait := range upstreamProbePauses {
		if !pause.For(s.shutdownCtx, wait) {
			return
		}
		err := s.probe(call)
		switch {
		case err == nil:
			return
		case errors.Is(err, syscall.ECONNREFUSED) || engineconn.IsCut(err):
			refused++
		}
		if !upstream.ErrIdentity.Has(err) && refused < endProbes {
			continue
		}
		s.log.Warn("upstream ended", "upstream", end.Engine, "request", call.RequestID, "fingerprint", cut.Request.Fingerprint, "evidence", err)
		if !completed.Load() {
			s.Suspects.RecordEnd(end, []quarantine.Cut{cut})
		}
		return
	}
}

// probe requests the status of an upstream. The error is ErrIdentity if another upstream or
// incarnation replies.
func (s *Server) probe(call upstream.Call) error {
	ctx, cancel := context.WithTimeout(s.shutdownCtx, upstreamProbeTimeout)
	defer cancel()
	_, err := s.Upstream.Status(ctx, upstream.Call{Address: call.Address, Name: call.Name, Incarnation: call.Incarnation, Brief: true})
	return err
}
