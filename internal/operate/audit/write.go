package audit

import (
	"context"
	"errors"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// maxAttempts bounds how often a number is taken anew after another operation
// took it first.
const maxAttempts = 5

// Trail reads and writes the audit trail. It keeps nothing in memory and is
// safe for concurrent use.
type Trail struct {
	table platform.Table
	chain *config.Chain
	now   func() time.Time
}

// New returns the trail in table; chain tells how far the configuration is.
// The clock only stamps entries.
func New(table platform.Table, chain *config.Chain, now func() time.Time) *Trail {
	return &Trail{table: table, chain: chain, now: now}
}

// Record writes an entry together with the writes of its change, all or
// nothing, and returns the entry as written. e.ID must be new, or that of the
// operation's earlier entry. e.Time may be that of the operation, for an entry
// that comes later; left zero it is now. The writes must be conditional, so that a late
// copy has no effect.
//
// Errors: *platform.ConflictError for one of the writes, ErrContended, and
// those of platform.CommitOnce. With ErrOutcomeUnknown the entry is returned as
// it may have been written.
func (t *Trail) Record(ctx context.Context, e Entry, writes ...platform.Write) (Entry, error) {
	if e.Time.IsZero() {
		e.Time = t.now()
	}
	e.Time = e.Time.UTC()
	for range maxAttempts {
		done, err := t.record(ctx, e, writes)
		if !lostRace(err) {
			return done, err
		}
	}
	return Entry{}, ErrContended.New("%s of %s", e.Action, e.Target)
}

// lostRace reports a conflict on the trail's own rows: another operation took
// the number, and that transaction of ours can't take effect any more.
func lostRace(err error) bool {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	return conflict.Current.Table == TableHead || conflict.Current.Table == Table
}

// record takes the next number by compare-and-set.
//
// Numbers without gaps are what makes reading stable: with the time as key, a
// router whose clock is slow would write behind a reader's cursor, and the
// reader would miss the entry without noticing.
func (t *Trail) record(ctx context.Context, e Entry, writes []platform.Write) (Entry, error) {
	last, version, err := t.head(ctx)
	if err != nil {
		return Entry{}, err
	}
	e.Number = last + 1
	value := encode(e)
	own := []platform.Write{
		{Table: TableHead, Key: headKey, Value: encode(headRow{e.Number}), IfVersion: version},
		{Table: Table, Key: key(e.Number), Value: value},
	}
	marker := platform.Marker{Table: Table, Key: key(e.Number), Mine: func(row platform.Row) bool {
		return string(row.Value) == string(value)
	}}
	_, err = platform.CommitOnce(ctx, t.table, platform.UseAudit, marker, append(own, writes...)...)
	return e, err
}

// head returns the number of the last entry and the version of the head row.
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
