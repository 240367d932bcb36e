package platform

import (
	"context"
	"errors"
)

// Marker is the row by which a writer recognises its own transaction.
//
// The transaction writes the row under a condition on its version, with a token
// in it that no other writer uses. Mine tells whether a row carries the token.
// Where later writers may replace the row, "not mine" means "not in force now"
// rather than "never took effect"; a writer that must know the latter gives its
// marker a key of its own and nobody writes it again.
type Marker struct {
	Table, Key string
	Mine       func(Row) bool
}

// index returns the place of the marker's write among writes. Errors:
// ErrInvalid where it is missing, deletes, or is unconditional.
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

// CommitOnce commits a transaction and finds out whether it took effect, also
// when replies are lost. It returns the marker row.
//
// When the outcome is unknown it reads the marker back. A marker that isn't
// there proves nothing yet, because the lost request may still be on its way.
// So CommitOnce sends the same writes again: the marker's condition lets only
// one of the copies take effect, whichever comes first. A conflict is looked
// into as well, since it may be the marker's own first copy that stands there.
//
// Versions start anew when a row is deleted. The rows that the transaction puts
// conditions on must therefore stay for longer than a request can be under way;
// otherwise a late copy meets its condition again.
//
// ctx should have a deadline: during an outage CommitOnce tries until it ends.
//
// Errors: *ConflictError, and with no effect at all ErrUnavailable, ErrBudget
// and ErrInvalid; ErrOutcomeUnknown when ctx ended before the store could tell.
// Once a copy has been sent, trouble never comes back as ErrUnavailable or
// ErrBudget: a caller that took either to mean "did not run" would be wrong.
func CommitOnce(ctx context.Context, t Table, use Use, m Marker, writes ...Write) (Row, error) {
	i, err := m.index(writes)
	if err != nil {
		return Row{}, err
	}
	c := commitOnce{table: t, use: use, marker: m, index: i, writes: writes}
	backoff := Backoff{}.withDefaults()
	for n := 0; ; n++ {
		row, err := c.try(ctx)
		if !ErrOutcomeUnknown.Has(err) {
			return row, err
		}
		c.unknown = true
		if !backoff.wait(ctx, n) {
			return Row{}, err
		}
	}
}

// commitOnce is one run of CommitOnce.
type commitOnce struct {
	table  Table
	use    Use
	marker Marker
	index  int
	writes []Write
	// unknown is set once a copy may have taken effect.
	unknown bool
}

// try reads back where needed and commits. ErrOutcomeUnknown asks for another try.
func (c *commitOnce) try(ctx context.Context) (Row, error) {
	if c.unknown {
		row, err := c.readBack(ctx)
		if err == nil {
			return row, nil
		}
		if !ErrNotFound.Has(err) {
			return Row{}, unknown(err)
		}
	}
	rows, err := c.table.Commit(ctx, c.use, c.writes...)
	var conflict *ConflictError
	switch {
	case err == nil:
		return rows[c.index], nil
	case errors.As(err, &conflict):
		return c.resolve(ctx, conflict)
	case c.unknown:
		return Row{}, unknown(err)
	default:
		return Row{}, err
	}
}

// resolve decides whether a conflict is with the marker's own first copy.
func (c *commitOnce) resolve(ctx context.Context, conflict *ConflictError) (Row, error) {
	cur := conflict.Current
	if cur.Table == c.marker.Table && cur.Key == c.marker.Key {
		if cur.Version > 0 && c.marker.Mine(cur) {
			return cur, nil
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
		return Row{}, unknown(err)
	}
}

// readBack returns the marker row if it is the writer's own, and ErrNotFound
// if it is absent or another's.
func (c *commitOnce) readBack(ctx context.Context) (Row, error) {
	row, err := c.table.Get(ctx, c.use, c.marker.Table, c.marker.Key)
	if err != nil {
		return Row{}, err
	}
	if !c.marker.Mine(row) {
		return Row{}, ErrNotFound.New("marker %s/%s of another writer", row.Table, row.Key)
	}
	return row, nil
}

// unknown turns the failure of a later step into ErrOutcomeUnknown. It keeps
// only the text of err: with its class in the chain, ErrUnavailable.Has would
// still report that nothing was done.
func unknown(err error) error {
	if ErrOutcomeUnknown.Has(err) {
		return err
	}
	return ErrOutcomeUnknown.New("%v", err)
}
