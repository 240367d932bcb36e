package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

const (
	// sweepTable and sweepKey identify the row that holds the progress.
	sweepTable = "claim_sweep"
	sweepKey   = "progress"
	// retainedRounds is the number of rounds for which a done or refused claim
	// is retained. With more rounds, the time for which one sweeper has to run
	// before it may start the next round, retention/retainedRounds, is shorter.
	retainedRounds = 8
	// pageSize is the maximum number of claims that one step reads and writes. It
	// leaves one write of the transaction for the progress.
	pageSize = platform.MaxWrites - 1
)

// progress is the progress of retention, shared by all sweepers.
type progress struct {
	Round uint64 `json:"round"`
	// Cursor is the key from which the current round continues.
	Cursor string `json:"cursor,omitempty"`
	// Idle reports that the round is complete.
	Idle bool `json:"idle,omitempty"`
}

// Sweeper deletes done and refused claims after a retention period. Claims in the
// states claimed and unknown are never deleted: their requests may still be
// executed.
//
// Age is counted in rounds, not by timestamps: a VM whose clock steps forward
// would delete recent claims, and a repeated request would be executed again. A
// sweeper starts a round only after it has observed the end of the previous one
// for 1/retainedRounds of the retention period on its own monotonic clock.
//
// A Sweeper must not be used concurrently.
type Sweeper struct {
	table     platform.Table
	retention time.Duration

	watchedVersion int64
	watchedSince   time.Duration
}

// NewSweeper returns a Sweeper that retains done and refused claims for at least
// retention.
func NewSweeper(table platform.Table, retention time.Duration) *Sweeper {
	return &Sweeper{table: table, retention: retention}
}

// Step processes one page of claims, or does nothing if no round is due, and
// returns the number of rows that it is known to have deleted. now is the
// monotonic time since a fixed moment in this process. A step makes at most two
// reads and one transaction; the caller determines how often it is called.
// Sweepers of several processes may run at the same time: a conflict means that
// another one wrote the progress first, and Step doesn't return it as an error.
// Errors: ErrCorrupt and those of the table service. No cleanup is needed after
// an error.
func (s *Sweeper) Step(ctx context.Context, now time.Duration) (deleted int, err error) {
	row, p, err := s.loadProgress(ctx)
	if err != nil {
		return 0, err
	}
	if !p.Idle {
		return s.sweepPage(ctx, row.Version, p)
	}
	if row.Version != s.watchedVersion {
		s.watchedVersion = row.Version
		s.watchedSince = now
		return 0, nil
	}
	if now-s.watchedSince < s.retention/retainedRounds {
		return 0, nil
	}
	return s.commit(ctx, row.Version, progress{Round: p.Round + 1}, nil)
}

func (s *Sweeper) loadProgress(ctx context.Context) (platform.Row, progress, error) {
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

func (s *Sweeper) sweepPage(ctx context.Context, version int64, p progress) (deleted int, err error) {
	rows, err := s.table.Scan(ctx, platform.UseRetention, Table, p.Cursor, "", pageSize)
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
	next := progress{Round: p.Round, Idle: len(rows) < pageSize}
	if !next.Idle {
		next.Cursor = rows[len(rows)-1].Key + "\x00"
	}
	return s.commit(ctx, version, next, writes)
}

// sweepRow returns the write that retention requires for a row, if any. Rows that
// can't be decoded are left to operators.
func sweepRow(row platform.Row, round uint64) (platform.Write, bool) {
	rec, err := decode(row)
	if err != nil || rec.State != StateDone && rec.State != StateRefused {
		return platform.Write{}, false
	}
	write := platform.Write{Table: Table, Key: row.Key, IfVersion: row.Version}
	if rec.SweepRound != 0 {
		write.Delete = true
		return write, rec.SweepRound+retainedRounds < round
	}
	rec.SweepRound = round
	write.Value, err = rec.encode()
	return write, err == nil
}

// commit writes a page together with the progress. The condition on the version
// of the progress row lets only one sweeper's page take effect: the transaction
// of a delayed page fails as a whole.
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
