package audit

import (
	"context"
	"fmt"
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// MaxPage is the largest number of entries in a page.
const MaxPage = 200

// Cursor is a position in the trail: the newest configuration version and the
// newest operation that have not been returned yet.
type Cursor struct {
	Version, Operation uint64
}

// String encodes the cursor for use in a URL.
func (c Cursor) String() string { return fmt.Sprintf("%d.%d", c.Version, c.Operation) }

// ParseCursor parses the output of Cursor.String. Errors: ErrCursor.
func ParseCursor(text string) (Cursor, error) {
	var c Cursor
	_, err := fmt.Sscanf(text, "%d.%d", &c.Version, &c.Operation)
	if err != nil || c.String() != text {
		return Cursor{}, ErrCursor.New("%q", text)
	}
	return c, nil
}

// End reports whether no entries are left.
func (c Cursor) End() bool { return c.Version == 0 && c.Operation == 0 }

// Newest returns the cursor of the newest entries. Errors: ErrCorrupt, those of
// config.Chain.Head and of platform.Table.
func (t *Trail) Newest(ctx context.Context) (Cursor, error) {
	head, err := t.chain.Head(ctx)
	if err != nil {
		return Cursor{}, err
	}
	last, _, err := t.head(ctx)
	return Cursor{Version: head.Version, Operation: last}, err
}

// Page returns up to limit entries from the cursor on, newest first, and the
// cursor of the next page. Both merged lists are numbered without gaps and grow
// only at the newest end, so pages neither overlap nor skip entries while others
// are written. Entries of different kinds are ordered by time, so their order
// can be wrong by the clock difference between routers.
//
// The limit is capped at MaxPage. Errors: ErrCorrupt, those of platform.Table.
func (t *Trail) Page(ctx context.Context, from Cursor, limit int) ([]Entry, Cursor, error) {
	limit = min(limit, MaxPage)
	versions, err := t.versions(ctx, from.Version, limit)
	if err != nil {
		return nil, Cursor{}, err
	}
	operations, err := t.operations(ctx, from.Operation, limit)
	if err != nil {
		return nil, Cursor{}, err
	}
	entries, next := merge(from, versions, operations, limit)
	return entries, next, nil
}

// merge combines two lists, newest first, into one of at most limit entries, and
// returns the cursor after the last of them.
func merge(from Cursor, versions, operations []Entry, limit int) ([]Entry, Cursor) {
	var out []Entry
	next := from
	for len(out) < limit && len(versions)+len(operations) > 0 {
		if len(operations) == 0 || len(versions) > 0 && !versions[0].Time.Before(operations[0].Time) {
			out = append(out, versions[0])
			next.Version = versions[0].Number - 1
			versions = versions[1:]
			continue
		}
		out = append(out, operations[0])
		next.Operation = operations[0].Number - 1
		operations = operations[1:]
	}
	return out, next
}

// Versions returns up to limit accepted configurations from version newest
// downwards, without their bundles. Errors: ErrCorrupt, those of platform.Table.
func (t *Trail) Versions(ctx context.Context, newest uint64, limit int) ([]config.Version, error) {
	return scan(ctx, t, config.TableAudit, newest, limit, func(row platform.Row) (config.Version, error) {
		var e config.AuditEntry
		err := decode(row.Value, &e)
		return e.Version, err
	})
}

func (t *Trail) versions(ctx context.Context, newest uint64, limit int) ([]Entry, error) {
	versions, err := t.Versions(ctx, newest, limit)
	entries := make([]Entry, 0, len(versions))
	for _, v := range versions {
		entries = append(entries, versionEntry(v))
	}
	return entries, err
}

func (t *Trail) operations(ctx context.Context, newest uint64, limit int) ([]Entry, error) {
	return scan(ctx, t, Table, newest, limit, func(row platform.Row) (Entry, error) {
		var e Entry
		err := decode(row.Value, &e)
		return e, err
	})
}

// scan reads the rows numbered from newest down to newest-limit+1. Keys of both
// tables begin with the zero-padded number.
func scan[T any](ctx context.Context, t *Trail, table string, newest uint64, limit int, decodeRow func(platform.Row) (T, error)) ([]T, error) {
	if newest == 0 || limit < 1 {
		return nil, nil
	}
	lowest := uint64(1)
	if newest > uint64(limit) {
		lowest = newest - uint64(limit) + 1
	}
	rows, err := t.table.Scan(ctx, platform.UseAudit, table, key(lowest), key(newest+1), limit)
	if err != nil {
		return nil, err
	}
	out := make([]T, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		item, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		out = append(out, item)
	}
	return out, nil
}
