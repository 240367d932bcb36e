package audit

import (
	"context"
	"errors"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// maxAttempts bounds the attempts to write an entry while concurrent operations
// take the next number first.
const maxAttempts = 5

// Trail reads and writes the audit trail. It holds no state in memory and is
// safe for concurrent use.
type Trail struct {
	table platform.Table
	chain *config.Chain
	now   func() time.Time
}

// New returns the trail stored in table. The newest configuration version comes
// from chain, and now is used only for the time of entries.
func New(table platform.Table, chain *config.Chain, now func() time.Time) *Trail {
	return &Trail{table: table, chain: chain, now: now}
}

// Record writes an entry and the writes of its change in one transaction and
// returns the entry as written. e.ID must be new or the ID of an earlier entry
// of the same operation. A zero e.Time is replaced by the current time; an entry
// that is written late may set the time of its operation. The writes must be
// conditional, so that a transaction that is delivered late has no effect.
//
// Errors: *platform.ConflictError for one of the writes, ErrContended, and
// those of platform.CommitOnce. With ErrOutcomeUnknown the returned entry is the
// one that may have been written.
func (t *Trail) Record(ctx context.Context, e Entry, writes ...platform.Write) (Entry, error) {
	if e.Time.IsZero() {
		e.Time = t.now()
	}
	e.Time = e.Time.UTC()
	for range maxAttempts {
		recorded, err := t.recordOnce(ctx, e, writes)
		if !isNumberConflict(err) {
			return recorded, err
		}
	}
	return Entry{}, ErrContended.New("%s of %s", e.Action, e.Target)
}

// isNumberConflict reports a conflict on the rows of the trail itself: another
// operation took the number, and the failed transaction can no longer commit.
func isNumberConflict(err error) bool {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	return conflict.Current.Table == TableHead || conflict.Current.Table == Table
}

// recordOnce makes one attempt to write the entry under the next number, by
// compare-and-set on the head row.
//
// Numbers without gaps make pagination stable. With the time as key, a router
// with a slow clock would insert entries that a reader's cursor has already
// passed, and the reader would miss them.
func (t *Trail) recordOnce(ctx context.Context, e Entry, writes []platform.Write) (Entry, error) {
	last, version, err := t.head(ctx)
	if err != nil {
		return Entry{}, err
	}
	e.Number = last + 1
	value := encode(e)
	trailWrites := []platform.Write{
		{Table: TableHead, Key: headKey, Value: encode(headRow{e.Number}), IfVersion: version},
		{Table: Table, Key: key(e.Number), Value: value},
	}
	marker := platform.Marker{Table: Table, Key: key(e.Number), Mine: func(row platform.Row) bool {
		return string(row.Value) == string(value)
	}}
	_, err = platform.CommitOnce(ctx, t.table, platform.UseAudit, marker, append(trailWrites, writes...)...)
	return e, err
}

// head returns the number of the last entry and the version of the head row,
// both 0 if there are no entries.
func (t *Trail) head(ctx context.Context) (uint64, int64, error) {
	row, err := t.table.Get(ctx, platform.UseAudit, TableHead, headKey)
	if platform.ErrNotFound.Has(err) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var head headRow
	if err := decode(row.Value, &head); err != nil {
		return 0, 0, err
	}
	return head.Number, row.Version, nil
}
