package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/zeebo/errs"
)

// ErrNotOwner is the class of errors for calls about an engine that this router
// doesn't own. Routers' views of the fleet differ for some seconds after a
// change.
var ErrNotOwner = errs.Class("admission: not the owner")

// engineBook is the permit book of one owned engine.
type engineBook struct {
	mu      sync.Mutex
	permits *permit.Ledger
	bound   float64
	engine  string
	group   groupKey
}

// permitBooks holds the permit books of the engines that this router owns.
type permitBooks struct {
	a  *Admission
	mu sync.RWMutex
	// byEngine maps engine IDs to books.
	byEngine map[uint64]*engineBook
	// liveHolders are the holder names of the routers in the last snapshot.
	liveHolders map[string]bool
}

func newPermitBooks(a *Admission) *permitBooks {
	return &permitBooks{a: a, byEngine: make(map[uint64]*engineBook), liveHolders: make(map[string]bool)}
}

// sync opens and closes books as the ownership of engines changes.
func (b *permitBooks) sync(now time.Time, snap *board.Snapshot) {
	owned := make(map[uint64]*board.Engine)
	for _, g := range snap.Groups() {
		for i := range g.Engines {
			if o := g.Owners[i]; o >= 0 && snap.Routers[o].Name == snap.Self {
				owned[g.IDs[i]] = &g.Engines[i]
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.byEngine {
		if owned[id] == nil {
			delete(b.byEngine, id)
		}
	}
	others := otherHolders(snap)
	for id, e := range owned {
		if b.byEngine[id] == nil {
			b.byEngine[id] = b.newBook(now, e, others)
		}
	}
	b.updateRouters(now, snap)
}

// newBook opens the book of an engine. Permits granted by the previous owner
// are reported by their holders; until all have reported, or the warm-up time
// is over, the book grants half of the bound.
func (b *permitBooks) newBook(now time.Time, e *board.Engine, others []string) *engineBook {
	book := &engineBook{engine: e.Name, group: groupKey{pool: e.Pool, region: e.Region}}
	cfg := permit.Config{
		// The pool's own limits are checked before the book is consulted, so
		// that a configuration change takes effect at once.
		MaxBatch: unlimitedBatch,
		Admit: func(load, w, total int64, n int, _ float64) bool {
			return placement.Admissible(load, w, total, n, book.bound)
		},
	}
	book.permits = permit.NewLedger(now, cfg, e.Status.Incarnation, others)
	return book
}

// unlimitedBatch disables the batch limit of a book; placement.Admit enforces
// the pool's limit.
const unlimitedBatch = 1 << 20

func otherHolders(snap *board.Snapshot) []string {
	var out []string
	for _, r := range snap.Routers {
		if r.Name != snap.Self {
			out = append(out, r.HolderName())
		}
	}
	return out
}

// updateRouters reports to the books which routers died or returned.
func (b *permitBooks) updateRouters(now time.Time, snap *board.Snapshot) {
	live := make(map[string]bool, len(snap.Routers))
	for _, r := range snap.Routers {
		live[r.HolderName()] = true
	}
	for _, book := range b.byEngine {
		book.mu.Lock()
		for name := range b.liveHolders {
			if !live[name] {
				book.permits.MarkRouterDead(now, name)
			}
		}
		for name := range live {
			if !b.liveHolders[name] {
				book.permits.MarkRouterAlive(now, name)
			}
		}
		book.mu.Unlock()
	}
	b.liveHolders = live
}

func (b *permitBooks) find(id uint64) *engineBook {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byEngine[id]
}

func (b *permitBooks) load(now time.Time, id uint64) (permit.Load, bool) {
	book := b.find(id)
	if book == nil {
		return permit.Load{}, false
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.permits.Load(now), true
}

func (b *permitBooks) acquire(now time.Time, id uint64, bound float64, r permit.Request) (permit.Permit, error) {
	book := b.find(id)
	if book == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	book.bound = bound
	return book.permits.Acquire(now, r)
}

// release ends a permit; ok is false if this router doesn't own the engine.
func (b *permitBooks) release(now time.Time, id uint64, permitID, holder string) (out permit.Outcome, group groupKey, ok bool) {
	book := b.find(id)
	if book == nil {
		return permit.NotHeld, groupKey{}, false
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.permits.ReleaseBy(now, permitID, holder), book.group, true
}

func (b *permitBooks) transfer(now time.Time, id uint64, r permit.Request) (permit.Permit, error) {
	book := b.find(id)
	if book == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.permits.Transfer(now, r)
}

// applyEngineReport applies an engine's own report. It returns false if this
// router doesn't own the engine.
func (b *permitBooks) applyEngineReport(now time.Time, id uint64, load permit.EngineLoad) bool {
	return b.reconcile(id, func(book *permit.Ledger) permit.Changes { return book.ApplyEngineReport(now, load) })
}

// applyHolderReport applies a holder's report. It returns false if this router
// doesn't own the engine.
func (b *permitBooks) applyHolderReport(now time.Time, id uint64, r permit.HolderReport) bool {
	return b.reconcile(id, func(book *permit.Ledger) permit.Changes { return book.ApplyHolderReport(now, r) })
}

// reconcile applies a report to an engine's book and counts the permits that it
// adopted or dropped.
func (b *permitBooks) reconcile(id uint64, apply func(*permit.Ledger) permit.Changes) bool {
	book := b.find(id)
	if book == nil {
		return false
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	r := apply(book.permits)
	b.a.Metrics.Reconciled.Add(int64(r.Adopted + r.Dropped))
	return true
}
