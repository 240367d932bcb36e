package run

import (
	"context"
	"errors"
	"strings"
	"sync"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// Counts are the outcomes as observed by callers. A request is one attempt to
// send a message, or one call.
type Counts struct {
	Requests int `json:"requests"`
	// Answered requests received their own complete response.
	Answered int `json:"answered"`
	// Refused requests were reported as not executed.
	Refused int `json:"refused"`
	// Interrupted requests were reported with an unknown outcome or an
	// incomplete response, as after a crash of their engine.
	Interrupted int `json:"interrupted"`
	// Lost requests received neither a complete response nor a typed error, or
	// were interrupted without a crash that explains it.
	Lost int `json:"lost"`
	// Mixed requests received a response to another request.
	Mixed int `json:"mixed"`
	// Doubled operations were executed more than once.
	Doubled int `json:"doubled"`
	// FalselyRefused requests were reported as not executed, but were executed.
	FalselyRefused int `json:"falsely_refused"`
	// Resumes counts streams that moved to another connection.
	Resumes int `json:"resumes"`
	// GaveUp counts chats that ended early after too many failures.
	GaveUp int `json:"gave_up"`
}

// Kept reports whether the run has upheld all guarantees.
func (c Counts) Kept() bool {
	return c.Lost == 0 && c.Mixed == 0 && c.Doubled == 0 && c.FalselyRefused == 0
}

// tally collects the outcomes during a run. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	counts  Counts
	codes   map[string]int
	samples []string
	trace   []measure.Access
	// refusedAttempts are the messages, refusedKeys the operations, that were
	// reported as not executed.
	refusedAttempts []string
	refusedKeys     []string
}

func newTally() *tally { return &tally{codes: make(map[string]int)} }

// outcome is the result of one request.
type outcome int

const (
	answered outcome = iota
	refused
	interrupted
	lost
	mixed
)

// maxSamples bounds the failures that are kept as text.
const maxSamples = 20

// classify compares a response with the expected one.
func classify(text, want string, err error) outcome {
	switch {
	case err == nil && text == want:
		return answered
	case err == nil && strings.HasPrefix(want, text):
		return lost // a truncated answer was returned as complete
	case err == nil:
		return mixed
	}
	return classifyError(err)
}

func classifyError(err error) outcome {
	var typed *apierr.Error
	if !errors.As(err, &typed) {
		return lost
	}
	if typed.Ran == apierr.RanNo {
		return refused
	}
	return interrupted
}

// codeOf returns the label of a failure for the report.
func codeOf(err error) string {
	var typed *apierr.Error
	switch {
	case errors.As(err, &typed):
		return string(typed.Code) + "/" + string(typed.Ran)
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case client.ErrNoRouter.Has(err):
		return "no_router"
	case client.ErrOutcomeUnknown.Has(err):
		return "untyped_outcome_unknown"
	}
	return "other"
}

// add counts one request; name identifies it in the samples.
func (t *tally) add(o outcome, name string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	switch o {
	case answered:
		t.counts.Answered++
		return
	case refused:
		t.counts.Refused++
	case interrupted:
		t.counts.Interrupted++
	case lost:
		t.counts.Lost++
	case mixed:
		t.counts.Mixed++
	}
	if err != nil {
		t.codes[codeOf(err)]++
	}
	if o != refused && len(t.samples) < maxSamples {
		t.samples = append(t.samples, sample(name, err))
	}
}

func sample(name string, err error) string {
	if err == nil {
		return name + ": answer differs"
	}
	return name + ": " + err.Error()
}

func (t *tally) addAccess(a measure.Access, resumes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trace = append(t.trace, a)
	t.counts.Resumes += resumes
}

func (t *tally) addRefusedAttempt(attemptID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedAttempts = append(t.refusedAttempts, attemptID)
}

func (t *tally) addRefusedKey(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedKeys = append(t.refusedKeys, key)
}

func (t *tally) addGaveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.GaveUp++
}

func (t *tally) snapshot() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
