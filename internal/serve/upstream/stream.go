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

// drainTimeout bounds the wait for the end of a body behind the end marker.
const drainTimeout = 100 * time.Millisecond

// maxDrain bounds what is read behind the end marker, in bytes.
const maxDrain = 512

// requestIDs are letters, digits, _ and -, so that no id is a path segment
// with a meaning of its own.
var requestIDs = regexp.MustCompile(`^[A-Za-z0-9_-]{1,128}$`)

// Event is one chunk of a stream, or its end.
type Event struct {
	// Offset is the chunk's place in the answer, counted from 0.
	Offset int
	// Data is the chunk's JSON, valid until the next call of Next.
	Data []byte
	// Done is set on the end marker: the answer is whole.
	Done bool
}

// Stream reads one answer. It is not safe for concurrent use; to stop a
// blocked Next, cancel the context that the stream was opened with.
type Stream struct {
	client *Client
	op     string
	call   Call
	rep    *reply
	ctx    context.Context
	events *sse.Reader
	timer  *time.Timer
	// wait is how long the next event may take: FirstChunk, later IdleGap.
	wait   time.Duration
	next   int
	idHead []byte
	done   bool
	err    error
}

// Stream starts a streamed chat completion.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	return c.open(ctx, request{
		op:      opStream,
		method:  http.MethodPost,
		path:    wire.PathChat,
		body:    call.Body,
		call:    call,
		typ:     protocol.TypeJSON,
		accept:  protocol.TypeEvents,
		pooled:  true,
		headers: c.opts.HeaderTimeout,
	}, 0)
}

// Resume continues the stream of call.RequestID at chunk from, always on a new
// connection: the old one may have gone silent, and so may its neighbours in
// the pool.
func (c *Client) Resume(ctx context.Context, call Call, from int) (*Stream, error) {
	return c.open(ctx, request{
		op:      opResume,
		method:  http.MethodGet,
		path:    wire.PathEngineStreams + call.RequestID,
		query:   url.Values{protocol.QueryFrom: {strconv.Itoa(from)}}.Encode(),
		call:    call,
		accept:  protocol.TypeEvents,
		headers: c.opts.HeaderTimeout,
	}, from)
}

