package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// Reason names a refusal or failure of the router's own.
type Reason string

// The reasons, as they stand in answers and logs.
const (
	ReasonMalformed     Reason = "malformed_request"
	ReasonTooLarge      Reason = "body_too_large"
	ReasonSlowBody      Reason = "body_too_slow"
	ReasonNoConfig      Reason = "no_configuration"
	ReasonStaleConfig   Reason = "configuration_not_confirmed"
	ReasonNoRoute       Reason = "no_route"
	ReasonUnknownKey    Reason = "unknown_key"
	ReasonNoEngine      Reason = "no_engine"
	ReasonUnreachable   Reason = "engines_unreachable"
	ReasonRefused       Reason = "engines_refused"
	ReasonOverload      Reason = "no_place_in_time"
	ReasonDraining      Reason = "router_leaving"
	ReasonTimeout       Reason = "time_limit"
	ReasonNoAnswer      Reason = "engine_gave_no_answer"
	ReasonEngineFailure Reason = "engine_answered_failure"
	ReasonBadAnswer     Reason = "engine_answer_malformed"
	ReasonCallerLeft    Reason = "caller_left"
	ReasonStreamBroken  Reason = "stream_broken"
)

// Refusal is a final answer of the router's own.
type Refusal struct {
	Status int
	Reason Reason
	// Ran says whether the request may have executed. A status of 408, 421,
	// 429 or 503 promises that it did not.
	Ran apierr.Ran
	// RetryAfter is when to come back; zero means not to say.
	RetryAfter time.Duration
}

// Pauses before a caller comes back. They are short against the time limits of
// callers, who take a third of what they have left at most.
const (
	// retrySoon is for what another router, or the next moment, mends.
	retrySoon = 100 * time.Millisecond
	// retryLater is for engines that are full or gone.
	retryLater = 250 * time.Millisecond
	// retryStore is for a lost store, whose return takes seconds.
	retryStoreLost = 700 * time.Millisecond
)

// notRun is a refusal that promises that the request did not execute and won't.
func notExecuted(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Ran: apierr.RanNo, RetryAfter: retryAfter}
}

// rejected is a refusal of a request that the caller must change.
func rejected(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: apierr.RanNo}
}

// failed is a failure after which the request may have executed.
func maybeExecuted(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: apierr.RanUnknown}
}

// refusalBody is what a caller reads of a refusal.
type refusalBody struct {
	Error Reason     `json:"error"`
	Ran   apierr.Ran `json:"ran"`
}

// write sends the refusal. Errors of writing mean that the caller has left.
func (r *Refusal) write(w http.ResponseWriter, codec Codec, requestID string) {
	h := w.Header()
	codec.Refusal(h, requestID)
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	// A struct of two strings can't fail to encode.
	body, _ := json.Marshal(refusalBody{Error: r.Reason, Ran: r.Ran})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
