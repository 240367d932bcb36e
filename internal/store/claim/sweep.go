package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

const (
	// sweepTable and sweepKey name the row with the progress of retention.
	sweepTable = "claim_sweep"
	sweepKey   = "progress"
	// roundsKept is the number of rounds that a finished claim outlives. With
	// more rounds a sweeper needs to live less long to complete one.
	roundsKept = 8
	// sweepPage is the number of claims read, and at most written, in a step: a
	// transaction also writes the progress.
	sweepPage = platform.MaxWrites - 1
)

// progress is the state of retention, shared by all sweepers.
type progress struct {
	Round uint64 `json:"round"`
	// Cursor is the key to go on from in the current round.
	Cursor string `json:"cursor,omitempty"`
	// Idle says that the round is complete.
	Idle bool `json:"idle,omitempty"`
}

// Sweeper deletes finished claims after a retention period. Claims that are
// claimed or unknown are never deleted: their request may still run.
//
// Age is counted in rounds, not by timestamps: a VM whose clock steps forward
// would delete fresh claims, and a repeated request would run again. A round
// begins only after its sweeper has watched the completed one for a share of
// the retention period on its own monotonic clock.
type Sweeper struct {
	table     platform.Table
	retention time.Duration

	watched int64
	since   time.Duration
}

// NewSweeper returns a Sweeper. A finished claim lives for at least retention.
func NewSweeper(table platform.Table, retention time.Duration) *Sweeper {
	return &Sweeper{table: table, retention: retention}
}

// Step handles one page of claims, or finds that a round is not due, and
// returns how many rows it knows to be deleted. now is the monotonic time since
// some fixed moment in this process. It costs at most two reads and one
// transaction; the caller sets the pace. Several sweepers may run at once.
// Errors are those of the table service and ErrCorrupt, and nothing needs to be
// undone after one. A conflict means that another writer was faster.
func (s *Sweeper) Step(ctx context.Context, now time.Duration) (deleted int, err error) {
	row, p, err := s.load(ctx)
	if err != nil {
		return 0, err
	}
	if !p.Idle {
		return s.page(ctx, row.Version, p)
	}
	if row.Version != s.watched {
		s.watched = row.Version
		s.since = now
		return 0, nil
	}
	if now-s.since < s.retention/roundsKept {
		return 0, nil
	}
	return s.commit(ctx, row.Version, progress{Round: p.Round + 1}, nil)
}

func (s *Sweeper) load(ctx context.Context) (platform.Row, progress, error) {
	row, err := s.table.Get(ctx, platform.UseRetention, sweepTable, sweepKey)
	if platform.ErrNotFound.Has(err) {
		return platform.Row{}, progress{Round: 1}, nil
	}
	if err != nil {
		return platform.Row{}, progress{}, err
	}
	var p progress
	err = json.Unmarshal(row.Value, &p)
	return row, p, ErrCorrupt.Wrap(err)
}

func (s *Sweeper) page(ctx context.Context, version int64, p progress) (deleted int, err error) {
	rows, err := s.table.Scan(ctx, platform.UseRetention, Table, p.Cursor, "", sweepPage)
	if err != nil {
		return 0, err
	}
	var writes []platform.Write
	for _, row := range rows {
		write, ok := sweepRow(row, p.Round)
		if ok {
			writes = append(writes, write)
		}
	}
	next := progress{Round: p.Round, Idle: len(rows) < sweepPage}
	if !next.Idle {
		next.Cursor = rows[len(rows)-1].Key + "\x00"
	}
	return s.commit(ctx, version, next, writes)
}

// sweepRow returns the write that retention asks for, if any. Rows that can't
// be decoded are left to operators.
func sweepRow(row platform.Row, round uint64) (platform.Write, bool) {
	rec, err := decode(row)
	if err != nil || rec.State != StateDone && rec.State != StateRefused {
		return platform.Write{}, false
	}
	write := platform.Write{Table: Table, Key: row.Key, IfVersion: row.Version}
	if rec.SweepRound != 0 {
		write.Delete = true
		return write, rec.SweepRound+roundsKept < round
	}
	rec.SweepRound = round
	write.Value, err = rec.encode()
	return write, err == nil
}

// commit writes a page together with the progress row, whose version lets one
// sweeper's page through: a page that is delivered late fails as a whole.
func (s *Sweeper) commit(ctx context.Context, version int64, p progress, writes []platform.Write) (deleted int, err error) {
	value, err := json.Marshal(p)
	if err != nil {
		return 0, ErrCorrupt.Wrap(err)
	}
	for _, w := range writes {
		if w.Delete {
			deleted++
		}
	}
	writes = append(writes, platform.Write{Table: sweepTable, Key: sweepKey, Value: value, IfVersion: version})
	_, err = s.table.Commit(ctx, platform.UseRetention, writes...)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return deleted, nil
}
