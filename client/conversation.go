package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
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
