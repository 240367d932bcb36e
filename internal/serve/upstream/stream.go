package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/sse"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// Names of the operations, as they appear in Failure.Op.
const (
	opStream   = "stream"
	opResume   = "resume"
	opCancel   = "cancel"
	opComplete = "complete"
	opService  = "service"
	opStatus   = "status"
	opEvents   = "events"
	opExport   = "export"
	opImport   = "import"
)

// drainTimeout bounds the wait for the end of a body after the end marker.
const drainTimeout = 100 * time.Millisecond

// maxDrain is the maximum number of bytes that are read after the end marker.
const maxDrain = 512

// requestIDPattern allows letters, digits, _ and -, so that no id is a special
// path segment such as "..".
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,128}$`)

// Event is one chunk of a stream, or its end.
type Event struct {
	// Offset is the index of the chunk in the response, counted from 0.
	Offset int
	// Data is the JSON of the chunk. It is valid until the next call of Next.
	Data []byte
	// Done is set for the end marker: the response is complete.
	Done bool
}

// Stream reads a streamed response. It is not safe for concurrent use. A blocked
// Next is stopped by canceling the context that the stream was opened with.
type Stream struct {
	client *Client
	op     string
	call   Call
	ex     *exchange
	ctx    context.Context
	events *sse.Reader
	timer  *time.Timer
	// timeout bounds the wait for the next event: FirstChunk at first, then IdleGap.
	timeout  time.Duration
	next     int
	idPrefix []byte
	done     bool
	err      error
}

// Stream starts a streamed chat completion. The caller must close the stream.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	return c.openStream(ctx, request{
		op:            opStream,
		method:        http.MethodPost,
		path:          wire.PathChat,
		body:          call.Body,
		call:          call,
		contentType:   protocol.TypeJSON,
		accept:        protocol.TypeEvents,
		pooled:        true,
		headerTimeout: c.opts.HeaderTimeout,
	}, 0)
}

// Resume continues the stream of call.RequestID at chunk from. It always opens
// a new connection: if the network has dropped the connection of the
// interrupted stream, it may have dropped the pooled ones too. The caller must
// close the stream.
func (c *Client) Resume(ctx context.Context, call Call, from int) (*Stream, error) {
	return c.openStream(ctx, request{
		op:            opResume,
		method:        http.MethodGet,
		path:          wire.PathEngineStreams + call.RequestID,
		query:         url.Values{protocol.QueryFrom: {strconv.Itoa(from)}}.Encode(),
		call:          call,
		accept:        protocol.TypeEvents,
		headerTimeout: c.opts.HeaderTimeout,
	}, from)
}

// Cancel requests that the engine stop executing call.RequestID. It returns no error if the engine
// doesn't know the stream, which has then ended already.
func (c *Client) Cancel(ctx context.Context, call Call) error {
	if err := checkRequestID(call.RequestID); err != nil {
		return &Failure{Op: opCancel, Sent: NotSent, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	ex, err := c.roundTrip(ctx, request{
		op:            opCancel,
		method:        http.MethodDelete,
		path:          wire.PathEngineStreams + call.RequestID,
		call:          call,
		pooled:        true,
		headerTimeout: c.opts.CallTimeout,
	})
	var f *Failure
	if errors.As(err, &f) && f.Code == protocol.CodeUnknownStream {
		return nil
	}
	if err != nil {
		return err
	}
	ex.close()
	return nil
}

func (c *Client) openStream(ctx context.Context, r request, from int) (*Stream, error) {
	if err := checkRequestID(r.call.RequestID); err != nil {
		return nil, &Failure{Op: r.op, Sent: NotSent, Cause: err}
	}
	if r.call.FirstChunk <= 0 {
		r.call.FirstChunk = c.opts.FirstChunk
	}
	if r.call.IdleGap <= 0 {
		r.call.IdleGap = c.opts.IdleGap
	}
	ex, err := c.roundTrip(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStreamHeader(r.call, ex.res); err != nil {
		ex.close()
		return nil, &Failure{Op: r.op, Sent: SentNoReply, Status: ex.res.StatusCode, Cause: err}
	}
	return newStream(c, r, ex, from), nil
}

// checkRequestID rejects ids that would need escaping. Request ids become part of
// a path: one such as "../orders" would send a cancel to another control path.
// Errors: ErrCall.
func checkRequestID(id string) error {
	if !requestIDPattern.MatchString(id) {
		return ErrCall.New("request id %q", id)
	}
	return nil
}

// checkStreamHeader rejects a response that is not a stream, belongs to another
// request or comes from another upstream. Errors: ErrIdentity, ErrMalformed,
// ErrMismatch.
func checkStreamHeader(call Call, res *http.Response) error {
	if err := checkEcho(call, res); err != nil {
		return err
	}
	if err := checkResponder(call, res); err != nil {
		return err
	}
	if t := res.Header.Get("Content-Type"); !strings.HasPrefix(t, protocol.TypeEvents) {
		return ErrMalformed.New("content type %q", t)
	}
	return nil
}

// checkEcho compares the request id in the response header with that of the call.
// Without the check, a stale response on a reused connection would reach another
// caller. Errors: ErrMismatch.
func checkEcho(call Call, res *http.Response) error {
	if echoed := res.Header.Get(wire.HeaderRequestID); echoed != call.RequestID {
		return ErrMismatch.New("reply to request %q", echoed)
	}
	return nil
}

// checkResponder compares the name and incarnation in the response headers, if
// present, with those expected. Not every upstream rejects a request that is meant
// for another. Errors: ErrIdentity.
func checkResponder(call Call, res *http.Response) error {
	name := res.Header.Get(protocol.HeaderName)
	if call.Name != "" && name != "" && name != call.Name {
		return ErrIdentity.New("name %q instead of %q", name, call.Name)
	}
	got := res.Header.Get(wire.HeaderIncarnation)
	want := strconv.FormatUint(call.Incarnation, 10)
	if call.Incarnation != 0 && got != "" && got != want {
		return ErrIdentity.New("incarnation %q instead of %s", got, want)
	}
	return nil
}

func newStream(c *Client, r request, ex *exchange, from int) *Stream {
	s := &Stream{
		client:   c,
		op:       r.op,
		call:     r.call,
		ex:       ex,
		ctx:      ex.ctx,
		events:   sse.NewReader(ex.res.Body, c.opts.MaxEvent),
		timeout:  r.call.FirstChunk,
		next:     from,
		idPrefix: []byte(`{"id":"` + r.call.RequestID + `",`),
	}
	// The timer is reused for the whole stream. After the first call of Next it runs only while
	// Next waits, since a slow caller doesn't mean that the engine has stalled. Its expiry cancels
	// the request, which closes the connection, so a stalled connection can't return to the pool.
	s.timer = time.AfterFunc(s.timeout, func() {
		ex.cancel(ErrIdle.New("no chunk in time"))
	})
	return s
}

// Next returns the next chunk or the end marker. After an error or the end marker,
// every further call returns the same result. Errors are of type *Failure.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	if s.done {
		return Event{Offset: s.next, Done: true}, nil
	}
	s.timer.Reset(s.timeout)
	raw, err := s.events.Next()
	s.timer.Stop()
	if err != nil {
		return Event{}, s.fail(s.readCause(err))
	}
	event, err := s.checkEvent(raw)
	if err != nil {
		return Event{}, s.fail(err)
	}
	s.timeout = s.call.IdleGap
	return event, nil
}

func (s *Stream) checkEvent(raw sse.Event) (Event, error) {
	if string(raw.Data) == wire.DoneMarker {
		s.done = true
		return Event{Offset: s.next, Done: true}, nil
	}
	offset, ok := sse.ParseID(raw.ID)
	if !ok {
		return Event{}, ErrMalformed.New("event id %q", raw.ID)
	}
	if err := s.checkChunkID(raw.Data); err != nil {
		return Event{}, err
	}
	if offset != s.next {
		return Event{}, ErrOffset.New("chunk %d instead of %d", offset, s.next)
	}
	s.next++
	return Event{Offset: offset, Data: raw.Data}, nil
}

// checkChunkID compares the id in the chunk with that of the request. Engines
// write it as the first field, so comparing the prefix is usually enough; the
// JSON is parsed only if the fields are in another order. Errors: ErrMalformed,
// ErrMismatch.
func (s *Stream) checkChunkID(data []byte) error {
	if bytes.HasPrefix(data, s.idPrefix) {
		return nil
	}
	var c struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return ErrMalformed.Wrap(err)
	}
	if c.ID != s.call.RequestID {
		return ErrMismatch.New("chunk of request %q", c.ID)
	}
	return nil
}

// readCause returns the cause of a failed read: a timeout, a canceled context, an
// event beyond the limit, or a broken stream.
func (s *Stream) readCause(err error) error {
	switch {
	case sse.ErrTooLong.Has(err):
		return ErrTooLarge.Wrap(err)
	case s.ctx.Err() != nil:
		return transportCause(s.ctx, err)
	default:
		return ErrIncomplete.Wrap(err)
	}
}

// fail closes the stream and returns its failure. A broken stream never proves
// that the request was not executed.
func (s *Stream) fail(cause error) error {
	s.err = &Failure{Op: s.op, Sent: SentNoReply, Status: s.ex.res.StatusCode, Cause: cause}
	if s.ex.raw.Reused && ErrIdle.Has(cause) {
		s.client.conns.CloseIdle(s.call.Address)
	}
	s.ex.close()
	return s.err
}

// Offset returns the offset of the next expected chunk.
func (s *Stream) Offset() int { return s.next }

// Resume closes the stream and continues it on a new connection.
func (s *Stream) Resume(ctx context.Context) (*Stream, error) {
	from := s.next
	s.Close()
	return s.client.Resume(ctx, s.call, from)
}

// Close ends the stream. Its connection returns to the pool only if the stream was
// read to its end marker, and is closed otherwise, so that no remaining data can
// reach a later request.
func (s *Stream) Close() {
	if s.done {
		s.timer.Reset(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.ex.res.Body, maxDrain)
	}
	s.timer.Stop()
	s.ex.close()
}
