package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

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

// check compares the books of both sides and returns the promises broken. Since calmFrom
// nothing has gone wrong.
func (b *books) check(w *world, calmFrom time.Time) []string {
	runs := make(map[string][]platformtest.Run)
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], r)
			b.checkLeft(e, r, calmFrom)
			if e.Site == w.evacuated && r.At.After(calmFrom) {
				b.fail("%s: ran at %s in the evacuated site", r.RequestID, e.ID)
			}
		}
		b.checkCold(e)
	}
	for _, e := range b.entries {
		b.broken = append(b.broken, platformtest.Judge(e.path, e.answer, runs[e.answer.ID])...)
		b.checkKey(e, runs[e.answer.ID])
	}
	b.checkEndings(w.ended())
	return b.broken
}

// checkEndings: a router ends by itself only where it starts with settings that can't be used,
// or where a hang-up comes before its program runs. A panic ends it with status 2.
func (b *books) checkEndings(endings []string) {
	for _, how := range endings {
		if !strings.HasSuffix(how, "exit status 1") && !strings.HasSuffix(how, "signal: hangup") {
			b.fail("a router ended by itself: %s", how)
		}
	}
}

// checkKey: no key of an account that lost it was served after the bound.
func (b *books) checkKey(e entry, runs []platformtest.Run) {
	if at, ok := b.revoked[e.key]; ok && e.sent.After(at.Add(revokeBound)) && len(runs) > 0 {
		b.fail("%s: key %s ran %v after it was taken away", e.answer.ID, e.key, e.sent.Sub(at))
	}
}

// checkCold: an engine that has just come gets no more in any second than it bears.
func (b *books) checkCold(e *engine) {
	if e.ColdFor == 0 {
		return
	}
	runs := e.Runs()
	warm := e.added.Add(e.ColdFor)
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < time.Second && r.At.Before(warm) {
				n++
			}
		}
		if n > platformtest.ColdPerSecond {
			b.fail("%s: %d requests in a second while it was cold", e.ID, n)
		}
	}
}

// checkLeft: an engine that leaves gets no new request after the bound, once all routers
// can know.
func (b *books) checkLeft(e *engine, r platformtest.Run, calmFrom time.Time) {
	if e.drainedAt.IsZero() || r.At.Before(calmFrom) || r.At.Before(e.drainedAt.Add(drainBound)) {
		return
	}
	b.fail("%s: ran at %s %v after it began to leave", r.RequestID, e.ID, r.At.Sub(e.drainedAt))
}
