package audit

import (
	"context"
	"fmt"
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// MaxPage bounds the entries of one page.
const MaxPage = 200

// Cursor is a place in the trail: the newest configuration version and the
// newest operation that are still to be shown.
type Cursor struct {
	Version, Operation uint64
}

// String encodes the cursor for an address.
func (c Cursor) String() string { return fmt.Sprintf("%d.%d", c.Version, c.Operation) }

// ParseCursor reads what Cursor.String wrote. Errors: ErrCursor.
func ParseCursor(text string) (Cursor, error) {
	var c Cursor
	_, err := fmt.Sscanf(text, "%d.%d", &c.Version, &c.Operation)
	if err != nil || c.String() != text {
		return Cursor{}, ErrCursor.New("%q", text)
	}
	return c, nil
}

// End reports that nothing is left to show.
func (c Cursor) End() bool { return c.Version == 0 && c.Operation == 0 }

// Top returns the cursor of the newest entries.
func (t *Trail) Top(ctx context.Context) (Cursor, error) {
	head, err := t.chain.Head(ctx)
	if err != nil {
		return Cursor{}, err
	}
	last, _, err := t.head(ctx)
	return Cursor{Version: head.Version, Operation: last}, err
}

// Page returns up to limit entries from the cursor on, newest first, and the
// cursor of those after them. Both lists that it merges have numbers without
// gaps and only grow at their top, so pages never overlap or leave entries
// out, whatever is written meanwhile. Where routers' clocks differ, so does the
// order of entries of different kinds.
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

// merge takes the newer of the two first entries, up to limit times.
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

// Versions returns up to limit accepted configurations from top downwards,
// without their bundles. Errors: ErrCorrupt, those of platform.Table.
func (t *Trail) Versions(ctx context.Context, top uint64, limit int) ([]config.Version, error) {
	return scan(ctx, t, config.TableAudit, top, limit, func(row platform.Row) (config.Version, error) {
		var e config.AuditEntry
		err := decode(row.Value, &e)
		return e.Version, err
	})
}

func (t *Trail) versions(ctx context.Context, top uint64, limit int) ([]Entry, error) {
	versions, err := t.Versions(ctx, top, limit)
	entries := make([]Entry, 0, len(versions))
	for _, v := range versions {
		entries = append(entries, ofVersion(v))
	}
	return entries, err
}

func (t *Trail) operations(ctx context.Context, top uint64, limit int) ([]Entry, error) {
	return scan(ctx, t, Table, top, limit, func(row platform.Row) (Entry, error) {
		var e Entry
		err := decode(row.Value, &e)
		return e, err
	})
}

// scan reads the rows numbered from top down to top-limit+1. The keys of both
// tables begin with the zero-padded number.
func scan[T any](ctx context.Context, t *Trail, table string, top uint64, limit int, read func(platform.Row) (T, error)) ([]T, error) {
	if top == 0 || limit < 1 {
		return nil, nil
	}
	first := uint64(1)
	if top > uint64(limit) {
		first = top - uint64(limit) + 1
	}
	rows, err := t.table.Scan(ctx, platform.UseAudit, table, key(first), key(top+1), limit)
	if err != nil {
		return nil, err
	}
	out := make([]T, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		item, err := read(row)
		if err != nil {
			return nil, err
		}
		out = append(out, item)
	}
	return out, nil
}
