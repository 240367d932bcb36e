package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/zeebo/errs"
)

// maxEventSize limits one event of a stream, in bytes.
const maxEventSize = 256 << 10

// streamBufferSize is the size of one read from a stream, in bytes.
const streamBufferSize = 8 << 10

// eventEnd is the empty line that ends an event.
var eventEnd = []byte("\n\n")

// eventSplitter splits a stream into complete events and records the ID of the last one. An
// engine's response may end in the middle of an event; a partial event followed by another engine's
// events would corrupt the response to the caller.
type eventSplitter struct {
	pending []byte
	lastID  string
	// events counts the complete events.
	events int
}

// add appends bytes of the stream and returns the complete events among the pending bytes. The
// slice is valid until the next call.
func (s *eventSplitter) add(b []byte) []byte {
	searched := max(len(s.pending)-len(eventEnd)+1, 0)
	s.pending = append(s.pending, b...)
	end := bytes.LastIndex(s.pending[searched:], eventEnd)
	if end < 0 {
		return nil
	}
	complete := s.pending[:searched+end+len(eventEnd)]
	s.pending = append([]byte(nil), s.pending[len(complete):]...)
	s.recordLastID(complete)
	s.events += bytes.Count(complete, eventEnd)
	return complete
}

func (s *eventSplitter) recordLastID(complete []byte) {
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// relayStream relays a stream, event by event. If the route allows it, a truncated stream resumes
// at another engine after the last complete event.
func (x *exchange) relayStream(ctx context.Context, a *attempt) sendResult {
	defer func() { a.end() }()
	splitter := &eventSplitter{lastID: x.req.LastEvent}
	for {
		e, response := a.choice.Engine, a.response
		err := x.copyEvents(e, response, splitter)
		x.events = splitter.events
		x.recordConnectionEnd(response, err)
		if err == nil {
			err = x.checkEnd(ctx, e, response, len(splitter.pending) > 0)
		}
		if err == nil {
			x.f.Engines.RecordOutcome(e.ID, true)
			x.recordCompletion(e, response.Status)
			x.recordOutput(splitter.events)
			return x.endStream(response)
		}
		// An engine may go on with a stream that broke. It must not do so while another engine executes
		// the rest.
		a.end()
		splitter.pending = nil
		x.dropPending()
		if errNotRecorded.Has(err) {
			x.f.Log.Warn("stream not begun", "request", x.req.ID, "route", x.route.Name, "engine", e.ID, "version", e.Version, "reason", ReasonOriginUnknown, "cause", err)
			return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonOriginUnknown)}
		}
		if errNoMemory.Has(err) {
			return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonNoMemory)}
		}
		if refusal := x.handleReadError(ctx, e, err); refusal != nil {
			return sendResult{action: actionStop, refusal: refusal}
		}
		if !x.responded.Load() {
			return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonStreamBroken))
		}
		next := x.resume(ctx, e, splitter.lastID)
		if next == nil {
			return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonStreamBroken)}
		}
		a = next
		x.resumed = true
		x.logResumption(e, a.choice.Engine, splitter.lastID)
	}
}

// endStream checks that a stream that ended normally did not end without any event, unless its caller
// resumed it after the last one.
func (x *exchange) endStream(response *engineconn.Response) sendResult {
	if x.stream.resumes && !x.responded.Load() {
		// The caller left after the last event.
		x.writeHeader(response.Status, response.Header)
		x.w.WriteHeader(response.Status)
	}
	if !x.responded.Load() {
		return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonStreamBroken)}
	}
	return sendResult{action: actionDone}
}

// errNotRecorded wraps why a stream can't begin that could not be resumed at its version.
var errNotRecorded = errs.Class("stream not recorded")

