package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/reach"
	"github.com/zeebo/errs"
)

const (
	// maxBufferedResponse limits the responses that are read completely before they are relayed, in
	// bytes. Until the first byte is relayed, an incomplete response can be replaced by that of another
	// engine or by an error response. A response that does not announce its length may not exceed it: a faulty
	// engine may send one without end.
	maxBufferedResponse = 1 << 20
	// maxResponse limits the length that a response announces, in bytes.
	maxResponse = 64 << 20
)

// relayBuffered reads the complete response and relays it.
func (x *exchange) relayBuffered(ctx context.Context, e catalog.Engine, response *engineconn.Response) sendResult {
	x.beginAnswer()
	counted, body := x.counted(limitBody(response), 0), []byte(nil)
	err := checkLength(response)
	if err == nil {
		body, err = io.ReadAll(counted)
	}
	x.recordConnectionEnd(response, err)
	if err == nil && len(body) > maxBufferedResponse || errNoMemory.Has(err) {
		return x.relayUnbuffered(ctx, e, response, body)
	}
	if err == nil {
		err = x.checkEnd(ctx, e, response, false)
	}
	if err != nil {
		counted.drop()
		if refusal := x.handleReadError(ctx, e, err); refusal != nil {
			return sendResult{action: actionStop, refusal: refusal}
		}
		return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonBadAnswer))
	}
	x.recordCompletion(e, response.Status)
	if response.Status < http.StatusInternalServerError {
		x.f.Engines.RecordOutcome(e.ID, true)
		x.writeResponse(response.Status, response.Header, body)
		if x.givenUp.Load() {
			return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
		}
		return sendResult{action: actionDone}
	}
	if !x.limitsLoad(response.Status) {
		x.f.Engines.RecordOutcome(e.ID, false)
	}
	x.engineFailure = &engineFailure{response.Status, response.Header, body}
	return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonEngineFailure))
}

// checkLength checks the length that a response announces. Errors: engineconn.ErrMalformed.
func checkLength(response *engineconn.Response) error {
	if response.Length > maxResponse {
		return engineconn.ErrMalformed.Wrap(engineconn.ErrTooLong.New("response of %d bytes", response.Length))
	}
	return nil
}

// limitBody returns a reader of the part of a body that is kept before it is relayed. It fails if a body that does
// not announce its length exceeds that.
func limitBody(response *engineconn.Response) io.Reader {
	if response.Length >= 0 {
		return io.LimitReader(response, maxBufferedResponse+1)
	}
	return &boundedReader{response, maxBufferedResponse}
}

// boundedReader reads a body that does not announce its length. Errors: those of the body,
// engineconn.ErrMalformed beyond left bytes.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	// One byte more than is left tells a body that ends there from a longer one.
	n, err := b.r.Read(p[:min(len(p), b.left+1)])
	if n > b.left {
		return b.left, engineconn.ErrMalformed.Wrap(engineconn.ErrTooLong.New("more than %d bytes without an announced length", maxBufferedResponse))
	}
	b.left -= n
	return n, err
}

// handleReadError returns the refusal that ends a request whose response was truncated, or nil if
// the engine is at fault and the request may go to another engine.
func (x *exchange) handleReadError(ctx context.Context, e catalog.Engine, err error) *Refusal {
	x.reportCut(ctx, e, err)
	switch {
	case errCallerLeft.Has(err) || x.callerDisconnected():
		return x.disconnectRefusal()
	case x.remaining() <= 0 || errTimeLimit.Has(err):
		return x.timeoutRefusal()
	}
	x.recordNoResponse(e, err)
	x.logAttempt(e, err, 0)
	return nil
}

// checkEnd checks an answer that seems complete. One without a length or chunks ends with its
// connection, as if the engine had ended: it is complete only if the engine still accepts connections,
// and a stream only if it has not ended inside an event. An engine also ends it at the time limit that the request
// was sent with. Errors: engineconn.ErrTruncated, errTimeLimit.
func (x *exchange) checkEnd(ctx context.Context, e catalog.Engine, response *engineconn.Response, insideEvent bool) error {
	switch {
	case response.Framed && insideEvent:
		return engineconn.ErrTruncated.New("stream ended inside an event")
	case insideEvent:
		return engineconn.ErrTruncated.New("stream ended inside an event: %w", io.ErrUnexpectedEOF)
	case response.Framed:
		return nil
	case x.remaining() <= timeLimitMargin:
		return errTimeLimit.New("an answer without a length ended at the time limit of its request")
	}
	return x.confirmRunning(ctx, e, response.EndAge())
}

