package traffic

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
)

const (
	// resumeAttempts bounds how often one break is mended on a new connection.
	resumeAttempts = 3
	// resumePause is the wait before the second and later attempts.
	resumePause = 100 * time.Millisecond
	// cancelTimeout bounds the order to stop a stream.
	cancelTimeout = 2 * time.Second
)

// answer is an engine's stream on its way to a caller.
type answer struct {
	s      *Server
	turn   *turn
	grant  *admission.Grant
	call   upstream.Call
	stream *upstream.Stream
	// ctx ends the stream; cancel is called when the answer is over.
	ctx    context.Context
	cancel context.CancelFunc
	sent   time.Time
	// head is the first event, read before the caller got anything.
	head     upstream.Event
	headData []byte
	headRead bool
	resumes  int
}

// first waits for the first chunk.
func (a *answer) first() error {
	ev, err := a.stream.Next()
	if err != nil {
		return err
	}
	a.observe(outlier.FirstToken, time.Since(a.sent))
	a.head = ev
	a.headData = append([]byte(nil), ev.Data...)
	a.head.Data = a.headData
	return nil
}

func (a *answer) observe(kind outlier.Kind, latency time.Duration) {
	a.s.Admitter.Observe(a.grant.Engine.Name, admission.Observation{
		Kind:     kind,
		Latency:  latency,
		Expected: a.grant.Decision.Wait,
	})
}

// next returns the next event, mending a broken or silent connection by
// resuming at the same engine on a new one.
//
// What goes wrong without it: the path forgets the connection while engine
// and router are well; the caller would see a silence and then half an answer.
// The idle timer of the stream notices; offsets make sure that the continuation
// has neither gap nor repetition.
func (a *answer) next() (upstream.Event, error) {
	if !a.headRead {
		a.headRead = true
		return a.head, nil
	}
	ev, err := a.stream.Next()
	for attempt := 0; err != nil && attempt < resumeAttempts; attempt++ {
		if a.ctx.Err() != nil {
			return upstream.Event{}, err
		}
		a.observe(outlier.Stall, a.s.IdleGap)
		ev, err = a.resume(attempt)
	}
	return ev, err
}

func (a *answer) resume(attempt int) (upstream.Event, error) {
	if attempt > 0 {
		pause.For(a.ctx, time.Duration(attempt)*resumePause)
	}
	a.resumes++
	st, err := a.stream.Resume(a.ctx)
	if err != nil {
		return upstream.Event{}, err
	}
	a.stream = st
	return st.Next()
}

// finish ends an answer whose end marker has been read.
func (a *answer) finish() {
	a.stream.Close()
	a.cancel()
	a.grant.Release()
	a.observe(outlier.Success, 0)
	a.remember()
}

// remember records where the chat's prefix, answer included, is cached now.
// The engine's own events say it more exactly, but later.
func (a *answer) remember() {
	if a.turn == nil || a.turn.who.chat == 0 {
		return
	}
	last := a.turn.prefixes[len(a.turn.prefixes)-1]
	a.s.Facts.Served(a.turn.who.chat, prefix.Place{
		Engine:      a.grant.Engine.ID,
		Incarnation: a.grant.Incarnation,
		Prefix:      last.Hash,
		Tokens:      last.Tokens,
	})
}

// giveUp ends a stream whose caller did not come back. The permit goes first
// here: if another router took it over, the engine must not be stopped.
func (a *answer) giveUp() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	if a.grant.GiveUp(ctx) {
		a.cancelAtEngine(ctx)
	}
}

// abandon gives a stream up: the engine is told to stop before the permit is
// released, so that the books never show room that the engine does not have.
func (a *answer) abandon() {
	a.stream.Close()
	a.cancel()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	a.cancelAtEngine(ctx)
	a.grant.Release()
}

func (a *answer) cancelAtEngine(ctx context.Context) {
	if err := a.s.Upstream.Cancel(ctx, a.call); err != nil {
		a.s.log.Debug("cancel failed", "request", a.call.RequestID, "engine", a.call.Name, "cause", err)
	}
}

// hint seals where this turn's prefix is cached.
func (a *answer) hint() string {
	if a.turn == nil || a.turn.who.chat == 0 {
		return ""
	}
	last := a.turn.prefixes[len(a.turn.prefixes)-1]
	return a.s.Tokens.SealHint(a.turn.who.account.Name, token.Hint{
		Chat:        a.turn.who.chat,
		Model:       prefix.ModelID(a.turn.body.Model),
		Engine:      a.grant.Engine.ID,
		Incarnation: a.grant.Incarnation,
		Prefix:      last.Hash,
		Tokens:      last.Tokens,
		Counter:     uint64(len(a.turn.prefixes)),
	})
}

// resumeToken seals the right to take this stream up again.
func (a *answer) resumeToken() (string, error) {
	return a.s.Tokens.SealResume(a.turn.who.account.Name, token.Resume{
		RequestID:   a.call.RequestID,
		Engine:      a.grant.Engine.Name,
		Incarnation: a.grant.Incarnation,
		Chat:        a.turn.who.chat,
		Model:       a.turn.body.Model,
		Issued:      time.Now(),
		Lifetime:    resumeLifetime,
	})
}

// resumeLifetime is how long a stream may be taken up again after its start.
const resumeLifetime = 30 * time.Minute
