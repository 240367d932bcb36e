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
	// maxResumeAttempts is how often one broken connection is resumed.
	maxResumeAttempts = 3
	// resumeBackoff is the delay before the second attempt to resume. It grows
	// linearly with the attempts.
	resumeBackoff = 100 * time.Millisecond
	// cancelTimeout bounds the request that cancels a stream at its engine.
	cancelTimeout = 2 * time.Second
)

// chatResponse is an engine's stream that is relayed to a caller.
type chatResponse struct {
	s       *Server
	request *chatRequest
	grant   *admission.Grant
	call    upstream.Call
	stream  *upstream.Stream
	// ctx bounds the stream. cancel is called when the response has ended.
	ctx    context.Context
	cancel context.CancelFunc
	sentAt time.Time
	// firstEvent is read before anything is sent to the caller.
	firstEvent    upstream.Event
	firstData     []byte
	firstConsumed bool
	resumes       int
}

// readFirstChunk waits for the first chunk.
func (r *chatResponse) readFirstChunk() error {
	ev, err := r.stream.Next()
	if err != nil {
		return err
	}
	r.grant.Accepted()
	r.observe(outlier.FirstToken, time.Since(r.sentAt))
	r.firstEvent = ev
	r.firstData = append([]byte(nil), ev.Data...)
	r.firstEvent.Data = r.firstData
	return nil
}

func (r *chatResponse) observe(kind outlier.Kind, latency time.Duration) {
	r.s.Admitter.Observe(r.grant.Engine.Name, admission.Observation{
		Kind:     kind,
		Latency:  latency,
		Expected: r.grant.Decision.Wait,
	})
}

// next returns the next event. It resumes a broken or stalled stream at the
// same engine on a new connection.
//
// A connection may be lost in the network while engine and router work. Without
// resuming, the caller would see a pause and then a truncated response. The
// idle timeout of the stream detects the loss, and offsets make sure that the
// continuation has neither a gap nor a repetition.
func (r *chatResponse) next() (upstream.Event, error) {
	if !r.firstConsumed {
		r.firstConsumed = true
		return r.firstEvent, nil
	}
	ev, err := r.stream.Next()
	for attempt := 0; err != nil && attempt < maxResumeAttempts; attempt++ {
		if r.ctx.Err() != nil {
			return upstream.Event{}, err
		}
		r.observe(outlier.Stall, r.s.IdleGap)
		ev, err = r.resume(attempt)
	}
	return ev, err
}

func (r *chatResponse) resume(attempt int) (upstream.Event, error) {
	if attempt > 0 {
		pause.For(r.ctx, time.Duration(attempt)*resumeBackoff)
	}
	r.resumes++
	stream, err := r.stream.Resume(r.ctx)
	if err != nil {
		return upstream.Event{}, err
	}
	r.stream = stream
	return stream.Next()
}

// finish ends a response whose end marker has been read.
func (r *chatResponse) finish() {
	r.stream.Close()
	r.cancel()
	r.grant.Release()
	r.observe(outlier.Success, 0)
	if r.request != nil {
		r.request.tracker.RecordAnswer(r.request.body.Model, r.request.answeredAt, true)
		r.request.tracker.RecordCompletion()
	}
	r.recordPrefix()
}

// recordPrefix records where the chat's prefix, including the response, is now
// cached. The engine's own events report it more exactly, but later.
func (r *chatResponse) recordPrefix() {
	if r.request == nil || r.request.caller.affinityKey == 0 {
		return
	}
	last := r.request.prefixes[len(r.request.prefixes)-1]
	r.s.Facts.RecordServed(r.request.caller.affinityKey, prefix.Location{
		Engine:      r.grant.Engine.ID,
		Incarnation: r.grant.Incarnation,
		Prefix:      last.Hash,
		Tokens:      last.Tokens,
	})
}

// expire ends a stream whose caller did not resume it within the resume grace.
// Unlike abort, it releases the permit first: if another router has adopted the
// permit, the engine must not be stopped.
func (r *chatResponse) expire() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	if r.grant.Abort(ctx) {
		r.cancelAtEngine(ctx)
	}
}

// reportBroken reports that the stream could not be continued.
func (r *chatResponse) reportBroken(err error) {
	if r.request != nil {
		r.s.reportCut(&r.request.tracker, r.request.body.Model, r.request.sentAt, r.call, err)
	}
}

// abort ends a stream. The request is canceled at the engine before the permit is
// released, so that the accounting never shows capacity that the engine does
// not have.
func (r *chatResponse) abort() {
	r.stream.Close()
	r.cancel()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	r.cancelAtEngine(ctx)
	r.grant.Release()
}

func (r *chatResponse) cancelAtEngine(ctx context.Context) {
	if err := r.s.Upstream.Cancel(ctx, r.call); err != nil {
		r.s.log.Debug("cancel failed", "request", r.call.RequestID, "engine", r.call.Name, "cause", err)
	}
}

// prefixHint returns a sealed hint that states where the prefix of this request
// is cached, or "" for a request without a chat.
func (r *chatResponse) prefixHint() string {
	if r.request == nil || r.request.caller.affinityKey == 0 {
		return ""
	}
	last := r.request.prefixes[len(r.request.prefixes)-1]
	return r.s.Tokens.SealHint(r.request.caller.account.Name, token.Hint{
		Chat:        r.request.caller.affinityKey,
		Model:       prefix.ModelID(r.request.body.Model),
		Engine:      r.grant.Engine.ID,
		Incarnation: r.grant.Incarnation,
		Prefix:      last.Hash,
		Tokens:      last.Tokens,
		Counter:     uint64(len(r.request.prefixes)),
	})
}

// resumeToken returns a sealed token with which the caller may resume this
// stream.
func (r *chatResponse) resumeToken() (string, error) {
	return r.s.Tokens.SealResume(r.request.caller.account.Name, token.Resume{
		RequestID:   r.call.RequestID,
		Engine:      r.grant.Engine.Name,
		Incarnation: r.grant.Incarnation,
		Chat:        r.request.caller.affinityKey,
		Model:       r.request.body.Model,
		Issued:      time.Now(),
		Lifetime:    resumeTokenLifetime,
	})
}

// resumeTokenLifetime is how long after its start a stream may be resumed.
const resumeTokenLifetime = 30 * time.Minute
