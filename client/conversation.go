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

// Conversation is a chat of several turns. It holds the message history and the
// hint that names where the chat's prefix is cached. It is not safe for
// concurrent use, since a chat has one turn at a time.
type Conversation struct {
	c        *Client
	id       string
	model    string
	messages []wire.Message
	hint     string
	// Adapter names a fine-tuned adapter; empty for the base model.
	Adapter string
	// Priority is the priority class of the requests; empty for normal. A
	// router lowers a class above the account's maximum to the maximum.
	Priority string
	// MaxTokens bounds the length of each response; zero leaves it to the engine.
	MaxTokens int
	// Deadline bounds the wait for the first token of each response; zero for no
	// bound.
	Deadline time.Duration
}

// Conversation returns the chat with the given id, with an empty history. Use
// Restore to continue an earlier chat.
func (c *Client) Conversation(id, model string) *Conversation {
	return &Conversation{c: c, id: id, model: model}
}

// Messages returns the history so far.
func (conv *Conversation) Messages() []wire.Message { return conv.messages }

// Hint returns the opaque prefix hint, to be stored with the history.
func (conv *Conversation) Hint() string { return conv.hint }

// Restore sets the history and the hint that the caller stored between turns.
func (conv *Conversation) Restore(messages []wire.Message, hint string) {
	conv.messages = messages
	conv.hint = hint
}

// Turn is the result of one Say.
type Turn struct {
	// Text is the complete response. It is empty if Say failed.
	Text string
	// Usage is the token count reported by the engine.
	Usage wire.Usage
	// Router is the name of the router that sent the last response.
	Router string
	// FirstToken is the time from the call of Say until the first token.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Resumes counts the attempts to continue the stream on another connection.
	Resumes int
}

// Say sends a user message and calls onToken, which may be nil, with the content
// of each chunk. It returns once the complete response has arrived. A partial
// response is an error and leaves the history unchanged. The error is a *Refusal,
// ErrNoRouter, ErrOutcomeUnknown or ErrProtocol.
func (conv *Conversation) Say(ctx context.Context, text string, onToken func(string)) (Turn, error) {
	messages := append(conv.messages[:len(conv.messages):len(conv.messages)], wire.Message{Role: "user", Content: text})
	body, err := json.Marshal(wire.ChatRequest{
		Model:     conv.model,
		Adapter:   conv.Adapter,
		Messages:  messages,
		Stream:    true,
		MaxTokens: conv.MaxTokens,
	})
	if err != nil {
		return Turn{}, ErrProtocol.Wrap(err)
	}
	s := &stream{conv: conv, requestID: uuid.NewString(), body: body, started: time.Now(), onToken: onToken}
	turn, err := s.run(ctx)
	if err != nil {
		return turn, err
	}
	conv.messages = append(messages, wire.Message{Role: "assistant", Content: turn.Text})
	if s.hint != "" {
		conv.hint = s.hint
	}
	return turn, nil
}

func (conv *Conversation) request(ctx context.Context, addr, requestID string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, conv.c.url(addr, wire.PathChat), bytes.NewReader(body))
	if err != nil {
		return nil, ErrProtocol.Wrap(err)
	}
	conv.c.authorize(req)
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderRequestID, requestID)
	h.Set(wire.HeaderChatID, conv.id)
	setHeader(h, wire.HeaderPriority, conv.Priority)
	setHeader(h, wire.HeaderPrefixHint, conv.hint)
	if conv.Deadline > 0 {
		h.Set(wire.HeaderDeadlineMS, strconv.FormatInt(conv.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
