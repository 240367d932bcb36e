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

// stream collects one answer over as many connections as it takes.
type stream struct {
	v         *Conversation
	requestID string
	body      []byte
	started   time.Time
	onToken   func(string)

	streamID string
	text     strings.Builder
	next     int
	resume   string
	hint     string
	last     time.Time
	turn     Turn
}

// run sends the request, and goes on elsewhere while that is safe: before the
// first chunk by sending it again, after it only by resuming.
func (s *stream) run(ctx context.Context) (Turn, error) {
	var last error
	for attempt := 0; attempt < s.v.c.opts.Attempts; attempt++ {
		addrs, err := s.v.c.locate(ctx, question{chat: s.v.id, model: s.v.model, hint: s.v.hint})
		if err != nil {
			return s.turn, err
		}
		addr := addrs[attempt%len(addrs)]
		last = s.once(ctx, addr)
		if last == nil {
			s.turn.Text = s.text.String()
			return s.turn, nil
		}
		if !s.mayGoOn(ctx, last) {
			return s.turn, last
		}
		s.v.c.Forget(s.v.id, s.v.model)
		if s.resume != "" {
			s.turn.Resumes++
		}
	}
	return s.turn, last
}

// mayGoOn says whether another address should be tried. A typed refusal is
// final but for a router that is leaving or not ready yet.
func (s *stream) mayGoOn(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	e, ok := err.(*apierr.Error)
	if !ok {
		return true
	}
	return e.Code == apierr.CodeLeaving || e.Code == apierr.CodeNotReady
}

func (s *stream) once(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The connection may go silent for good while new ones work; reads would
	// then wait for ever. Each sign of life pushes the timer on.
	idle := time.AfterFunc(s.v.c.opts.IdleGap, cancel)
	defer idle.Stop()

	req, err := s.nextRequest(ctx, addr)
	if err != nil {
		return err
	}
	resp, err := s.v.c.http.Do(req)
	if err != nil {
		return unreached(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	s.takeHeaders(resp.Header)
	return s.read(sse.NewReader(resp.Body, 0), idle)
}

// unreached says what a failed attempt proves: only where no connection was
// made is it certain that nothing was sent.
func unreached(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNoRouter.Wrap(err)
	}
	return ErrOutcomeUnknown.Wrap(err)
}

func (s *stream) nextRequest(ctx context.Context, addr string) (*http.Request, error) {
	if s.resume == "" {
		return s.v.request(ctx, addr, s.requestID, s.body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.v.c.url(addr, wire.PathResume), nil)
	if err != nil {
		return nil, ErrProtocol.Wrap(err)
	}
	s.v.c.authorize(req)
	req.Header.Set(wire.HeaderResumeToken, s.resume)
	if s.next > 0 {
		req.Header.Set(wire.HeaderLastEventID, strconv.Itoa(s.next-1))
	}
	return req, nil
}

func (s *stream) takeHeaders(h http.Header) {
	s.turn.Router = h.Get(wire.HeaderRouter)
	s.streamID = h.Get(wire.HeaderStreamID)
	if t := h.Get(wire.HeaderResumeToken); t != "" {
		s.resume = t
	}
	if t := h.Get(wire.HeaderPrefixHint); t != "" {
		s.hint = t
	}
	if h.Get(wire.HeaderMoved) != "" {
		s.v.c.Forget(s.v.id, s.v.model)
	}
}

func (s *stream) read(r *sse.Reader, idle *time.Timer) error {
	r.OnComment = func() { idle.Reset(s.v.c.opts.IdleGap) }
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return ErrOutcomeUnknown.New("stream ended without its end marker")
		}
		if err != nil {
			return ErrOutcomeUnknown.Wrap(err)
		}
		idle.Reset(s.v.c.opts.IdleGap)
		if _, ok := sse.ParseID(ev.ID); !ok && len(ev.ID) > 0 {
			return ErrOutcomeUnknown.New("event id %q", ev.ID)
		}
		if string(ev.Data) == wire.DoneMarker {
			return nil
		}
		if err := s.take(ev.Data); err != nil {
			return err
		}
	}
}

// take checks that the chunk belongs to this request and is the next one.
func (s *stream) take(data []byte) error {
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
	if ch.Offset < s.next {
		return nil
	}
	if ch.Offset > s.next {
		return ErrProtocol.New("chunk %d where %d was due", ch.Offset, s.next)
	}
	s.next++
	s.clock()
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

func (s *stream) clock() {
	now := time.Now()
	if s.next == 1 {
		s.turn.FirstToken = now.Sub(s.started)
	} else {
		s.turn.Gaps = append(s.turn.Gaps, now.Sub(s.last))
	}
	s.last = now
}