// recordConnectionEnd records how the connection of an answer with neither a length nor chunks ended; err is that of its
// last read, or nil at its end.
func (x *exchange) recordConnectionEnd(response *engineconn.Response, err error) {
	switch {
	case response.Framed:
		return
	case err == nil:
		x.connectionEnd = "closed"
	case errors.Is(err, syscall.ECONNRESET):
		x.connectionEnd = "reset"
	default:
		return
	}
	x.f.stats.recordConnectionEnd(x.connectionEnd)
}

// errTimeLimit means that an engine has ended an answer because of the time limit of the request.
var errTimeLimit = errs.Class("time limit of the request")

const (
	// timeLimitMargin is how long before the deadline an engine may end an answer because of it: time limits are
	// sent in whole milliseconds, and the engine's timers are its own.
	timeLimitMargin = 20 * time.Millisecond
	// endCheckTimeout bounds one attempt to reach an engine after an answer without a length, and endCheckLimit all
	// of them, from when the end of the answer arrived. Through a lossy path an attempt may fail though the engine runs.
	// Within the limit no other engine gets the address.
	endCheckTimeout = 150 * time.Millisecond
	endCheckLimit   = time.Second
	// endCheckPause is the pause between two attempts.
	endCheckPause = 10 * time.Millisecond
)

// confirmRunning checks that an engine has not ended since an answer of it, the end of which arrived age ago at most. While the
// path to it is lost, other routers are asked. Errors: engineconn.ErrTruncated if the engine has ended, or no router has
// reached it in time.
func (x *exchange) confirmRunning(ctx context.Context, e catalog.Engine, age time.Duration) error {
	if age >= endCheckLimit {
		// The router stood still, or its caller did not read. Another process may have the address by now.
		if !x.f.Conns.Survives(e.ID, x.f.Clock()-age) && !isStart(x.f.Conns, x.f.Codec, e) {
			return engineconn.ErrTruncated.New("an answer without a length had ended %v before that was seen", age)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckLimit-age)
	defer cancel()
	for {
		err := x.openTo(ctx, e)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED) || reach.ErrEngineDown.Has(err):
			return engineconn.ErrTruncated.New("the engine has ended: %w", io.ErrUnexpectedEOF)
		case !pause.For(ctx, endCheckPause):
			return engineconn.ErrTruncated.New("an answer without a length has ended, and the engine was not reached: %v", err)
		}
	}
}

// openTo opens a connection to an engine and keeps it for the next request.
func (x *exchange) openTo(ctx context.Context, e catalog.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return x.f.Conns.Open(ctx, engineTarget(e), x.idleConnLimit(e.Service))
}

// engineFailure is an engine's own error response.
type engineFailure struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse relays a response that was read completely.
func (x *exchange) writeResponse(status int, header http.Header, body []byte) {
	x.writeHeader(status, header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A write error means that the caller has disconnected, or that its answer was given up.
	_, _ = callerWriter{x}.Write(body)
}

// relayUnbuffered relays a response that is too long to buffer. start is what was already read.
func (x *exchange) relayUnbuffered(ctx context.Context, e catalog.Engine, response *engineconn.Response, start []byte) sendResult {
	x.writeHeader(response.Status, response.Header)
	if response.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.w.WriteHeader(response.Status)
	if _, err := (callerWriter{x}).Write(start); err != nil {
		return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
	}
	rest := io.Reader(response)
	if response.Length < 0 {
		rest = &boundedReader{response, maxBufferedResponse - len(start)}
	}
	_, err := io.Copy(callerWriter{x}, rest)
	x.recordConnectionEnd(response, err)
	if err == nil {
		err = x.checkEnd(ctx, e, response, false)
	}
	if x.givenUp.Load() {
		return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
	}
	if err != nil {
		if engineconn.ErrTruncated.Has(err) {
			x.reportCut(ctx, e, err)
		}
		if engineconn.ErrMalformed.Has(err) {
			x.recordNoResponse(e, err)
			x.logAttempt(e, err, 0)
		}
		return sendResult{action: actionStop, refusal: maybeExecuted(http.StatusBadGateway, ReasonBadAnswer)}
	}
	x.recordCompletion(e, response.Status)
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
	x.responded.Store(true)
	x.status = status
	x.firstByte = x.f.Clock() - x.started
}
