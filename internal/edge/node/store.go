package node

import (
	"context"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Store is the platform's store: what operators and engines keep there, and rows of the
// project's own.
type Store interface {
	feed.Store
	platform.Table
}

// currentStore is the store at the address that the settings in force name. The store may move;
// its versions go on. It is safe for concurrent use.
type currentStore struct {
	dial func(address string) Store
	now  atomic.Pointer[Store]
}

var _ Store = (*currentStore)(nil)

func newCurrentStore(dial func(address string) Store, address string) *currentStore {
	c := &currentStore{dial: dial}
	c.move(address)
	return c
}

// move makes all calls from now on go to an address.
func (c *currentStore) move(address string) {
	store := c.dial(address)
	c.now.Store(&store)
}

func (c *currentStore) at() Store { return *c.now.Load() }

// ReadConfig implements feed.Store.
func (c *currentStore) ReadConfig(ctx context.Context) (feed.ConfigRead, error) {
	return c.at().ReadConfig(ctx)
}

// WatchConfig implements feed.Store.
func (c *currentStore) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (feed.ConfigRead, error) {
	return c.at().WatchConfig(ctx, since, wait)
}

// ReadEngines implements feed.Store.
func (c *currentStore) ReadEngines(ctx context.Context) (catalog.EngineUpdate, error) {
	return c.at().ReadEngines(ctx)
}

// WatchEngines implements feed.Store.
func (c *currentStore) WatchEngines(ctx context.Context, since uint64, wait time.Duration) (catalog.EngineUpdate, error) {
	return c.at().WatchEngines(ctx, since, wait)
}

// Commit implements platform.Table.
func (c *currentStore) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return c.at().Commit(ctx, use, writes...)
}

// Get implements platform.Table.
func (c *currentStore) Get(ctx context.Context, use platform.Use, table, key string) (platform.Row, error) {
	return c.at().Get(ctx, use, table, key)
}

// Scan implements platform.Table.
func (c *currentStore) Scan(ctx context.Context, use platform.Use, table, from, to string, limit int) ([]platform.Row, error) {
	return c.at().Scan(ctx, use, table, from, to, limit)
}
