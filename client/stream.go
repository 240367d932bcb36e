package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/sse"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// stream collects one streamed response, over several connections if needed.
type stream struct {
	conv      *Conversation
	requestID string
	body      []byte
	started   time.Time
	onToken   func(string)

	streamID    string
	text        strings.Builder
	nextOffset  int
	resumeToken string
	hint        string
	lastChunk   time.Time
	turn        Turn
}

// run sends the request and retries on other addresses while that is safe: it
// resends the request until a resume token has been received, and only resumes
// the stream after that.
func (s *stream) run(ctx context.Context) (Turn, error) {
	var last error
	for attempt := 0; attempt < s.conv.c.opts.Attempts; attempt++ {
		addrs, err := s.conv.c.locate(ctx, locateQuery{chat: s.conv.id, model: s.conv.model, hint: s.conv.hint})
		if err != nil {
			return s.turn, err
		}
		addr := addrs[attempt%len(addrs)]
		last = s.attemptAt(ctx, addr)
		if last == nil {
			s.turn.Text = s.text.String()
			return s.turn, nil
		}
		if !s.mayRetry(ctx, last) {
			return s.turn, last
		}
		s.conv.c.Forget(s.conv.id, s.conv.model)
		if s.resumeToken != "" {
			s.turn.Resumes++
		}
	}
	return s.turn, last
}

// mayRetry reports whether to try another address after err. A typed refusal is
// final, except one from a router that is draining or not ready yet.
func (s *stream) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	e, ok := err.(*apierr.Error)
	if !ok {
		return true
	}
	return e.Code == apierr.CodeDraining || e.Code == apierr.CodeNotReady
}

func (s *stream) attemptAt(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A connection can stall forever while new ones work, and reads from it
	// would block forever. Each event and heartbeat resets the timer.
	idleTimer := time.AfterFunc(s.conv.c.opts.IdleGap, cancel)
	defer idleTimer.Stop()

	req, err := s.nextRequest(ctx, addr)
	if err != nil {
		return err
	}
	resp, err := s.conv.c.http.Do(req)
	if err != nil {
		return connectError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp)
	}
	s.readHeaders(resp.Header)
	return s.read(sse.NewReader(resp.Body, 0), idleTimer)
}

// connectError classifies an error of the HTTP client. Only a failed dial proves
// that nothing was sent; any other error leaves the outcome unknown.
func connectError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNoRouter.Wrap(err)
	}
	return ErrOutcomeUnknown.Wrap(err)
}

func (s *stream) nextRequest(ctx context.Context, addr string) (*http.Request, error) {
	if s.resumeToken == "" {
		return s.conv.request(ctx, addr, s.requestID, s.body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.conv.c.url(addr, wire.PathResume), nil)
	if err != nil {
		return nil, ErrProtocol.Wrap(err)
	}
	s.conv.c.authorize(req)
	req.Header.Set(wire.HeaderResumeToken, s.resumeToken)
	if s.nextOffset > 0 {
		req.Header.Set(wire.HeaderLastEventID, strconv.Itoa(s.nextOffset-1))
	}
	return req, nil
}

func (s *stream) readHeaders(h http.Header) {
	s.turn.Router = h.Get(wire.HeaderRouter)
	s.streamID = h.Get(wire.HeaderStreamID)
	if t := h.Get(wire.HeaderResumeToken); t != "" {
		s.resumeToken = t
	}
	if t := h.Get(wire.HeaderPrefixHint); t != "" {
		s.hint = t
	}
	if h.Get(wire.HeaderLocateAgain) != "" {
		s.conv.c.Forget(s.conv.id, s.conv.model)
	}
}

func (s *stream) read(r *sse.Reader, idleTimer *time.Timer) error {
	r.OnComment = func() { idleTimer.Reset(s.conv.c.opts.IdleGap) }
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return ErrOutcomeUnknown.New("stream ended without its end marker")
		}
		if err != nil {
			return ErrOutcomeUnknown.Wrap(err)
		}
		idleTimer.Reset(s.conv.c.opts.IdleGap)
		if _, ok := sse.ParseID(ev.ID); !ok && len(ev.ID) > 0 {
			return ErrOutcomeUnknown.New("event id %q", ev.ID)
		}
		if string(ev.Data) == wire.DoneMarker {
			return nil
		}
		if err := s.addChunk(ev.Data); err != nil {
			return err
		}
	}
}

// addChunk appends a chunk to the response. It skips chunks that were received
// before, and returns ErrProtocol for a chunk of another request or a gap.
func (s *stream) addChunk(data []byte) error {
	var ch struct {
		wire.Chunk
		Error *apierr.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &ch); err != nil {
		return ErrProtocol.Wrap(err)
	}
	if ch.Error != nil {
		return ch.Error
	}
	if ch.ID != s.streamID {
		return ErrProtocol.New("chunk of another request")
	}
	if ch.Offset < s.nextOffset {
		return nil
	}
	if ch.Offset > s.nextOffset {
		return ErrProtocol.New("chunk %d where %d was due", ch.Offset, s.nextOffset)
	}
	s.nextOffset++
	s.recordTiming()
	if ch.Usage != nil {
		s.turn.Usage = *ch.Usage
	}
	for _, c := range ch.Choices {
		s.text.WriteString(c.Delta.Content)
		if s.onToken != nil {
			s.onToken(c.Delta.Content)
		}
	}
	return nil
}

func (s *stream) recordTiming() {
	now := time.Now()
	if s.nextOffset == 1 {
		s.turn.FirstToken = now.Sub(s.started)
	} else {
		s.turn.Gaps = append(s.turn.Gaps, now.Sub(s.lastChunk))
	}
	s.lastChunk = now
}
