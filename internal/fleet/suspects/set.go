// Package suspects shares between routers which requests engines were executing when they ended, and
// which parts their prompts had.
//
// Any two routers may exchange what they know, in any order and any number of times: a router sends
// what the other one has not confirmed, and entries are merged by package quarantine.
package suspects

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/charmbracelet/log"
)

// advanceInterval is how often the suspects are checked for decisions that are due.
const advanceInterval = 100 * time.Millisecond

// Set holds the requests that engines were executing when they ended, and the parts of their prompts,
// as known to this router. It is safe for concurrent use.
type Set struct {
	clock func() time.Duration
	log   *log.Logger
	// instance distinguishes the revisions of this process from those of an earlier one.
	instance uint64
	answers  answers

	mu      sync.Mutex
	table   *quarantine.Table
	view    atomic.Pointer[quarantine.View]
	changed atomic.Pointer[chan struct{}]
}

// NewSet returns a Set without any suspect.
func NewSet(limits quarantine.Limits, clock func() time.Duration, logger *log.Logger) *Set {
	s := &Set{clock: clock, log: logger, instance: rand.Uint64() | 1, table: quarantine.NewTable(limits)}
	s.view.Store(s.table.View())
	changed := make(chan struct{})
	s.changed.Store(&changed)
	return s
}

// View returns the current suspects.
func (s *Set) View() *quarantine.View { return s.view.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Set) Changed() <-chan struct{} { return *s.changed.Load() }

// Now returns the time on the clock of the set.
func (s *Set) Now() time.Duration { return s.clock() }

// Instance returns a number that differs from process to process and is not zero.
func (s *Set) Instance() uint64 { return s.instance }

// Run takes the decisions that are due until the context is canceled.
func (s *Set) Run(ctx context.Context) {
	for pause.For(ctx, advanceInterval) {
		if s.Revision() > 0 {
			s.update(func(t *quarantine.Table) []quarantine.Change { return t.Advance(s.clock()) })
		}
	}
}

// update applies a change to the table, publishes the result and logs the changes.
func (s *Set) update(change func(*quarantine.Table) []quarantine.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, viewRevision := s.table.Revision(), s.table.ViewRevision()
	changes := change(s.table)
	if s.table.ViewRevision() != viewRevision {
		s.view.Store(s.table.View())
	}
	if s.table.Revision() != revision {
		next := make(chan struct{})
		close(*s.changed.Swap(&next))
	}
	for _, c := range changes {
		s.logChange(c)
	}
}

func (s *Set) logChange(c quarantine.Change) {
	e := c.Entry
	name, what := "request", []any{"fingerprint", e.Fingerprint}
	if e.Key().IsPart() {
		name, what = "prompt part", []any{"part", e.Part}
	}
	fields := append(what, "account", e.Account, "route", e.Route, "engines", e.Engines(), "lapsed", e.Lapsed)
	if e.Key().IsPart() {
		fields = append(fields, "requests", e.Requests(), "answered_ago", answeredAgo(e, s.clock()))
	}
	switch c.Kind {
	case quarantine.Quarantined:
		s.log.Warn(name+" quarantined", fields...)
	case quarantine.Suspected:
		s.log.Warn(name+" suspected", fields...)
	case quarantine.Lapsed:
		s.log.Info("quarantine lapsed", fields...)
	case quarantine.Cleared:
		s.log.Info("suspect cleared", fields...)
	}
}

// answeredAgo returns the time since the newest answer that spoke for a suspect began.
func answeredAgo(e quarantine.Entry, now time.Duration) string {
	if e.OutlivedAt == 0 {
		return "never"
	}
	return (now - e.OutlivedAt).String()
}

// RecordEnd records the requests that an engine was executing when it ended.
func (s *Set) RecordEnd(end quarantine.End, cuts []quarantine.Cut) {
	if len(cuts) == 0 {
		return
	}
	for i := range cuts {
		c := &cuts[i]
		c.CompletedAt = s.answers.at(c.Content)
		for j, p := range c.Parts {
			c.Parts[j].CompletedAt = s.answers.at(hashPart(p.Part))
		}
	}
	s.update(func(t *quarantine.Table) []quarantine.Change { return t.RecordEnd(end, cuts, s.clock()) })
}

// Prove records that an answer has shown that neither the request, if it is a suspect, nor the parts of
// its prompt crash engines; see quarantine.Table.Prove.
func (s *Set) Prove(a Answer) {
	if a.Complete {
		s.answers.record(a.Content, a.Began)
		for _, p := range a.Parts {
			s.answers.record(hashPart(p), a.Began)
		}
	}
	var keys []quarantine.Key
	if a.Request != nil {
		keys = append(keys, quarantine.Key{Fingerprint: *a.Request})
	}
	if view := s.View(); view.HasParts() {
		for _, p := range a.Parts {
			if view.Part(p).ProvenBy(a.Began) {
				keys = append(keys, quarantine.Key{Part: p})
			}
		}
	}
	if len(keys) > 0 {
		s.update(func(t *quarantine.Table) []quarantine.Change { return t.Prove(keys, a.Began, a.Complete, s.clock()) })
	}
}

// Clear discards what is held against a suspect. It returns false if nothing is.
func (s *Set) Clear(k quarantine.Key) (cleared bool) {
	s.update(func(t *quarantine.Table) []quarantine.Change {
		change, ok := t.Clear(k, s.clock())
		cleared = ok
		if !ok {
			return nil
		}
		return []quarantine.Change{change}
	})
	return cleared
}

// Merge adds the suspects that another router, named by source, knows.
func (s *Set) Merge(entries []quarantine.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	s.update(func(t *quarantine.Table) []quarantine.Change { return t.Merge(entries, source, s.clock()) })
}

// Revision returns the revision of the last change.
func (s *Set) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Revision()
}

// ChangedSince returns the suspects that changed after a revision, except those known from the
// router named by except, and the current revision.
func (s *Set) ChangedSince(revision uint64, except string) ([]quarantine.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ChangedSince(revision, except), s.table.Revision()
}

// ownSince returns the suspects that changed after a revision and that no other router reported as
// they are, and the current revision.
func (s *Set) ownSince(revision uint64) ([]quarantine.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OwnSince(revision), s.table.Revision()
}

// Entries returns all suspects.
func (s *Set) Entries() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Entries()
}
