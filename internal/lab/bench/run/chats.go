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
	// requestTimeout is when a caller takes its request for lost.
	requestTimeout = 60 * time.Second
	// maxAttempts bounds how often one message is sent.
	maxAttempts = 6
	// minBackoff and maxBackoff bound the wait before it is sent again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// surgeFirst numbers the chats of a surge apart from the others.
	surgeFirst = 1 << 20
)

// chatWorker keeps one chat open at any time until load ends.
func (r *runner) chatWorker(load context.Context, n int) {
	if !pause.For(load, r.w.Start(r.o.Seed, n)) {
		return
	}
	for ; load.Err() == nil; n += r.w.Chats.Open {
		r.hold(load, r.w.Chat(r.o.Seed, n))
	}
}

// surgeWorker holds additional chats of the surging account.
func (r *runner) surgeWorker(load context.Context, n int) {
	s := &r.w.Surge
	if !pause.For(load, s.Start) {
		return
	}
	ctx, cancel := context.WithTimeout(load, s.Length)
	defer cancel()
	for ; ctx.Err() == nil; n += r.w.SurgeChats() {
		r.hold(ctx, r.w.SurgeChat(r.o.Seed, n))
	}
}

// hold holds one chat to its end, or until load ends between two turns.
func (r *runner) hold(load context.Context, p *workload.Plan) {
	c := &conversation{r: r, plan: p, v: r.clients[p.Account.Name].Conversation(p.ID, workload.Model)}
	c.v.Priority = p.Account.Priority
	for i := range p.Turns {
		if !pause.For(load, p.Turns[i].Pause) {
			return
		}
		if !c.turn(load, i) {
			r.tally.gaveUp()
			return
		}
	}
}

// conversation is a chat and what its last turn left behind, in tokens.
type conversation struct {
	r     *runner
	plan  *workload.Plan
	v     *client.Conversation
	after int
}

// turn sends one message until it is answered.
func (c *conversation) turn(load context.Context, i int) bool {
	for attempt := range maxAttempts {
		err := c.say(i, attempt)
		if err == nil {
			return true
		}
		if !pause.For(load, backoff(err)) {
			return true
		}
	}
	return false
}

// backoff is how long the caller was told to wait, within bounds.
func backoff(err error) time.Duration {
	var typed *apierr.Error
	if !errors.As(err, &typed) {
		return minBackoff
	}
	return min(max(typed.RetryAfter, minBackoff), maxBackoff)
}

// say sends a message once and judges what comes back. Each sending has text
// of its own, so that its execution shows in the engines' books.
func (c *conversation) say(i, attempt int) error {
	t := c.plan.Turns[i]
	mark := fleet.Mark(c.plan.ID, i, attempt)
	text := workload.Text(mark, t.Tokens)
	c.v.MaxTokens = t.MaxTokens
	due := engine.AnswerText(wire.ChatRequest{
		Model:     workload.Model,
		Messages:  append(c.v.Messages()[:len(c.v.Messages()):len(c.v.Messages())], wire.Message{Role: "user", Content: text}),
		MaxTokens: t.MaxTokens,
	})
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	turn, err := c.v.Say(ctx, text, nil)
	v := judge(turn.Text, due, err)
	c.r.tally.add(v, mark, err)
	if v != answered {
		c.r.firstPhases.fail(c.phaseLabel(), start)
	}
	if v == refused {
		c.r.tally.refusedMark(mark)
		return err
	}
	c.note(start, i, chat.Tokens(text), &turn, v)
	if err == nil && v != answered {
		return errAnswer.New("%s", mark)
	}
	return err
}

func (c *conversation) phaseLabel() string {
	return c.r.firstTokenLabel(c.plan.Account.Name, c.v.Priority)
}

// note records a turn that has run, or may have.
func (c *conversation) note(start time.Time, i, tokens int, turn *client.Turn, v verdict) {
	prompt := c.after + tokens
	a := measure.Access{
		Chat:      c.plan.ID,
		Start:     start,
		End:       time.Now(),
		Prompt:    prompt,
		Earlier:   c.after,
		After:     prompt,
		Cached:    turn.Usage.CachedTokens,
		Returning: i > 0,
		Broken:    v != answered,
	}
	if v == answered {
		a.After = prompt + chat.Tokens(turn.Text)
		c.after = a.After
		class := c.v.Priority
		c.r.first.Add(class, turn.FirstToken)
		c.r.firstPhases.add(c.phaseLabel(), start, turn.FirstToken)
		c.r.gaps.Add(class, turn.Gaps...)
	}
	c.r.tally.access(a, turn.Resumes)
}
