package forward

import (
	"io"
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// maxBufferedAnswer limits the answers that are read completely before they are passed on, in
// bytes. Until something is passed on, a broken answer can be replaced by that of another engine or
// by an error response.
const maxBufferedAnswer = 1 << 20

// relayBuffered reads the complete answer and passes it on.
func (x *exchange) relayBuffered(e catalog.Engine, answer *engineconn.Answer) sendResult {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedAnswer))
	if err == nil && len(body) == maxBufferedAnswer {
		return x.relayUnbuffered(answer, body)
	}
	if err != nil {
		if refusal := x.handleReadError(e, err); refusal != nil {
			return sendResult{action: actionStop, refusal: refusal}
		}
		return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonBadAnswer))
	}
	if answer.Status < http.StatusInternalServerError {
		x.f.Engines.RecordOutcome(e.ID, true)
		x.writeAnswer(answer.Status, answer.Header, body)
		return sendResult{action: actionDone}
	}
	x.f.Engines.RecordOutcome(e.ID, false)
	x.engineFailure = &engineFailure{answer.Status, answer.Header, body}
	return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonEngineFailure))
}

// handleReadError returns the refusal that ends a request whose answer broke off, or nil if the
// engine is at fault and the request may go to another engine.
func (x *exchange) handleReadError(e catalog.Engine, err error) *Refusal {
	switch {
	case errCallerLeft.Has(err) || x.callerDisconnected():
		return x.disconnectRefusal()
	case x.remaining() <= 0:
		return x.timeoutRefusal()
	}
	x.f.Engines.RecordOutcome(e.ID, false)
	x.logAttempt(e, err, 0)
	return nil
}

// engineFailure is an engine's own error response.
type engineFailure struct {
	status int
	header http.Header
	body   []byte
}

// writeAnswer passes on an answer that was read completely.
func (x *exchange) writeAnswer(status int, header http.Header, body []byte) {
	x.writeHeader(status, header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = x.w.Write(body)
}

// relayUnbuffered passes on an answer that is too long to buffer. start is the part that was
// already read.
func (x *exchange) relayUnbuffered(answer *engineconn.Answer, start []byte) sendResult {
	x.writeHeader(answer.Status, answer.Header)
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(start); err != nil {
		return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonBadAnswer)}
	}
	return sendResult{action: actionDone}
}

// writeHeader copies the engine's header to the caller's response. It keeps a Connection header set
// while draining.
func (x *exchange) writeHeader(status int, header http.Header) {
	connection := x.w.Header().Get("Connection")
	x.f.Codec.CallerHeader(x.w.Header(), header)
	if connection != "" {
		x.w.Header().Set("Connection", connection)
	}
	x.answered = true
	x.status = status
	x.firstByte = x.f.Clock() - x.started
}
