package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// chatBody is a chat request with the sampling fields that usual clients
// send. Any other field is refused rather than silently dropped, and what goes
// upstream is encoded anew, so that the engine reads what the router read.
type chatBody struct {
	wire.ChatRequest
	Temperature      json.RawMessage `json:"temperature,omitempty"`
	TopP             json.RawMessage `json:"top_p,omitempty"`
	N                json.RawMessage `json:"n,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	Seed             json.RawMessage `json:"seed,omitempty"`
	User             json.RawMessage `json:"user,omitempty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty,omitempty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
	Tools            json.RawMessage `json:"tools,omitempty"`
	ToolChoice       json.RawMessage `json:"tool_choice,omitempty"`
	StreamOptions    json.RawMessage `json:"stream_options,omitempty"`
}

const (
	maxMessages  = 4096
	maxMaxTokens = 1 << 20
)

// turn is one chat request on its way through the router.
type turn struct {
	s     *Server
	who   *caller
	id    string
	body  chatBody
	bytes []byte
	// prefixes are the message boundaries of the prompt.
	prefixes []chat.Boundary
	pools    []*config.Pool
	place    placement.Request
	avoid    []uint64
	arrived  time.Time
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	arrived := time.Now()
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if c.Request().Header.Get(wire.HeaderIdempotencyKey) != "" {
		return httperr.BadRequest(wire.HeaderIdempotencyKey + " has no meaning for chats: an unfinished answer is resumed, not run again")
	}
	t := &turn{s: s, who: who, id: requestID(c), arrived: arrived}
	if err := t.read(c); err != nil {
		return err
	}
	if err := t.prepare(c.Request().Header.Get(wire.HeaderPrefixHint)); err != nil {
		return err
	}
	done, err := s.Quota.Take(c.Request().Context(), who.account)
	if err != nil {
		return err
	}
	defer done()
	st, err := t.open(c.Request().Context())
	if err != nil {
		return err
	}
	if t.body.Stream {
		return s.relay(c, st)
	}
	return s.collect(c, st)
}

func (t *turn) read(c echo.Context) error {
	raw, err := readBody(c, t.s.MaxBody)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&t.body); err != nil {
		return httperr.BadRequest("body is not a chat request: " + err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return httperr.BadRequest("data after the end of the body")
	}
	return t.check()
}

func (t *turn) check() error {
	b := &t.body
	switch {
	case b.Model == "":
		return httperr.BadRequest("model is missing")
	case len(b.Messages) == 0:
		return httperr.BadRequest("messages are missing")
	case len(b.Messages) > maxMessages:
		return httperr.BadRequest("too many messages")
	case b.MaxTokens < 0 || b.MaxTokens > maxMaxTokens:
		return httperr.BadRequest("max_tokens is out of range")
	}
	for _, m := range b.Messages {
		if m.Role == "" {
			return httperr.BadRequest("a message has no role")
		}
	}
	return nil
}

// readBody reads a body of at most limit bytes.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	r := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	raw, err := io.ReadAll(r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, httperr.TooLarge()
	}
	if err != nil {
		return nil, httperr.BadRequest("body could not be read").WithCause(err)
	}
	return raw, nil
}

// prepare finds the pools and what is known about the chat's prefix.
func (t *turn) prepare(hint string) error {
	unknown := apierr.New(apierr.CodeUnknownModel, http.StatusNotFound, "no such model here")
	if !t.who.account.MayUse(t.body.Model) {
		return unknown
	}
	t.pools = t.who.config.PoolsFor(t.body.Model, t.body.Adapter)
	if len(t.pools) == 0 {
		return unknown
	}
	t.prefixes = chat.Boundaries(t.body.Model, t.body.Adapter, t.body.Messages)
	if err := t.describe(hint); err != nil {
		return err
	}
	// Streaming towards the engine is used for whole answers as well: only a
	// stream can be resumed when its connection breaks.
	out := t.body
	out.Stream = true
	raw, err := json.Marshal(out)
	if err != nil {
		return httperr.BadRequest("body could not be encoded").WithCause(err)
	}
	t.bytes = raw
	return nil
}

func (t *turn) describe(hint string) error {
	output := t.body.MaxTokens
	if output == 0 {
		output = chat.DefaultMaxTokens
	}
	n := len(t.prefixes)
	t.place = placement.Request{
		Chat:         t.who.chat,
		PromptTokens: t.prefixes[n-1].Tokens,
		OutputTokens: output,
	}
	if n > 1 && t.who.chat != 0 {
		t.place.EarlierTokens = t.prefixes[n-2].Tokens
	}
	q := prefix.Query{Chat: t.who.chat, Boundaries: t.prefixes, Model: prefix.ModelID(t.body.Model)}
	if hint != "" {
		h, err := t.s.Tokens.OpenHint(t.who.account.Name, hint)
		if err != nil {
			return apierr.New(apierr.CodeBadHint, http.StatusBadRequest, "prefix hint is not valid").WithCause(err)
		}
		q.Hint = &h
	}
	t.place.Evidence = t.s.Facts.Evidence(q)
	return nil
}

// open gets a grant and a stream whose first chunk has arrived. Until then
// nothing has reached the caller, so the request may go to another engine.
func (t *turn) open(ctx context.Context) (*answer, error) {
	tries := t.s.newAttempts(true, t.who.deadline)
	for {
		// Each attempt has an id of its own at the engine, which no caller can
		// choose: two requests with one id would get each other's answers.
		grant, err := t.s.Admitter.Admit(ctx, t.request(uuid.NewString()))
		if err != nil {
			return nil, tries.after(ctx, err)
		}
		st, err := t.start(ctx, grant)
		if err == nil {
			return st, nil
		}
		t.failedAt(grant, err)
		if final := tries.after(ctx, err); final != nil {
			return nil, final
		}
	}
}

// failedAt ends an attempt that gave no chunk. The engine may be working on
// it: a chat can be repeated, but the first copy must not go on using the engine.
func (t *turn) failedAt(g *admission.Grant, err error) {
	if !upstream.SentOf(err).DidNotRun() {
		t.s.cancelLater(t.call(g))
	}
	g.Release()
	t.s.Admitter.Observe(g.Engine.Name, admission.Observation{Kind: outlier.Failure})
	t.avoid = append(t.avoid, g.Engine.ID)
}

func (t *turn) request(attempt string) *admission.Request {
	return &admission.Request{
		ID:       attempt,
		Account:  t.who.account,
		Class:    t.who.class,
		Pools:    t.pools,
		Adapter:  t.body.Adapter != "",
		Deadline: t.who.deadline,
		Place:    t.place,
		Avoid:    t.avoid,
	}
}

func (t *turn) start(ctx context.Context, g *admission.Grant) (*answer, error) {
	// The stream outlives the caller's connection for the resume grace, so it
	// hangs on a context of its own that the answer cancels.
	sctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	call := t.call(g)
	st, err := t.s.Upstream.Stream(sctx, call)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	a := &answer{s: t.s, turn: t, grant: g, call: call, stream: st, ctx: sctx, cancel: cancel, sent: time.Now()}
	if err := a.first(); err != nil {
		stop()
		st.Close()
		cancel()
		return nil, err
	}
	stop()
	return a, nil
}

func (t *turn) call(g *admission.Grant) upstream.Call {
	return upstream.Call{
		Address:     g.Engine.Address,
		Name:        g.Engine.Name,
		Incarnation: g.Incarnation,
		RequestID:   g.ID,
		Priority:    t.who.class.String(),
		Body:        t.bytes,
	}
}
