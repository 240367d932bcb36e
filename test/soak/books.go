package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// Paths of the routes that the soak uses.
const (
	pathSafe   = "/safe/x"
	pathOnce   = "/once/x"
	pathStream = "/stream/x"
	pathResume = "/resume/stream/x"
)

var paths = []string{pathSafe, pathOnce, pathStream, pathResume}

// events is how many events each stream has.
const events = 5

// entry is what a caller saw of one request.
type entry struct {
	path   string
	key    string
	sent   time.Time
	answer platformtest.Answer
}

// books hold what callers saw, to be compared with what engines saw.
type books struct {
	mu      sync.Mutex
	entries []entry
	faults  []string
	// revoked is when the store took a configuration without the key.
	revoked map[string]time.Time
	broken  []string
}

func (b *books) record(e entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(b.entries, e)
}

func (b *books) note(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, text)
}

// fail records a broken promise.
func (b *books) fail(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// check compares the books of both sides and returns the promises broken.
func (b *books) check(w *world) []string {
	runs := make(map[string][]platformtest.Run)
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], r)
		}
	}
	for _, e := range b.entries {
		b.checkAnswer(e)
		b.checkRuns(e, runs[e.answer.ID])
	}
	return b.broken
}

// checkAnswer: a success is one engine's whole answer to this very request.
func (b *books) checkAnswer(e entry) {
	a := e.answer
	if a.Status != 200 || a.Err != nil {
		return
	}
	engine, sealed := strings.CutPrefix(a.Seal(), "seal-")
	want := "whole answer of " + engine + " to " + a.ID
	if e.path == pathStream || e.path == pathResume {
		want = wholeStream()
	}
	if !sealed || a.Body != want {
		b.fail("%s %s: not the whole answer of %q: %q", a.ID, e.path, engine, a.Body)
	}
}

func wholeStream() string {
	var text strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// checkRuns: what may run once ran once at most, a refusal did not run at all,
// and no key of an account that lost it was served after the bound.
func (b *books) checkRuns(e entry, runs []platformtest.Run) {
	once := e.path == pathOnce || e.path == pathStream
	if once && len(runs) > 1 {
		b.fail("%s %s: ran %d times", e.answer.ID, e.path, len(runs))
	}
	switch e.answer.Status {
	case 408, 421, 429, 503:
		if once && len(runs) > 0 {
			b.fail("%s %s: answered %d and ran", e.answer.ID, e.path, e.answer.Status)
		}
	}
	if at, ok := b.revoked[e.key]; ok && e.sent.After(at.Add(revokeBound)) && len(runs) > 0 {
		b.fail("%s: key %s ran %v after it was taken away", e.answer.ID, e.key, e.sent.Sub(at))
	}
}
