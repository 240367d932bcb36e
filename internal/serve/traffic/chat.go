package traffic

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
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

// chatBody is a chat request with the sampling fields that callers usually
// send. A request with any other field is refused, so that no field is silently
// dropped. The body is encoded again for the upstream, so that engine and
// router interpret it alike.
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
	maxMessages     = 4096
	maxOutputTokens = 1 << 20
)

// chatRequest is the state of one chat request in the router.
type chatRequest struct {
	s       *Server
	caller  *callerInfo
	id      string
	body    chatBody
	encoded []byte
	// prefixes are the prefixes of the prompt at its message boundaries,
	// shortest first.
	prefixes  []chat.Boundary
	pools     []*config.Pool
	placement placement.Request
	excluded  []uint64
	arrivedAt time.Time
	// tracker follows the request as a possible cause of the end of engines.
	tracker suspects.Tracker
	// sentAt and answeredAt are when the last attempt was sent and when its response began, on the clock
	// of the suspects.
	sentAt, answeredAt time.Duration
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	arrivedAt := time.Now()
	caller, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if c.Request().Header.Get(wire.HeaderIdempotencyKey) != "" {
		return httperr.BadRequest(wire.HeaderIdempotencyKey + " has no meaning for chats: an unfinished answer is resumed, not run again")
	}
	r := &chatRequest{s: s, caller: caller, id: requestID(c), arrivedAt: arrivedAt}
	if err := r.read(c); err != nil {
		return err
	}
	if err := r.prepare(c.Request().Header.Get(wire.HeaderPrefixHint)); err != nil {
		return err
	}
	release, err := s.Quota.Take(c.Request().Context(), caller.account)
	if err != nil {
		return err
	}
	defer release()
	resp, err := r.open(c.Request().Context())
	if err != nil {
		return err
	}
	if r.body.Stream {
		return s.relay(c, resp)
	}
	return s.collect(c, resp)
}

func (r *chatRequest) read(c echo.Context) error {
	raw, err := readBody(c, r.s.MaxBody)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r.body); err != nil {
		return httperr.BadRequest("body is not a chat request: " + err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return httperr.BadRequest("data after the end of the body")
	}
	return r.validate()
}

func (r *chatRequest) validate() error {
	b := &r.body
	switch {
	case b.Model == "":
		return httperr.BadRequest("model is missing")
	case len(b.Messages) == 0:
		return httperr.BadRequest("messages are missing")
	case len(b.Messages) > maxMessages:
		return httperr.BadRequest("too many messages")
	case b.MaxTokens < 0 || b.MaxTokens > maxOutputTokens:
		return httperr.BadRequest("max_tokens is out of range")
	}
	for _, m := range b.Messages {
		if m.Role == "" {
			return httperr.BadRequest("a message has no role")
		}
	}
	return nil
}

// readBody reads a body of at most limit bytes. Its errors are *apierr.Error.
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

// prepare finds the pools for the request and the evidence of where its prefix
// is cached, and encodes the body for the upstream.
func (r *chatRequest) prepare(hint string) error {
	unknownModel := apierr.New(apierr.CodeUnknownModel, http.StatusNotFound, "no such model here")
	if !r.caller.account.MayUse(r.body.Model) {
		return unknownModel
	}
	r.pools = r.caller.config.PoolsFor(r.body.Model, r.body.Adapter)
	if len(r.pools) == 0 {
		return unknownModel
	}
	r.prefixes = chat.Boundaries(r.body.Model, r.body.Adapter, r.body.Messages)
	if err := r.setPlacement(hint); err != nil {
		return err
	}
	// The engine streams the response even if the caller did not request a stream,
	// since only a stream can be resumed when its connection breaks.
	upstreamBody := r.body
	upstreamBody.Stream = true
	raw, err := json.Marshal(upstreamBody)
	if err != nil {
		return httperr.BadRequest("body could not be encoded").WithCause(err)
	}
	r.encoded = raw
	r.tracker = suspects.NewTracker(r.s.Suspects, quarantine.Content{
		Account: r.caller.account.Name, Method: http.MethodPost, Target: wire.PathChat, Body: raw,
	}, r.body.Model, r.promptParts)
	return nil
}

// promptParts returns hashes of the messages but the last: one of them may crash engines in any chat.
func (r *chatRequest) promptParts() []string {
	messages := r.body.Messages[:max(len(r.body.Messages)-1, 0)]
	out := make([]string, len(messages))
	for i, m := range messages {
		sum := sha256.Sum256([]byte(m.Role + "\x00" + m.Content))
		out[i] = hex.EncodeToString(sum[:16])
	}
	return out
}

