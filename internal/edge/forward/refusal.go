package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// Reason identifies why the router refused a request or failed to serve it.
type Reason string

// The reasons as sent in responses and written to logs.
const (
	ReasonMalformed Reason = "malformed_request"
	ReasonTooLarge  Reason = "body_too_large"
	// ReasonPromptTooLarge means that the prompt is larger than the memory of any engine that serves the route.
	ReasonPromptTooLarge Reason = "prompt_too_large"
	ReasonSlowBody       Reason = "body_too_slow"
	// ReasonNoMemory means that the requests at this router hold all of the memory that it has for them, and
	// ReasonSlowCaller that an answer was given up because its caller read nothing while others needed the memory.
	ReasonNoMemory    Reason = "router_memory_used_up"
	ReasonSlowCaller  Reason = "caller_read_too_slowly"
	ReasonNoConfig    Reason = "no_configuration"
	ReasonStaleConfig Reason = "configuration_not_confirmed"
	ReasonNoRoute     Reason = "no_route"
	ReasonUnknownKey  Reason = "unknown_key"
	ReasonNoEngine    Reason = "no_engine"
	// ReasonPaused means that all engines have asked for a pause, or some have and the others have
	// announced that they will stop; ReasonLeaving that all have announced it.
	ReasonPaused      Reason = "engines_paused"
	ReasonLeaving     Reason = "engines_leaving"
	ReasonUnreachable Reason = "engines_unreachable"
	ReasonRefused     Reason = "engines_refused"
	ReasonOverload    Reason = "no_place_in_time"
	// ReasonBeyondShare means that the request is beyond the fair share of its account, and that nothing
	// was left over for it in time.
	ReasonBeyondShare   Reason = "beyond_account_share"
	ReasonDraining      Reason = "router_leaving"
	ReasonTimeout       Reason = "time_limit"
	ReasonNoAnswer      Reason = "engine_gave_no_answer"
	ReasonEngineFailure Reason = "engine_answered_failure"
	ReasonBadAnswer     Reason = "engine_answer_malformed"
	ReasonCallerLeft    Reason = "caller_left"
	ReasonStreamBroken  Reason = "stream_broken"
	// ReasonOriginUnknown means that it can't be told which version began the stream that the request
	// resumes, and ReasonVersionGone that no engine of that version takes requests.
	ReasonOriginUnknown Reason = "stream_origin_unknown"
	ReasonVersionGone   Reason = "stream_version_gone"
	// ReasonQuarantined means that several engines have ended while they executed the request, and
	// ReasonHeld that it is being decided whether the request is the cause.
	ReasonQuarantined Reason = "request_quarantined"
	ReasonHeld        Reason = "request_held"
	// ReasonPartQuarantined means that several engines have ended while they answered requests with one
	// part of the prompt.
	ReasonPartQuarantined Reason = "prompt_part_quarantined"
)

// Refusal is a final error response that the router itself generates.
type Refusal struct {
	Status int
	Reason Reason
	// Ran states whether the request may have executed. Status codes 408, 421, 429 and 503
	// guarantee that it did not.
	Ran apierr.Ran
	// RetryAfter is how long the caller should wait before a retry; zero sends no suggestion.
	RetryAfter time.Duration
}

// Suggested waits before a retry. They are short compared with callers' timeouts, because callers
// wait for at most a third of their remaining time.
const (
	// retrySoon is for conditions that another router or a short delay resolves.
	retrySoon = 100 * time.Millisecond
	// retryLater is for engines that are full or unavailable.
	retryLater = 250 * time.Millisecond
	// retryStoreLost is for an unreachable store, whose outages last seconds.
	retryStoreLost = 700 * time.Millisecond
)

// notExecuted returns a refusal that guarantees that the request has not executed and will not.
func notExecuted(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Ran: apierr.RanNo, RetryAfter: retryAfter}
}

// rejected returns a refusal of a request that the caller must correct.
func rejected(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: apierr.RanNo}
}

// maybeExecuted returns a failure after which the request may have executed.
func maybeExecuted(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: apierr.RanUnknown}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error Reason     `json:"error"`
	Ran   apierr.Ran `json:"ran"`
}

// write sends the refusal. It ignores write errors, which mean that the caller has disconnected.
func (r *Refusal) write(w http.ResponseWriter, codec Codec, requestID string) {
	h := w.Header()
	codec.Refusal(h, requestID)
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	// Marshaling a struct of two strings can't fail.
	body, _ := json.Marshal(refusalBody{Error: r.Reason, Ran: r.Ran})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
