package platform

import (
	"context"
	"errors"
)

// Marker describes the row by which a writer recognises its own transaction.
//
// The transaction writes the row under a condition on its version, with a token
// in it that no other writer uses. Mine reports whether a row holds the token.
// If other writers may replace the row later, false only means that the
// transaction's row is not the current one, not that the transaction never took
// effect. A writer that has to distinguish these uses a marker key of its own
// that is never written again.
type Marker struct {
	Table, Key string
	Mine       func(Row) bool
}

// index returns the index of the marker's write in writes. Errors: ErrInvalid
// if the write is missing, is a deletion or has no condition.
func (m Marker) index(writes []Write) (int, error) {
	for i, w := range writes {
		if w.Table != m.Table || w.Key != m.Key {
			continue
		}
		if w.Delete || w.IfVersion == AnyVersion {
			return 0, ErrInvalid.New("marker %s/%s must be written under a condition", m.Table, m.Key)
		}
		return i, nil
	}
	return 0, ErrInvalid.New("marker %s/%s is not among the writes", m.Table, m.Key)
}

// CommitOnce commits a transaction and determines whether it took effect, even
// if replies are lost. It returns the marker row.
//
// If the outcome of a commit is unknown, CommitOnce reads the marker back. A
// missing marker proves nothing yet, because the lost request may still be in
// transit. CommitOnce therefore sends the same writes again: the condition on
// the marker lets only the first copy that arrives take effect. On a conflict it
// checks the marker as well, since the conflicting row may stem from its own
// earlier copy.
//
// Once a row is deleted, a condition on its absence holds again, and a store
// may start the row's versions again. The rows in the transaction's conditions
// must therefore not be deleted while a request can be in transit; otherwise
// the condition of a delayed copy may hold again.
//
// ctx should have a deadline: during an outage CommitOnce retries until ctx ends.
//
// Errors: *ConflictError, ErrUnavailable, ErrBudget and ErrInvalid, if the
// transaction had no effect; ErrOutcomeUnknown if ctx ended before the outcome
// was known. Once a copy has been sent, failures are never returned as
// ErrUnavailable or ErrBudget: a caller would wrongly conclude from these that
// the transaction was not executed.
func CommitOnce(ctx context.Context, t Table, use Use, m Marker, writes ...Write) (Row, error) {
	i, err := m.index(writes)
	if err != nil {
		return Row{}, err
	}
	c := commitOnce{table: t, use: use, marker: m, index: i, writes: writes}
	backoff := Backoff{}.withDefaults()
	for n := 0; ; n++ {
		row, err := c.attempt(ctx)
		if !ErrOutcomeUnknown.Has(err) {
			return row, err
		}
		c.maybeCommitted = true
		if !backoff.wait(ctx, n) {
			return Row{}, err
		}
	}
}

// commitOnce is the state of one call of CommitOnce.
type commitOnce struct {
	table  Table
	use    Use
	marker Marker
	index  int
	writes []Write
	// maybeCommitted is set once a copy may have taken effect.
	maybeCommitted bool
}

// attempt commits, after reading the marker back if an earlier copy may have
// taken effect. After ErrOutcomeUnknown the caller makes another attempt.
func (c *commitOnce) attempt(ctx context.Context) (Row, error) {
	if c.maybeCommitted {
		row, err := c.readBack(ctx)
		if err == nil {
			return row, nil
		}
		if !ErrNotFound.Has(err) {
			return Row{}, asOutcomeUnknown(err)
		}
	}
	rows, err := c.table.Commit(ctx, c.use, c.writes...)
	var conflict *ConflictError
	switch {
	case err == nil:
		return rows[c.index], nil
	case errors.As(err, &conflict):
		return c.resolveConflict(ctx, conflict)
	case c.maybeCommitted:
		return Row{}, asOutcomeUnknown(err)
	default:
		return Row{}, err
	}
}

// resolveConflict returns the marker row if the conflict is with an earlier copy
// of the same transaction, and the conflict otherwise.
func (c *commitOnce) resolveConflict(ctx context.Context, conflict *ConflictError) (Row, error) {
	current := conflict.Current
	if current.Table == c.marker.Table && current.Key == c.marker.Key {
		if current.Version > 0 && c.marker.Mine(current) {
			return current, nil
		}
		return Row{}, conflict
	}
	row, err := c.readBack(ctx)
	switch {
	case err == nil:
		return row, nil
	case ErrNotFound.Has(err):
		return Row{}, conflict
	default:
		return Row{}, asOutcomeUnknown(err)
	}
}

// readBack returns the marker row if this writer wrote it. Errors: ErrNotFound
// if the row is absent or another writer's, and those of Table.Get.
func (c *commitOnce) readBack(ctx context.Context) (Row, error) {
	row, err := c.table.Get(ctx, c.use, c.marker.Table, c.marker.Key)
	if err != nil {
		return Row{}, err
	}
	if !c.marker.Mine(row) {
		return Row{}, ErrNotFound.New("marker %s/%s belongs to another writer", row.Table, row.Key)
	}
	return row, nil
}

// asOutcomeUnknown converts the error of a later step to ErrOutcomeUnknown. It
// keeps only the text of err: with the class of err in the chain,
// ErrUnavailable.Has would still report that the call had no effect.
func asOutcomeUnknown(err error) error {
	if ErrOutcomeUnknown.Has(err) {
		return err
	}
	return ErrOutcomeUnknown.New("%v", err)
}
