package admin

import (
	"context"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// fixedUse implements the Table that WithUse returns.
type fixedUse struct {
	table platform.Table
	use   platform.Use
}

// WithUse returns a Table that makes all calls of table with the given use.
//
// The configuration chain makes all its calls with platform.UseConfig, which is
// also the use with which a router reads the head. Without WithUse, operators
// who read old versions would exhaust that budget, and the router would apply
// accepted changes late.
func WithUse(table platform.Table, use platform.Use) platform.Table {
	return &fixedUse{table: table, use: use}
}

// Commit implements platform.Table.
func (t *fixedUse) Commit(ctx context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return t.table.Commit(ctx, t.use, writes...)
}

// Get implements platform.Table.
func (t *fixedUse) Get(ctx context.Context, _ platform.Use, table, key string) (platform.Row, error) {
	return t.table.Get(ctx, t.use, table, key)
}

// Scan implements platform.Table.
func (t *fixedUse) Scan(ctx context.Context, _ platform.Use, table, from, to string, limit int) ([]platform.Row, error) {
	return t.table.Scan(ctx, t.use, table, from, to, limit)
}