// copyEvents relays events until the stream ends. Errors: errCallerLeft, errNoMemory, errNotRecorded,
// engineconn.ErrTruncated, engineconn.ErrMalformed.
func (x *exchange) copyEvents(e catalog.Engine, response *engineconn.Response, splitter *eventSplitter) error {
	control := http.NewResponseController(x.w)
	buf := make([]byte, streamBufferSize)
	for {
		n, err := response.Read(buf)
		if n > 0 {
			x.beginAnswer()
			x.recordProgress(e, response)
		}
		if complete := splitter.add(buf[:n]); len(complete) > 0 {
			if !x.responded.Load() {
				if !x.beginStream(e, response.OpenedAt()) {
					return errNotRecorded.New("a replica of the stream's record may state another version")
				}
				x.writeHeader(response.Status, response.Header)
				x.w.WriteHeader(response.Status)
			}
			if err := x.writeEvents(control, complete); err != nil {
				return errCallerLeft.Wrap(err)
			}
		}
		if !x.holdPending(len(splitter.pending)) {
			return errNoMemory.New("stream event of more than %d bytes", len(splitter.pending))
		}
		if len(splitter.pending) > maxEventSize {
			return engineconn.ErrMalformed.Wrap(engineconn.ErrTooLong.New("stream event of more than %d bytes", maxEventSize))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// resume continues a truncated stream at another engine, if the route and the retry budget allow
// it. If an engine refuses, resume tries the next one. It returns nil if the stream does not go on.
func (x *exchange) resume(ctx context.Context, truncated catalog.Engine, lastID string) *attempt {
	x.excluded[truncated.ID] = true
	for range maxEngineRefusals {
		if !x.mayResume(lastID) {
			break
		}
		if !x.holdVersion() {
			x.logNoResumption(truncated, lastID, ReasonOriginUnknown)
			break
		}
		choice, ok := x.pickEngine()
		if !ok {
			x.logNoResumption(truncated, lastID, ReasonVersionGone)
			break
		}
		a := x.newAttempt(choice)
		resumed, tryNext := x.sendResume(ctx, a, lastID)
		if resumed {
			return a
		}
		a.end()
		x.excluded[choice.Engine.ID] = true
		if !tryNext {
			break
		}
	}
	return nil
}

// mayResume reports whether the stream may resume after the event. It discards the refusal of
// checkBeforeSend, because a response that has begun is truncated whatever the reason.
func (x *exchange) mayResume(lastID string) bool {
	return x.route.Repeatable() && x.executed < x.route.Attempts && !x.tracker.LikelyCause() && lastID != "" && x.checkBeforeSend(x.disconnectRefusal()) == nil
}

// sendResume requests the events after lastID from an engine. It reports whether there is a response to
// relay, and otherwise whether the next engine may be tried.
func (x *exchange) sendResume(ctx context.Context, a *attempt, lastID string) (resumed, tryNext bool) {
	e := a.choice.Engine
	if !x.f.Budget.Spend(e.Service, x.f.Clock()) {
		return false, false
	}
	x.sends++
	x.reply = Reply{}
	x.sentAt, x.answeredAt, x.outlived = x.f.Clock(), 0, false
	response, err := x.f.Conns.Send(ctx, engineTarget(e), x.engineRequest(a.choice, lastID))
	if engineconn.ErrWithdrawn.Has(err) {
		return false, true
	}
	if err != nil {
		x.recordNoResponse(e, err)
		x.reportCut(ctx, e, err)
		x.logAttempt(e, err, 0)
		a.executing = !engineconn.ErrNotSent.Has(err)
		if a.executing {
			x.executed++
		}
		return false, !a.executing
	}
	a.response = response
	reply := x.f.Codec.Reply(response.Status, response.Header)
	x.recordSignals(a.choice, response.Status, reply)
	if reply.NotExecuted {
		x.handleEngineRefusal(e, response, reply)
		return false, true
	}
	x.executed++
	a.executing = true
	if !x.confirmVersion(e, response.OpenedAt()) {
		return false, true
	}
	if response.Status != http.StatusOK || !reply.Sealed || reply.Encoded {
		x.f.Engines.RecordOutcome(e.ID, false)
		return false, false
	}
	return true, false
}
