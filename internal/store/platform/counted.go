package platform

import (
	"context"
	"errors"
	"sync"
)

// Uses that only Stats knows: calls that the interfaces give no use, and uses
// that this package doesn't list.
const (
	useObjects Use = "objects"
	useOther   Use = "other"
)

// Counts counts calls by result.
type Counts struct {
	OK       uint64 `json:"ok"`
	Conflict uint64 `json:"conflict"`
	NotFound uint64 `json:"not_found"`
	// Unavailable counts calls that were tried and had no effect, Open those
	// that the breaker kept back, Budget those beyond the budget.
	Unavailable uint64 `json:"unavailable"`
	Open        uint64 `json:"open"`
	Budget      uint64 `json:"budget"`
	// Unknown counts writes whose outcome is unknown.
	Unknown uint64 `json:"unknown"`
	Invalid uint64 `json:"invalid"`
	Other   uint64 `json:"other"`
}

// add counts one result.
func (c *Counts) add(err error) {
	*c.slot(err)++
}

func (c *Counts) slot(err error) *uint64 {
	var conflict *ConflictError
	switch {
	case err == nil:
		return &c.OK
	case errors.As(err, &conflict):
		return &c.Conflict
	case ErrNotFound.Has(err):
		return &c.NotFound
	case ErrOutcomeUnknown.Has(err):
		return &c.Unknown
	case ErrBreakerOpen.Has(err):
		return &c.Open
	case ErrUnavailable.Has(err):
		return &c.Unavailable
	case ErrBudget.Has(err):
		return &c.Budget
	case ErrInvalid.Has(err):
		return &c.Invalid
	default:
		return &c.Other
	}
}

// UseCounts counts the calls of one use.
type UseCounts struct {
	Reads  Counts `json:"reads"`
	Writes Counts `json:"writes"`
}

// Stats counts a process's calls to the platform by use and result. The zero
// value is ready. It is safe for concurrent use.
type Stats struct {
	mu sync.Mutex
	by map[Use]*UseCounts
}

// Snapshot returns a copy of the counts, fit for expvar.Func. Its size is
// bounded: uses that this package doesn't list count as "other".
func (s *Stats) Snapshot() map[Use]UseCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Use]UseCounts, len(s.by))
	for use, c := range s.by {
		out[use] = *c
	}
	return out
}

func (s *Stats) read(use Use, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts(use).Reads.add(err)
}

func (s *Stats) wrote(use Use, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts(use).Writes.add(err)
}

// counts returns the counts of a use. s.mu is held.
func (s *Stats) counts(use Use) *UseCounts {
	if _, listed := reserves[use]; !listed && use != useObjects && use != UseVMs {
		use = useOther
	}
	if s.by == nil {
		s.by = map[Use]*UseCounts{}
	}
	c := s.by[use]
	if c == nil {
		c = &UseCounts{}
		s.by[use] = c
	}
	return c
}

// counted is the Table of Counted.
type counted struct {
	next  Table
	stats *Stats
}

// Counted returns a Table that counts the calls of next in stats.
func Counted(next Table, stats *Stats) Table {
	return &counted{next: next, stats: stats}
}

// Commit implements Table.
func (c *counted) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	rows, err := c.next.Commit(ctx, use, writes...)
	c.stats.wrote(use, err)
	return rows, err
}

// Get implements Table.
func (c *counted) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	row, err := c.next.Get(ctx, use, table, key)
	c.stats.read(use, err)
	return row, err
}

// Scan implements Table.
func (c *counted) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	rows, err := c.next.Scan(ctx, use, table, from, to, limit)
	c.stats.read(use, err)
	return rows, err
}