// Cancel asks the engine to stop working on call.RequestID. A stream that the
// engine doesn't know is no error: it has ended already.
func (c *Client) Cancel(ctx context.Context, call Call) error {
	if err := checkRequestID(call.RequestID); err != nil {
		return &Failure{Op: opCancel, Sent: NotSent, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	rep, err := c.roundTrip(ctx, request{
		op:      opCancel,
		method:  http.MethodDelete,
		path:    wire.PathEngineStreams + call.RequestID,
		call:    call,
		pooled:  true,
		headers: c.opts.CallTimeout,
	})
	var f *Failure
	if errors.As(err, &f) && f.Code == protocol.CodeUnknownStream {
		return nil
	}
	if err != nil {
		return err
	}
	rep.close()
	return nil
}

func (c *Client) open(ctx context.Context, r request, from int) (*Stream, error) {
	if err := checkRequestID(r.call.RequestID); err != nil {
		return nil, &Failure{Op: r.op, Sent: NotSent, Cause: err}
	}
	if r.call.FirstChunk <= 0 {
		r.call.FirstChunk = c.opts.FirstChunk
	}
	if r.call.IdleGap <= 0 {
		r.call.IdleGap = c.opts.IdleGap
	}
	rep, err := c.roundTrip(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStreamHead(r.call, rep.res); err != nil {
		rep.close()
		return nil, &Failure{Op: r.op, Sent: SentNoReply, Status: rep.res.StatusCode, Cause: err}
	}
	return newStream(c, r, rep, from), nil
}

// checkRequestID allows ids that need no escaping. Request ids become part of
// a path; one such as "../orders" would make a cancel an order.
func checkRequestID(id string) error {
	if !requestIDs.MatchString(id) {
		return ErrCall.New("request id %q", id)
	}
	return nil
}

// checkStreamHead refuses a reply that is no stream or not ours.
func checkStreamHead(call Call, res *http.Response) error {
	if err := checkEcho(call, res); err != nil {
		return err
	}
	if err := checkAnswerer(call, res); err != nil {
		return err
	}
	if t := res.Header.Get("Content-Type"); !strings.HasPrefix(t, protocol.TypeEvents) {
		return ErrMalformed.New("content type %q", t)
	}
	return nil
}

// checkEcho compares the request id in the reply's header with ours. A reply
// left over on a connection would otherwise reach another caller.
func checkEcho(call Call, res *http.Response) error {
	if echoed := res.Header.Get(wire.HeaderRequestID); echoed != call.RequestID {
		return ErrMismatch.New("reply to request %q", echoed)
	}
	return nil
}

// checkAnswerer compares the name and incarnation in the reply's headers, if
// they are there, with those expected: not every upstream refuses by itself.
func checkAnswerer(call Call, res *http.Response) error {
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

func newStream(c *Client, r request, rep *reply, from int) *Stream {
	s := &Stream{
		client: c,
		op:     r.op,
		call:   r.call,
		rep:    rep,
		ctx:    rep.ctx,
		events: sse.NewReader(rep.res.Body, c.opts.MaxEvent),
		wait:   r.call.FirstChunk,
		next:   from,
		idHead: []byte(`{"id":"` + r.call.RequestID + `",`),
	}
	// One timer serves the whole stream. It runs only while Next waits, since
	// a caller that reads slowly doesn't make the engine silent. Its expiry
	// cancels the request, which closes the connection; a silent connection
	// can't return to the pool.
	s.timer = time.AfterFunc(s.wait, func() {
		rep.cancel(ErrIdle.New("no chunk in time"))
	})
	return s
}

// Next returns the next chunk. After an error or the end marker the stream is
// finished, and Next returns the same again.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	if s.done {
		return Event{Offset: s.next, Done: true}, nil
	}
	s.timer.Reset(s.wait)
	raw, err := s.events.Next()
	s.timer.Stop()
	if err != nil {
		return Event{}, s.fail(s.readCause(err))
	}
	ev, err := s.check(raw)
	if err != nil {
		return Event{}, s.fail(err)
	}
	s.wait = s.call.IdleGap
	return ev, nil
}

func (s *Stream) check(raw sse.Event) (Event, error) {
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

// checkChunkID compares the id inside the chunk. Engines write it first, so
// that a comparison of bytes mostly does; any other order of fields is parsed.
func (s *Stream) checkChunkID(data []byte) error {
	if bytes.HasPrefix(data, s.idHead) {
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

// readCause tells apart our own timers, our caller, and a broken stream.
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

// fail closes the stream. What was sent stays sent: a broken stream never
// proves that the request did not run.
func (s *Stream) fail(cause error) error {
	s.err = &Failure{Op: s.op, Sent: SentNoReply, Status: s.rep.res.StatusCode, Cause: cause}
	if s.rep.answer.Reused && ErrIdle.Has(cause) {
		s.client.conns.CloseIdle(s.call.Address)
	}
	s.rep.close()
	return s.err
}

// Offset returns the offset of the next chunk expected.
func (s *Stream) Offset() int { return s.next }

// Resume closes the stream and continues it on a new connection.
func (s *Stream) Resume(ctx context.Context) (*Stream, error) {
	from := s.next
	s.Close()
	return s.client.Resume(ctx, s.call, from)
}

// Close releases the connection. Only a stream read to its end marker gives it
// back to the pool; any other is closed, so no leftover can reach a later
// request.
func (s *Stream) Close() {
	if s.done {
		s.timer.Reset(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.rep.res.Body, maxDrain)
	}
	s.timer.Stop()
	s.rep.close()
}
