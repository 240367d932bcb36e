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

// Counts are what callers saw, by request: one message sent once, or one call.
type Counts struct {
	Requests int `json:"requests"`
	// Answered requests got their own whole answer.
	Answered int `json:"answered"`
	// Refused requests were told that they did not run.
	Refused int `json:"refused"`
	// Interrupted requests were told that their outcome is unknown or their
	// answer incomplete, as after the crash of their engine.
	Interrupted int `json:"interrupted"`
	// Lost requests got neither a whole answer nor a typed statement, or were
	// interrupted though no crash accounts for it.
	Lost int `json:"lost"`
	// Mixed requests got an answer that is not their own.
	Mixed int `json:"mixed"`
	// Doubled operations were executed more than once.
	Doubled int `json:"doubled"`
	// FalselyRefused requests were told that they did not run, and had.
	FalselyRefused int `json:"falsely_refused"`
	// Resumes counts streams that moved to another connection.
	Resumes int `json:"resumes"`
	// GaveUp counts chats that ended early after too many failures.
	GaveUp int `json:"gave_up"`
}

// Kept reports whether all promises were kept.
func (c Counts) Kept() bool {
	return c.Lost == 0 && c.Mixed == 0 && c.Doubled == 0 && c.FalselyRefused == 0
}

// tally collects outcomes while a run goes on.
type tally struct {
	mu      sync.Mutex
	counts  Counts
	codes   map[string]int
	samples []string
	trace   []measure.Access
	// refusedMarks are messages, refusedKeys operations, that were said not
	// to have run.
	refusedMarks []string
	refusedKeys  []string
}

func newTally() *tally { return &tally{codes: make(map[string]int)} }

// verdict is what one request came to.
type verdict int

const (
	answered verdict = iota
	refused
	interrupted
	lost
	mixed
)

// maxSamples bounds the failures that are kept word for word.
const maxSamples = 20

// judge compares an answer with the one that is due.
func judge(text, due string, err error) verdict {
	switch {
	case err == nil && text == due:
		return answered
	case err == nil && strings.HasPrefix(due, text):
		return lost // a part was shown as the whole
	case err == nil:
		return mixed
	}
	return judgeError(err)
}

func judgeError(err error) verdict {
	var typed *apierr.Error
	if !errors.As(err, &typed) {
		return lost
	}
	if typed.Ran == apierr.RanNo {
		return refused
	}
	return interrupted
}

// codeOf labels a failure for the report.
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

// add counts one request; what names it in the samples.
func (t *tally) add(v verdict, what string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	switch v {
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
	if v != refused && len(t.samples) < maxSamples {
		t.samples = append(t.samples, sample(what, err))
	}
}

func sample(what string, err error) string {
	if err == nil {
		return what + ": answer differs"
	}
	return what + ": " + err.Error()
}

func (t *tally) access(a measure.Access, resumes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trace = append(t.trace, a)
	t.counts.Resumes += resumes
}

func (t *tally) refusedMark(mark string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedMarks = append(t.refusedMarks, mark)
}

func (t *tally) refusedKey(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedKeys = append(t.refusedKeys, key)
}

func (t *tally) gaveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.GaveUp++
}

func (t *tally) snapshot() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
