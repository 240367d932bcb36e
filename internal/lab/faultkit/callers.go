package faultkit

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/zeebo/errs"
)

// ErrNoResponse reports an attempt that got neither a response nor a typed refusal.
var ErrNoResponse = errs.Class("faultkit: no response")

// Account is the client account that requests receipts. It and the API keys are those
// of the example configuration.
const (
	Account    = "applicant-portal"
	accountKey = "example-applicant-portal-sebeke"
	chatKey    = "example-review-office-sebeke"
)

const (
	// Caller is the name of all callers on the network.
	Caller = "caller"
	// callerTimeout bounds a whole call of a caller.
	callerTimeout = 45 * time.Second
)

// RequestReceipt sends one request for a receipt to the router at address and records
// its outcome with the oracle. key is the idempotency key.
func (cl *Cluster) RequestReceipt(address, key string) Outcome {
	out := cl.sendReceipt(address, key)
	out.Key = key
	cl.Oracle.RecordOutcome(out)
	return out
}

func (cl *Cluster) sendReceipt(address, key string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	url := "http://" + address + wire.PathServices + "portal/receipts"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"dossier":"`+key+`"}`))
	if err != nil {
		return Outcome{Err: ErrNoResponse.Wrap(err)}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	req.GetBody = nil
	resp, err := cl.transport().RoundTrip(req)
	if err != nil {
		return Outcome{Err: ErrNoResponse.Wrap(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Err: ErrNoResponse.Wrap(err)}
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
		return Outcome{Err: ErrNoResponse.New("status %d without a typed refusal", resp.StatusCode)}
	}
	return Outcome{Refusal: refusal.Error}
}

// transport returns a transport that opens a connection for each request. A
// non-idempotent request must not reuse one, since net/http may then send it again.
func (cl *Cluster) transport() *http.Transport {
	return &http.Transport{DialContext: cl.Net.Dial(Caller, nil), DisableKeepAlives: true}
}

// Locate sends a locate request for a chat to the router at address. Its errors are of class
// ErrNoResponse.
func (cl *Cluster) Locate(address, chat string) (wire.LocateResponse, error) {
	var out wire.LocateResponse
	url := "http://" + address + wire.PathLocate + "?model=" + Model + "&chat=" + chat
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return out, ErrNoResponse.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+chatKey)
	resp, err := cl.transport().RoundTrip(req)
	if err != nil {
		return out, ErrNoResponse.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return out, ErrNoResponse.Wrap(json.NewDecoder(resp.Body).Decode(&out))
}

// Client returns a client whose seeds are the given routers in their order, or all
// routers of the cluster if none is given. The caller closes it.
func (cl *Cluster) Client(routers ...*Router) (*client.Client, error) {
	if len(routers) == 0 {
		routers = cl.Routers
	}
	var seeds []string
	for _, r := range routers {
		seeds = append(seeds, r.Address)
	}
	return client.New(client.Options{
		Seeds: seeds, Key: chatKey, Transport: &http.Transport{DialContext: cl.Net.Dial(Caller, nil)},
	})
}

// ChatOptions describes one turn of a chat.
type ChatOptions struct {
	Chat, Text string
	// History holds earlier messages of the chat.
	History []wire.Message
	Tokens  int
	// OnToken, if set, is called for each chunk with the number of chunks so far.
	OnToken func(n int)
	// Priority is the priority class; empty selects the account's default.
	Priority string
	Deadline time.Duration
}

// SendTurn sends a turn of a chat through the client and records the result with the
// oracle.
func (cl *Cluster) SendTurn(c *client.Client, o ChatOptions) Chat {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	conversation := c.Conversation(o.Chat, Model)
	conversation.Restore(o.History, "")
	conversation.MaxTokens = o.Tokens
	conversation.Priority = o.Priority
	conversation.Deadline = o.Deadline
	result := Chat{Request: wire.ChatRequest{
		Model: Model, MaxTokens: o.Tokens, Messages: append(slices.Clone(o.History), wire.Message{Role: "user", Content: o.Text}),
	}}
	var streamed strings.Builder
	n := 0
	turn, err := conversation.Say(ctx, o.Text, func(piece string) {
		streamed.WriteString(piece)
		n++
		if o.OnToken != nil {
			o.OnToken(n)
		}
	})
	result.Shown, result.Text, result.Err = streamed.String(), turn.Text, err
	cl.Oracle.RecordChat(result)
	return result
}
