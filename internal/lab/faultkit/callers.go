package faultkit

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/zeebo/errs"
)

// ErrNoAnswer is an attempt that got neither an answer nor a typed refusal.
var ErrNoAnswer = errs.Class("faultkit: no answer")

// The client accounts of the example configuration that callers use.
const (
	Account    = "applicant-portal"
	accountKey = "example-applicant-portal-sebeke"
	chatKey    = "example-review-office-sebeke"
)

const (
	// Caller is the name of callers on the network.
	Caller = "caller"
	// patience is how long a caller waits for an answer.
	patience = 45 * time.Second
)

// Receipt asks one router to issue a receipt, once, and notes the outcome.
func (w *World) Receipt(address, key string) Outcome {
	out := w.receipt(address, key)
	out.Key = key
	w.Oracle.Note(out)
	return out
}

func (w *World) receipt(address, key string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	url := "http://" + address + wire.PathServices + "portal/receipts"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"dossier":"`+key+`"}`))
	if err != nil {
		return Outcome{Err: ErrNoAnswer.Wrap(err)}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	req.GetBody = nil
	resp, err := w.transport().RoundTrip(req)
	if err != nil {
		return Outcome{Err: ErrNoAnswer.Wrap(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Err: ErrNoAnswer.Wrap(err)}
	}
	return outcomeOf(resp, body)
}

func outcomeOf(resp *http.Response, body []byte) Outcome {
	if resp.StatusCode == http.StatusCreated {
		record, err := decodeRecord(body)
		return Outcome{Record: record, Err: err}
	}
	var refusal struct {
		Error *apierr.Error `json:"error"`
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&refusal); err != nil || refusal.Error == nil {
		return Outcome{Err: ErrNoAnswer.New("status %d without a typed refusal", resp.StatusCode)}
	}
	return Outcome{Refusal: refusal.Error}
}

// transport opens a connection for each request, as work that must not be
// repeated needs.
func (w *World) transport() *http.Transport {
	return &http.Transport{DialContext: w.Net.Dial(Caller, nil), DisableKeepAlives: true}
}

// Locate asks one router which to use for a chat.
func (w *World) Locate(address, chat string) (wire.Locate, error) {
	var out wire.Locate
	url := "http://" + address + wire.PathLocate + "?model=" + Model + "&chat=" + chat
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return out, ErrNoAnswer.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+chatKey)
	resp, err := w.transport().RoundTrip(req)
	if err != nil {
		return out, ErrNoAnswer.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return out, ErrNoAnswer.Wrap(json.NewDecoder(resp.Body).Decode(&out))
}

// Client returns a client library whose seeds are the routers given, in their
// order, or all.
func (w *World) Client(routers ...*Router) (*client.Client, error) {
	if len(routers) == 0 {
		routers = w.Routers
	}
	var seeds []string
	for _, r := range routers {
		seeds = append(seeds, r.Address)
	}
	return client.New(client.Options{
		Seeds: seeds, Key: chatKey, Transport: &http.Transport{DialContext: w.Net.Dial(Caller, nil)},
	})
}

// ChatOptions describe one turn of a chat.
type ChatOptions struct {
	Chat, Text string
	Tokens     int
	// OnToken, if set, is called with the number of pieces so far.
	OnToken func(n int)
	// Priority is the class; empty for the account's default.
	Priority string
	Deadline time.Duration
}

// Say runs one turn of a fresh chat through the client library and notes what
// its caller got.
func (w *World) Say(c *client.Client, o ChatOptions) Chat {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	v := c.Conversation(o.Chat, Model)
	v.MaxTokens = o.Tokens
	v.Priority = o.Priority
	v.Deadline = o.Deadline
	got := Chat{Request: wire.ChatRequest{
		Model: Model, MaxTokens: o.Tokens, Messages: []wire.Message{{Role: "user", Content: o.Text}},
	}}
	var shown strings.Builder
	n := 0
	turn, err := v.Say(ctx, o.Text, func(piece string) {
		shown.WriteString(piece)
		n++
		if o.OnToken != nil {
			o.OnToken(n)
		}
	})
	got.Shown, got.Text, got.Err = shown.String(), turn.Text, err
	w.Oracle.NoteChat(got)
	return got
}
