package node

import (
	"context"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Store is the platform's store. It holds what operators and engines write there, and the project's
// own rows.
type Store interface {
	feed.Store
	platform.Table
}

// storeProxy forwards calls to the store at the address in the settings. The address may change.
// The versions of the data at a new address must continue those at the previous one. It is safe for
// concurrent use.
type storeProxy struct {
	dial  func(address string) Store
	store atomic.Pointer[Store]
}

var _ Store = (*storeProxy)(nil)

func newStoreProxy(dial func(address string) Store, address string) *storeProxy {
	p := &storeProxy{dial: dial}
	p.setAddress(address)
	return p
}

// setAddress sends all further calls to the store at the address.
func (p *storeProxy) setAddress(address string) {
	store := p.dial(address)
	p.store.Store(&store)
}

func (p *storeProxy) current() Store { return *p.store.Load() }

// Era implements feed.Store.
func (p *storeProxy) Era() catalog.Era { return p.current().Era() }

// ReadConfig implements feed.Store.
func (p *storeProxy) ReadConfig(ctx context.Context) (feed.ConfigRead, error) {
	return p.current().ReadConfig(ctx)
}

// WatchConfig implements feed.Store.
func (p *storeProxy) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (feed.ConfigRead, error) {
	return p.current().WatchConfig(ctx, since, wait)
}

// ReadEngines implements feed.Store.
func (p *storeProxy) ReadEngines(ctx context.Context) (catalog.EngineUpdate, error) {
	return p.current().ReadEngines(ctx)
}

// WatchEngines implements feed.Store.
func (p *storeProxy) WatchEngines(ctx context.Context, since uint64, wait time.Duration) (catalog.EngineUpdate, error) {
	return p.current().WatchEngines(ctx, since, wait)
}

// Commit implements platform.Table.
func (p *storeProxy) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return p.current().Commit(ctx, use, writes...)
}

// Get implements platform.Table.
func (p *storeProxy) Get(ctx context.Context, use platform.Use, table, key string) (platform.Row, error) {
	return p.current().Get(ctx, use, table, key)
}

// Scan implements platform.Table.
func (p *storeProxy) Scan(ctx context.Context, use platform.Use, table, from, to string, limit int) ([]platform.Row, error) {
	return p.current().Scan(ctx, use, table, from, to, limit)
}
