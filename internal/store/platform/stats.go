package platform

import (
	"context"
	"errors"
	"sync"
)

// The uses that occur only in Stats: calls of the object store, which have no
// use, and calls whose use has no entry in reserves.
const (
	useObjects Use = "objects"
	useOther   Use = "other"
)

// Counts holds the numbers of calls by result.
type Counts struct {
	OK       uint64 `json:"ok"`
	Conflict uint64 `json:"conflict"`
	NotFound uint64 `json:"not_found"`
	// Unavailable counts calls that failed without effect, Open calls that the
	// open circuit breaker rejected, and Budget calls beyond the budget.
	Unavailable uint64 `json:"unavailable"`
	Open        uint64 `json:"open"`
	Budget      uint64 `json:"budget"`
	// Unknown counts writes whose outcome is unknown.
	Unknown uint64 `json:"unknown"`
	Invalid uint64 `json:"invalid"`
	Other   uint64 `json:"other"`
}

func (c *Counts) add(err error) {
	*c.counter(err)++
}

func (c *Counts) counter(err error) *uint64 {
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

// UseCounts holds the numbers of calls of one use.
type UseCounts struct {
	Reads  Counts `json:"reads"`
	Writes Counts `json:"writes"`
}

// Stats counts a process's calls to the platform by use and result. The zero
// value is ready to use. It is safe for concurrent use.
type Stats struct {
	mu    sync.Mutex
	byUse map[Use]*UseCounts
}

// Snapshot returns a copy of the counts, suitable for expvar.Func. Its size is
// bounded: uses without an entry in reserves, other than UseVMs, count as
// "other".
func (s *Stats) Snapshot() map[Use]UseCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Use]UseCounts, len(s.byUse))
	for use, c := range s.byUse {
		out[use] = *c
	}
	return out
}

func (s *Stats) countRead(use Use, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forUse(use).Reads.add(err)
}

func (s *Stats) countWrite(use Use, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forUse(use).Writes.add(err)
}

// forUse returns the counts of a use. The caller must hold s.mu.
func (s *Stats) forUse(use Use) *UseCounts {
	if _, listed := reserves[use]; !listed && use != useObjects && use != UseVMs {
		use = useOther
	}
	if s.byUse == nil {
		s.byUse = map[Use]*UseCounts{}
	}
	c := s.byUse[use]
	if c == nil {
		c = &UseCounts{}
		s.byUse[use] = c
	}
	return c
}

// statsTable is the Table that WithStats returns.
type statsTable struct {
	next  Table
	stats *Stats
}

// WithStats returns a Table that counts the calls of next in stats.
func WithStats(next Table, stats *Stats) Table {
	return &statsTable{next: next, stats: stats}
}

// Commit implements Table.
func (c *statsTable) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	rows, err := c.next.Commit(ctx, use, writes...)
	c.stats.countWrite(use, err)
	return rows, err
}

// Get implements Table.
func (c *statsTable) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	row, err := c.next.Get(ctx, use, table, key)
	c.stats.countRead(use, err)
	return row, err
}

// Scan implements Table.
func (c *statsTable) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	rows, err := c.next.Scan(ctx, use, table, from, to, limit)
	c.stats.countRead(use, err)
	return rows, err
}
