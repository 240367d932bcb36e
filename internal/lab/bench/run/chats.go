package run

import (
	"context"
	"errors"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/fleet"
	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

const (
	// requestTimeout is the time after which a caller considers its request lost.
	requestTimeout = 60 * time.Second
	// maxAttempts bounds the attempts to send one message or call.
	maxAttempts = 6
	// minBackoff and maxBackoff bound the delay before a retry.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// surgeChatOffset separates the numbers of the surge's chats from the others.
	surgeChatOffset = 1 << 20
)

// chatWorker keeps one chat open at a time until load ends.
func (r *runner) chatWorker(load context.Context, n int) {
	if !pause.For(load, r.w.StartDelay(r.o.Seed, n)) {
		return
	}
	for ; load.Err() == nil; n += r.w.Chats.Open {
		r.runChat(load, r.w.Chat(r.o.Seed, n))
	}
}

// surgeWorker runs additional chats of the surging account during the surge.
func (r *runner) surgeWorker(load context.Context, n int) {
	s := &r.w.Surge
	if !pause.For(load, s.Start) {
		return
	}
	ctx, cancel := context.WithTimeout(load, s.Length)
	defer cancel()
	for ; ctx.Err() == nil; n += r.w.SurgeChats() {
		r.runChat(ctx, r.w.SurgeChat(r.o.Seed, n))
	}
}

// runChat runs one chat to its end, or until load ends between two turns.
func (r *runner) runChat(load context.Context, p *workload.Plan) {
	c := &conversation{r: r, plan: p, conv: r.clients[p.Account.Name].Conversation(p.ID, workload.Model)}
	c.conv.Priority = p.Account.Priority
	for i := range p.Turns {
		if !pause.For(load, p.Turns[i].Pause) {
			return
		}
		if !c.turn(load, i) {
			r.tally.addGaveUp()
			return
		}
	}
}

// conversation is the state of one chat.
type conversation struct {
	r    *runner
	plan *workload.Plan
	conv *client.Conversation
	// contextTokens is the number of tokens that the completed turns left in the chat.
	contextTokens int
}

// turn sends one message until a complete response arrives. It returns false if all attempts
// failed.
func (c *conversation) turn(load context.Context, i int) bool {
	for attempt := range maxAttempts {
		err := c.send(i, attempt)
		if err == nil {
			return true
		}
		if !pause.For(load, backoff(err)) {
			return true
		}
	}
	return false
}

// backoff returns the delay that the error requests, within bounds.
func backoff(err error) time.Duration {
	var typed *apierr.Error
	if !errors.As(err, &typed) {
		return minBackoff
	}
	return min(max(typed.RetryAfter, minBackoff), maxBackoff)
}

// send sends a message once and classifies the response. Each attempt has a
// unique text, so that its execution is identified in the engines' records.
func (c *conversation) send(i, attempt int) error {
	t := c.plan.Turns[i]
	attemptID := fleet.AttemptID(c.plan.ID, i, attempt)
	text := workload.Text(attemptID, t.Tokens)
	c.conv.MaxTokens = t.MaxTokens
	want := engine.AnswerText(wire.ChatRequest{
		Model:     workload.Model,
		Messages:  append(c.conv.Messages()[:len(c.conv.Messages()):len(c.conv.Messages())], wire.Message{Role: "user", Content: text}),
		MaxTokens: t.MaxTokens,
	})
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	turn, err := c.conv.Say(ctx, text, nil)
	o := classify(turn.Text, want, err)
	c.r.tally.add(o, attemptID, err)
	if o != answered {
		c.r.firstPhases.fail(c.phaseLabel(), start)
	}
	if o == refused {
		c.r.tally.addRefusedAttempt(attemptID)
		return err
	}
	c.record(start, i, chat.EstimateTokens(text), &turn, o)
	if err == nil && o != answered {
		return errAnswer.New("%s", attemptID)
	}
	return err
}

func (c *conversation) phaseLabel() string {
	return c.r.firstTokenLabel(c.plan.Account.Name, c.conv.Priority)
}

// record records a turn that was executed, or may have been.
func (c *conversation) record(start time.Time, i, tokens int, turn *client.Turn, o outcome) {
	prompt := c.contextTokens + tokens
	a := measure.Access{
		Chat:      c.plan.ID,
		Start:     start,
		End:       time.Now(),
		Prompt:    prompt,
		Earlier:   c.contextTokens,
		After:     prompt,
		Cached:    turn.Usage.CachedTokens,
		Returning: i > 0,
		Broken:    o != answered,
	}
	if o == answered {
		a.After = prompt + chat.EstimateTokens(turn.Text)
		c.contextTokens = a.After
		class := c.conv.Priority
		c.r.firstToken.Add(class, turn.FirstToken)
		c.r.firstPhases.add(c.phaseLabel(), start, turn.FirstToken)
		c.r.nextToken.Add(class, turn.Gaps...)
	}
	c.r.tally.addAccess(a, turn.Resumes)
}