func (r *chatRequest) setPlacement(hint string) error {
	outputTokens := r.body.MaxTokens
	if outputTokens == 0 {
		outputTokens = chat.DefaultMaxTokens
	}
	n := len(r.prefixes)
	r.placement = placement.Request{
		Chat:         r.caller.affinityKey,
		PromptTokens: r.prefixes[n-1].Tokens,
		OutputTokens: outputTokens,
	}
	if n > 1 && r.caller.affinityKey != 0 {
		r.placement.EarlierTokens = r.prefixes[n-2].Tokens
	}
	query := prefix.Query{Chat: r.caller.affinityKey, Boundaries: r.prefixes, Model: prefix.ModelID(r.body.Model)}
	if hint != "" {
		h, err := r.s.Tokens.OpenHint(r.caller.account.Name, hint)
		if err != nil {
			return apierr.New(apierr.CodeBadHint, http.StatusBadRequest, "prefix hint is not valid").WithCause(err)
		}
		query.Hint = &h
	}
	r.placement.Evidence = r.s.Facts.Evidence(query)
	return nil
}

// open returns a response whose first chunk has arrived. Until then nothing has
// reached the caller, so the request may be sent to another engine.
func (r *chatRequest) open(ctx context.Context) (*chatResponse, error) {
	attempts := r.s.newAttemptTracker(true, r.caller.deadline)
	for {
		if refusal := r.s.suspicionError(&r.tracker, r.body.Model); refusal != nil {
			return nil, attempts.withRan(refusal)
		}
		// Each attempt has its own id at the engine, which callers cannot
		// choose: two requests with one id would receive each other's
		// responses.
		grant, err := r.s.Admitter.Admit(ctx, r.admissionRequest(uuid.NewString()))
		if err != nil {
			return nil, attempts.handleFailure(ctx, err)
		}
		r.sentAt = r.s.Suspects.Now()
		resp, err := r.start(ctx, grant)
		if err == nil {
			r.answeredAt = r.s.Suspects.Now()
			return resp, nil
		}
		r.attemptFailed(grant, err)
		if r.tracker.LikelyCause() {
			return nil, attempts.withRan(upstreamError(err)).WithRan(apierr.RanUnknown)
		}
		if refusal := attempts.handleFailure(ctx, err); refusal != nil {
			return nil, refusal
		}
	}
}

// attemptFailed ends an attempt that produced no chunk. The engine may still be
// executing the request. A chat may be executed again at another engine, but
// the first execution must not continue to occupy its engine, so it is
// canceled.
func (r *chatRequest) attemptFailed(grant *admission.Grant, err error) {
	if !upstream.SentOf(err).NotExecuted() {
		r.s.reportCut(&r.tracker, r.body.Model, r.sentAt, r.upstreamCall(grant), err)
		r.s.cancelInBackground(r.upstreamCall(grant))
	}
	r.s.recordFailure(grant, err)
	grant.Release()
	r.excluded = append(r.excluded, grant.Engine.ID)
}

func (r *chatRequest) admissionRequest(attempt string) *admission.Request {
	return &admission.Request{
		ID:       attempt,
		Account:  r.caller.account,
		Class:    r.caller.class,
		Pools:    r.pools,
		Adapter:  r.body.Adapter != "",
		Deadline: r.caller.deadline,
		Place:    r.placement,
		Excluded: r.excluded,
	}
}

func (r *chatRequest) start(ctx context.Context, grant *admission.Grant) (*chatResponse, error) {
	// The stream outlives the caller's connection by the resume grace, so it
	// has its own context, which the response cancels.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	call := r.upstreamCall(grant)
	stream, err := r.s.Upstream.Stream(streamCtx, call)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	resp := &chatResponse{s: r.s, request: r, grant: grant, call: call, stream: stream, ctx: streamCtx, cancel: cancel, sentAt: time.Now()}
	if err := resp.readFirstChunk(); err != nil {
		stop()
		stream.Close()
		cancel()
		return nil, err
	}
	stop()
	return resp, nil
}

func (r *chatRequest) upstreamCall(grant *admission.Grant) upstream.Call {
	return upstream.Call{
		Address:     grant.Engine.Address,
		Name:        grant.Engine.Name,
		Incarnation: grant.Incarnation,
		RequestID:   grant.ID,
		Priority:    r.caller.class.String(),
		Body:        r.encoded,
	}
}
