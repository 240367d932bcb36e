package forward

import (
	"io"
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// wholeAnswer bounds the answers that are read whole before they are passed on,
// in bytes. Until then a broken answer can still become another engine's, or an
// honest failure.
const wholeAnswer = 1 << 20

// relayWhole reads the whole answer and passes it on.
func (x *exchange) relayWhole(e catalog.Engine, answer *engineconn.Answer) result {
	body, err := io.ReadAll(io.LimitReader(answer, wholeAnswer))
	if err == nil && len(body) == wholeAnswer {
		return x.relayLong(answer, body)
	}
	if err != nil {
		if refusal := x.brokeOff(e, err); refusal != nil {
			return result{verdict: over, refusal: refusal}
		}
		return x.mayRepeat(failed(http.StatusBadGateway, ReasonBadAnswer))
	}
	if answer.Status < http.StatusInternalServerError {
		x.f.Engines.Note(e.ID, true)
		x.answerWhole(answer.Status, answer.Header, body)
		return result{verdict: done}
	}
	x.f.Engines.Note(e.ID, false)
	x.failure = &wholeFailure{answer.Status, answer.Header, body}
	return x.mayRepeat(failed(http.StatusBadGateway, ReasonFailure))
}

// brokeOff returns the refusal that ends a request whose answer broke off, or nil if
// the engine is to blame and the request may go on elsewhere.
func (x *exchange) brokeOff(e catalog.Engine, err error) *Refusal {
	switch {
	case errCallerLeft.Has(err) || x.callerLeft():
		return x.gone()
	case x.remaining() <= 0:
		return x.timeUp()
	}
	x.f.Engines.Note(e.ID, false)
	x.logAttempt(e, err, 0)
	return nil
}

// wholeFailure is an engine's own answer that the request failed.
type wholeFailure struct {
	status int
	header http.Header
	body   []byte
}

// answerWhole passes on an answer that was read whole.
func (x *exchange) answerWhole(status int, header http.Header, body []byte) {
	x.writeHeader(status, header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that has left needs no answer.
	_, _ = x.w.Write(body)
}

// relayLong passes on an answer that is too long to be held.
func (x *exchange) relayLong(answer *engineconn.Answer, start []byte) result {
	x.writeHeader(answer.Status, answer.Header)
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(start); err != nil {
		return result{verdict: over, refusal: x.gone()}
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		return result{verdict: over, refusal: failed(http.StatusBadGateway, ReasonBadAnswer)}
	}
	return result{verdict: done}
}

// writeHeader copies the engine's header for the caller.
func (x *exchange) writeHeader(status int, header http.Header) {
	leaving := x.w.Header().Get("Connection")
	x.f.Codec.CallerHeader(x.w.Header(), header)
	if leaving != "" {
		x.w.Header().Set("Connection", leaving)
	}
	x.answered = true
	x.status = status
	x.firstByte = x.f.Clock() - x.started
}
