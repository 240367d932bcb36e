package admin

import (
	"context"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// charged is the Table of Charged.
type charged struct {
	next platform.Table
	use  platform.Use
}

// Charged returns a Table that makes every call of next for the given use.
//
// The chain of configurations charges its calls to the use of the routers that
// follow it. With that, operators who look through old versions would use up
// what a router needs to read the head, and accepted changes would come late.
func Charged(next platform.Table, use platform.Use) platform.Table {
	return &charged{next: next, use: use}
}

// Commit implements platform.Table.
func (t *charged) Commit(ctx context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return t.next.Commit(ctx, t.use, writes...)
}

// Get implements platform.Table.
func (t *charged) Get(ctx context.Context, _ platform.Use, table, key string) (platform.Row, error) {
	return t.next.Get(ctx, t.use, table, key)
}

// Scan implements platform.Table.
func (t *charged) Scan(ctx context.Context, _ platform.Use, table, from, to string, limit int) ([]platform.Row, error) {
	return t.next.Scan(ctx, t.use, table, from, to, limit)
}
