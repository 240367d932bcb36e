package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/google/uuid"
)

// Conversation is a chat that returns: it carries the history and the hint
// that tells the fleet where the chat's prefix is cached. It is not safe for
// concurrent use, as a chat has one turn at a time.
type Conversation struct {
	c        *Client
	id       string
	model    string
	messages []wire.Message
	hint     string
	// Adapter names a fine-tuned adapter; empty for the base model.
	Adapter string
	// Priority is the class of the requests; empty for the account's default.
	Priority string
	// MaxTokens bounds each answer; zero leaves it to the engine.
	MaxTokens int
	// Deadline bounds the wait for each answer's first token; zero for none.
	Deadline time.Duration
}

// Conversation starts or continues the chat with the given id.
func (c *Client) Conversation(id, model string) *Conversation {
	return &Conversation{c: c, id: id, model: model}
}

// Messages returns the history so far.
func (v *Conversation) Messages() []wire.Message { return v.messages }

// Hint returns the opaque prefix hint, to be kept with the history.
func (v *Conversation) Hint() string { return v.hint }

// Restore sets history and hint, as kept by the caller between turns.
func (v *Conversation) Restore(messages []wire.Message, hint string) {
	v.messages = messages
	v.hint = hint
}

// Turn is what one Say gave.
type Turn struct {
	// Text is the answer. It is empty where Say failed.
	Text string
	// Usage is the engine's count of tokens.
	Usage wire.Usage
	// Router is the name of the router that answered last.
	Router string
	// FirstToken is the time from sending until the first token.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Resumes counts how often the stream moved to another connection.
	Resumes int
}

// Say sends a message and calls onToken, which may be nil, with each piece of
// the answer. It returns once the whole answer has arrived; a partial answer is
// an error, and leaves the history as it was. Errors: *Refusal, ErrNoRouter,
// ErrOutcomeUnknown, ErrProtocol.
func (v *Conversation) Say(ctx context.Context, text string, onToken func(string)) (Turn, error) {
	messages := append(v.messages[:len(v.messages):len(v.messages)], wire.Message{Role: "user", Content: text})
	body, err := json.Marshal(wire.ChatRequest{
		Model:     v.model,
		Adapter:   v.Adapter,
		Messages:  messages,
		Stream:    true,
		MaxTokens: v.MaxTokens,
	})
	if err != nil {
		return Turn{}, ErrProtocol.Wrap(err)
	}
	s := &stream{v: v, requestID: uuid.NewString(), body: body, started: time.Now(), onToken: onToken}
	turn, err := s.run(ctx)
	if err != nil {
		return turn, err
	}
	v.messages = append(messages, wire.Message{Role: "assistant", Content: turn.Text})
	if s.hint != "" {
		v.hint = s.hint
	}
	return turn, nil
}

func (v *Conversation) request(ctx context.Context, addr, requestID string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, v.c.url(addr, wire.PathChat), bytes.NewReader(body))
	if err != nil {
		return nil, ErrProtocol.Wrap(err)
	}
	v.c.authorize(req)
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderRequestID, requestID)
	h.Set(wire.HeaderChatID, v.id)
	setIf(h, wire.HeaderPriority, v.Priority)
	setIf(h, wire.HeaderPrefixHint, v.hint)
	if v.Deadline > 0 {
		h.Set(wire.HeaderDeadlineMS, strconv.FormatInt(v.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Reply is the whole answer of a plain service.
type Reply struct {
	// Status and ContentType are the service's own.
	Status      int
	ContentType string
	Body        []byte
	// Router is the name of the router that answered.
	Router string
}

// Call sends one request to a plain service. The idempotency key names the
// operation: with the same key the fleet runs it at most once, whichever
// router it reaches. Call goes to the next address only while no connection was
// had; after that it returns whatever is known of the outcome: *Refusal,
// ErrOutcomeUnknown or ErrNoRouter. A later Call with the same key settles it.
func (c *Client) Call(ctx context.Context, method, service, path, idempotencyKey string, body []byte) (Reply, error) {
	q := question{service: service}
	addrs, err := c.locate(ctx, q)
	if err != nil {
		return Reply{}, err
	}
	var last error
	for i, addr := range addrs {
		if i == c.opts.Attempts {
			break
		}
		reply, sent, err := c.callAt(ctx, addr, method, service, path, idempotencyKey, body)
		if err == nil {
			return reply, nil
		}
		last = err
		if sent {
			return Reply{}, err
		}
		c.forget(q)
	}
	return Reply{}, last
}

func (c *Client) callAt(ctx context.Context, addr, method, service, path, key string, body []byte) (Reply, bool, error) {
	req, sent, err := c.serviceRequest(ctx, addr, method, service, path, key, body)
	if err != nil {
		return Reply{}, false, err
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		if sent.Load() {
			return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
		}
		return Reply{}, false, ErrNoRouter.Wrap(err)
	}
	defer drain(resp.Body)
	if resp.Header.Get(wire.HeaderRan) != "" && resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, true, refusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil || len(data) > maxBody {
		return Reply{}, true, ErrOutcomeUnknown.Wrap(err)
	}
	return Reply{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        data,
		Router:      resp.Header.Get(wire.HeaderRouter),
	}, true, nil
}
